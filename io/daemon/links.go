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

// meshLimit is up to how many daemons each keeps a link to every other. Above it, links are opened
// as they are needed.
const meshLimit = 64

// pendingLimit is how many control messages wait for one link that is being opened.
const pendingLimit = 64

// links holds a link to each other daemon that this one sends to. A daemon sends legs on the links
// that it dialled, and answers on the link that a leg came by.
type links struct {
	ctx      context.Context
	self     string
	access   peer.Auth
	handlers peer.Handlers
	// opened and broken say that a dialled link began and that one ended or could not be opened.
	opened func(name string)
	broken func(name string)
	// unlinked says that the link on which legs went to a daemon is gone or cannot be opened.
	unlinked func(name string)

	mu        sync.Mutex
	addresses map[string]string
	dialled   map[string]*peer.Conn
	accepting map[string]*peer.Conn
	pending   map[string][]peer.ControlMessage
	others    map[*peer.Conn]bool
}

func newLinks(ctx context.Context, self string) *links {
	return &links{
		ctx: ctx, self: self, addresses: make(map[string]string), dialled: make(map[string]*peer.Conn),
		accepting: make(map[string]*peer.Conn), pending: make(map[string][]peer.ControlMessage),
		others: make(map[*peer.Conn]bool),
	}
}

// update takes the other live daemons and those of them that control talks to, and opens the links
// that are missing.
func (k *links) update(all, near []member.Member) {
	k.mu.Lock()
	defer k.mu.Unlock()
	clear(k.addresses)
	for _, m := range all {
		k.addresses[m.Name] = m.PeerAddress
	}
	wanted := near
	if len(all) <= meshLimit {
		wanted = all
	}
	for _, m := range wanted {
		if k.dialled[m.Name] == nil {
			k.open(m.Name, m.PeerAddress)
		}
	}
}

// open dials a daemon unless that is under way. The lock is held.
func (k *links) open(name, address string) {
	if _, trying := k.pending[name]; trying || address == "" || name == k.self {
		return
	}
	k.pending[name] = nil
	go k.dial(name, address)
}

// dialTimeout bounds the opening of one link.
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
		k.unlinked(name)

		return
	}
	for _, c := range waiting {
		_ = l.SendControl(c)
	}
	k.opened(name)
}

// seedWait is the time between two tries at the seeds.
const seedWait = time.Second

// join opens links to daemons of which only the address is known, until one answers.
func (k *links) join(addresses []string) {
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
			k.opened(l.Name)

			return
		}
		time.Sleep(seedWait)
	}
}

// control sends a message, over a new link if there is none.
func (k *links) control(to member.Member, c peer.ControlMessage) {
	k.mu.Lock()
	l := k.dialled[to.Name]
	if l == nil {
		l = k.accepting[to.Name]
	}
	if l == nil {
		address := to.PeerAddress
		if address == "" {
			address = k.addresses[to.Name]
		}
		k.open(to.Name, address)
		if list, trying := k.pending[to.Name]; trying && len(list) < pendingLimit {
			k.pending[to.Name] = append(list, c)
		}
	}
	k.mu.Unlock()
	if l != nil {
		_ = l.SendControl(c)
	}
}

func (k *links) accepted(l *peer.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.others[l] = true
	k.accepting[l.Name] = l
}

// closed forgets a link and reports whether legs may have been sent on it.
func (k *links) closed(l *peer.Conn) bool {
	k.mu.Lock()
	delete(k.others, l)
	if k.accepting[l.Name] == l {
		delete(k.accepting, l.Name)
	}
	dialled := k.dialled[l.Name] == l
	if dialled {
		delete(k.dialled, l.Name)
	}
	k.mu.Unlock()
	switch {
	case k.ctx.Err() != nil:
	case dialled:
		k.unlinked(l.Name)
	default:
		k.broken(l.Name)
	}

	return dialled
}

// get returns the link on which legs go to a daemon, and has one opened if there is none.
func (k *links) get(name string) *peer.Conn {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := k.dialled[name]
	if l == nil {
		k.open(name, k.addresses[name])
	}

	return l
}

func (k *links) forward(home string, id uint64, l leg.Leg) bool {
	link := k.get(home)
	if link == nil {
		return false
	}
	link.SendLeg(id, l)

	return true
}

func (k *links) recall(home string, id uint64, upstream string) {
	if link := k.get(home); link != nil {
		link.CancelLeg(id, upstream)
	}
}

// handover sends a message about an upstream's home on any link to the daemon.
func (k *links) handover(to string, m home.Message) {
	link := k.get(to)
	if link == nil {
		// The other daemon may have opened one already.
		k.mu.Lock()
		link = k.accepting[to]
		k.mu.Unlock()
	}
	if link != nil {
		link.SendHandover(m)
	}
}

// warn tells the daemons that there are links to of a request tied to crashes. They pass it on.
func (k *links) warn(e quarantine.Warning) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, l := range k.dialled {
		l.SendWarning(e)
	}
}

// warnAll passes every known warning on to one daemon.
func (k *links) warnAll(name string, entries []quarantine.Warning) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if l := k.dialled[name]; l != nil {
		for _, e := range entries {
			l.SendWarning(e)
		}
	}
}

func (k *links) tell(to string, h route.Holding, gone bool) {
	if link := k.get(to); link != nil {
		link.SendHolding(h, gone)
	}
}

func (k *links) close() {
	k.mu.Lock()
	var list []*peer.Conn
	for _, l := range k.dialled {
		list = append(list, l)
	}
	for l := range k.others {
		list = append(list, l)
	}
	k.mu.Unlock()
	for _, l := range list {
		l.Close()
	}
}
