package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"jacinthferry/core/standby"
	"jacinthferry/io/registry"
)

// followInterval is the time between two looks for a daemon to follow; each failure doubles it, up to
// maxFollowInterval. Each wait is between half of it and all of it.
const (
	followInterval    = 600 * time.Millisecond
	maxFollowInterval = 4 * followInterval
)

// errOldView is the reason for leaving a daemon that has lost the store.
var errOldView = errors.New("relay: the view of the daemon that is followed is too old")

// Follower learns from an active daemon which daemons are registered, while this daemon is on standby.
type Follower struct {
	// HTTPClient opens the connections.
	HTTPClient *http.Client
	// Wanted reports whether this daemon is on standby.
	Wanted func() bool
	// Addresses returns the relay addresses of the active daemons, those to be preferred first, and how many these are.
	Addresses func() (addresses []string, preferred int)
	// Hear is called with each view, and HearNothing when a daemon cannot be followed any longer.
	Hear        func(registry.MemberView)
	HearNothing func()

	// left is the address of the daemon that was followed last.
	left string
}

// Run follows one daemon after the other until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	interval := followInterval
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if f.Wanted() && !f.followOne(ctx, attempt) {
			interval = min(2*interval, maxFollowInterval)
		} else {
			interval = followInterval
		}
		timer := time.NewTimer(interval/2 + rand.N(interval/2))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// followOne follows one daemon until that fails or this daemon is no longer on standby. It reports whether it heard a
// view.
func (f *Follower) followOne(ctx context.Context, attempt int) bool {
	address := f.choose(attempt)
	if address == "" {
		return false
	}
	f.left = address
	heard, err := f.follow(ctx, address)
	if err != nil && ctx.Err() == nil {
		klog.InfoS("members connection ended", "address", address, "err", err)
		f.HearNothing()
	}

	return heard
}

// choose returns the address to try at an attempt: a random one, at every other attempt one of those to be preferred.
// It is not the one that was left last, unless there is no other.
func (f *Follower) choose(attempt int) string {
	addresses, preferred := f.Addresses()
	if attempt%2 == 0 && preferred > 0 {
		addresses = addresses[:preferred]
	}
	if len(addresses) == 0 {
		return ""
	}
	first := rand.N(len(addresses))
	if addresses[first] == f.left {
		first = (first + 1) % len(addresses)
	}

	return addresses[first]
}

// follow hears the views of a daemon until the connection ends, that daemon's view gets too old, or this daemon is no
// longer on standby. It reports whether it heard one.
func (f *Follower) follow(ctx context.Context, address string) (heard bool, err error) {
	conn, err := f.dial(ctx, address)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(maxMembersBytes)
	var view registry.MemberView
	for f.Wanted() {
		m, err := readMembers(ctx, conn)
		if err != nil {
			return heard, err
		}
		if view, err = m.view(view.Members); err != nil {
			return heard, err
		}
		if view.Age > standby.MaxAge {
			return heard, errOldView
		}
		heard = true
		f.Hear(view)
	}

	return heard, nil
}

func (f *Follower) dial(ctx context.Context, address string) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout.Duration())
	defer cancel()
	options := &websocket.DialOptions{HTTPClient: f.HTTPClient}
	conn, response, err := websocket.Dial(ctx, "ws://"+address+MembersPath, options)
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}

	return conn, errors.Wrap(err, "relay: cannot open members connection")
}

func readMembers(ctx context.Context, conn *websocket.Conn) (membersMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, membersTimeout)
	defer cancel()
	var m membersMessage
	_, data, err := conn.Read(ctx)
	if err != nil {
		return m, errors.Wrap(err, "relay: cannot read members")
	}

	return m, errors.Wrap(cbor.Unmarshal(data, &m), "relay: cannot decode members")
}
