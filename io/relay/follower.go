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

// followInterval is the time between two looks for a daemon to follow. Each wait is between half of it and all of it.
const followInterval = 600 * time.Millisecond

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
}

// Run follows one daemon after the other until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if f.Wanted() {
			f.followOne(ctx, attempt)
		}
		timer := time.NewTimer(followInterval/2 + rand.N(followInterval/2))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// followOne follows one daemon until that fails or this daemon is no longer on standby.
func (f *Follower) followOne(ctx context.Context, attempt int) {
	address := f.choose(attempt)
	if address == "" {
		return
	}
	if err := f.follow(ctx, address); err != nil && ctx.Err() == nil {
		klog.InfoS("members connection ended", "address", address, "err", err)
		f.HearNothing()
	}
}

// choose returns the address to try at an attempt: a random one, at every other attempt one of those to be preferred.
func (f *Follower) choose(attempt int) string {
	addresses, preferred := f.Addresses()
	if attempt%2 == 0 && preferred > 0 {
		addresses = addresses[:preferred]
	}
	if len(addresses) == 0 {
		return ""
	}

	return addresses[rand.N(len(addresses))]
}

// follow hears the views of a daemon until the connection ends, that daemon's view gets too old, or this daemon is no
// longer on standby.
func (f *Follower) follow(ctx context.Context, address string) error {
	conn, err := f.dial(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(maxMembersBytes)
	var view registry.MemberView
	for f.Wanted() {
		m, err := readMembers(ctx, conn)
		if err != nil {
			return err
		}
		if view, err = m.view(view.Members); err != nil {
			return err
		}
		if view.Age > standby.MaxAge {
			return errOldView
		}
		f.Hear(view)
	}

	return nil
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
