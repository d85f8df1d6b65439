package daemon

import (
	"context"
	"sync"
	"time"

	"jacinthferry/core/home"
	"jacinthferry/core/leg"
	"jacinthferry/core/member"
	"jacinthferry/core/quarantine"
	"jacinthferry/core/route"
	"jacinthferry/io/peer"
)

// maxFullMesh is the largest number of daemons that form a full mesh of links. Above it, links are
// opened on demand.
const maxFullMesh = 64

// maxPendingControls is the maximum number of control messages that wait for a link to open.
const maxPendingControls = 64

// links holds the links to the other daemons. A daemon sends legs on the links that it dialled, and
// answers on the link on which a leg arrived.
type links struct {
	ctx      context.Context
	self     string
	access   peer.Access
	handlers peer.Handlers
	// onOpened is called when a dialled link opens, onBroken when a link that carries no legs closes.
	onOpened func(name string)
	onBroken func(name string)
	// onUnlinked is called when a dialled link, which carries legs, closes or cannot be opened.
	onUnlinked func(name string)

	mu             sync.Mutex
	addresses      map[string]string
	dialled        map[string]*peer.Link
	acceptedByName map[string]*peer.Link
	pending        map[string][]peer.Control
	accepted       map[*peer.Link]bool
}

func newLinks(ctx context.Context, self string) *links {
	return &links{
		ctx: ctx, self: self, addresses: make(map[string]string), dialled: make(map[string]*peer.Link),
		acceptedByName: make(map[string]*peer.Link), pending: make(map[string][]peer.Control),
		accepted: make(map[*peer.Link]bool),
	}
}

// update sets the addresses of the other live daemons (all) and opens missing links: to all of them
// in a full mesh, otherwise to those that the control thread talks to (near).
func (k *links) update(all, near []member.Member) {
	k.mu.Lock()
	defer k.mu.Unlock()
	clear(k.addresses)
	for _, m := range all {
		k.addresses[m.Name] = m.PeerAddress
	}
	wanted := near
	if len(all) <= maxFullMesh {
		wanted = all
	}
	for _, m := range wanted {
		if k.dialled[m.Name] == nil {
			k.startDial(m.Name, m.PeerAddress)
		}
	}
}

// startDial dials a daemon in the background unless a dial is in progress. The caller holds k.mu.
func (k *links) startDial(name, address string) {
	if _, trying := k.pending[name]; trying || address == "" || name == k.self {
		return
	}
	k.pending[name] = nil
	go k.dial(name, address)
}

// dialTimeout limits the time to open one link.
const dialTimeout = time.Second

func (k *links) dial(name, address string) {
	ctx, cancel := context.WithTimeout(k.ctx, dialTimeout)
	defer cancel()
	l, err := peer.Dial(ctx, k.self, name, address, k.handlers, k.access)
	k.mu.Lock()
	waiting := k.pending[name]
	delete(k.pending, name)
	if err == nil {
		k.dialled[name] = l
	}
	k.mu.Unlock()
	if err != nil {
		k.onUnlinked(name)

		return
	}
	for _, c := range waiting {
		_ = l.Control(c)
	}
	k.onOpened(name)
}

// seedRetryInterval is the time between two rounds of dialling the seeds.
const seedRetryInterval = time.Second

// dialSeeds dials daemons of which only the address is known, until one answers.
func (k *links) dialSeeds(addresses []string) {
	for k.ctx.Err() == nil {
		for _, address := range addresses {
			ctx, cancel := context.WithTimeout(k.ctx, dialTimeout)
			l, err := peer.Dial(ctx, k.self, "", address, k.handlers, k.access)
			cancel()
			if err != nil || l.Name == k.self {
				continue
			}
			k.mu.Lock()
			if k.dialled[l.Name] == nil {
				k.dialled[l.Name] = l
			}
			k.mu.Unlock()
			k.onOpened(l.Name)

			return
		}
		time.Sleep(seedRetryInterval)
	}
}

// sendControl sends a control message, and opens a link if there is none.
func (k *links) sendControl(to member.Member, c peer.Control) {
	k.mu.Lock()
	l := k.dialled[to.Name]
	if l == nil {
		l = k.acceptedByName[to.Name]
	}
	if l == nil {
		address := to.PeerAddress
		if address == "" {
			address = k.addresses[to.Name]
		}
		k.startDial(to.Name, address)
		if list, trying := k.pending[to.Name]; trying && len(list) < maxPendingControls {
			k.pending[to.Name] = append(list, c)
		}
	}
	k.mu.Unlock()
	if l != nil {
		_ = l.Control(c)
	}
}

func (k *links) handleAccepted(l *peer.Link) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.accepted[l] = true
	k.acceptedByName[l.Name] = l
}

// handleClosed removes a link and reports whether legs may have been sent on it.
func (k *links) handleClosed(l *peer.Link) bool {
	k.mu.Lock()
	delete(k.accepted, l)
	if k.acceptedByName[l.Name] == l {
		delete(k.acceptedByName, l.Name)
	}
	dialled := k.dialled[l.Name] == l
	if dialled {
		delete(k.dialled, l.Name)
	}
	k.mu.Unlock()
	switch {
	case k.ctx.Err() != nil:
	case dialled:
		k.onUnlinked(l.Name)
	default:
		k.onBroken(l.Name)
	}

	return dialled
}

// dialledLink returns the link for legs to a daemon. If there is none, it starts to open one and
// returns nil.
func (k *links) dialledLink(name string) *peer.Link {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := k.dialled[name]
	if l == nil {
		k.startDial(name, k.addresses[name])
	}

	return l
}

func (k *links) forwardLeg(home string, id uint64, l leg.Leg) bool {
	link := k.dialledLink(home)
	if link == nil {
		return false
	}
	link.Leg(id, l)

	return true
}

func (k *links) cancelForwarded(home string, id uint64, upstream string) {
	if link := k.dialledLink(home); link != nil {
		link.Cancel(id, upstream)
	}
}

// sendHandover sends a message about an upstream's home on any link to the daemon.
func (k *links) sendHandover(to string, m home.Message) {
	link := k.dialledLink(to)
	if link == nil {
		// The other daemon may already have opened a link.
		k.mu.Lock()
		link = k.acceptedByName[to]
		k.mu.Unlock()
	}
	if link != nil {
		link.Handover(m)
	}
}

// broadcastWarning sends a warning about a request linked to crashes on all dialled links. The
// receivers forward it.
func (k *links) broadcastWarning(e quarantine.Warning) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, l := range k.dialled {
		l.Warn(e)
	}
}

// sendWarnings sends all known warnings to one daemon.
func (k *links) sendWarnings(name string, entries []quarantine.Warning) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if l := k.dialled[name]; l != nil {
		for _, e := range entries {
			l.Warn(e)
		}
	}
}

func (k *links) sendHolding(to string, h route.Holding, gone bool) {
	if link := k.dialledLink(to); link != nil {
		link.Holding(h, gone)
	}
}

func (k *links) close() {
	k.mu.Lock()
	var list []*peer.Link
	for _, l := range k.dialled {
		list = append(list, l)
	}
	for l := range k.accepted {
		list = append(list, l)
	}
	k.mu.Unlock()
	for _, l := range list {
		l.Close()
	}
}
