package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"jacinthferry/core/clock"
	"jacinthferry/io/registry"
)

// MembersPath is the URL path at which an active daemon tells daemons on standby who is registered.
const MembersPath = "/members"

const (
	// membersInterval is the time between two messages to a daemon on standby while nothing changes.
	membersInterval = time.Second
	// membersTimeout is how long a daemon on standby waits for a message.
	membersTimeout = 2500 * time.Millisecond
	// maxMembersBytes is the size of the largest message that is read, and maxMembers how many daemons it names at most.
	maxMembersBytes = 1 << 20
	maxMembers      = 5000
)

// membersMessage is a view of the registered daemons. It leaves Members out if these are as in the last message.
type membersMessage struct {
	Revision int64         `cbor:"revision"`
	Age      clock.Milli   `cbor:"age"`
	Same     bool          `cbor:"same,omitempty"`
	Members  []memberEntry `cbor:"members,omitempty"`
}

// memberEntry is encoded as an array to save space.
type memberEntry struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Front string
	Zone  string
	Relay string
	Cores float64
	Since int64
	// Reserve is set while the daemon takes no requests.
	Reserve bool
}

// MembersServer is an http.Handler that tells daemons on standby which daemons are registered. Its fields must not
// change while it serves.
type MembersServer struct {
	// View returns what this daemon knows, or false while it is on standby itself.
	View func() (registry.MemberView, bool)
	// Changed returns a channel that is closed at the next change of the registered daemons.
	Changed func() <-chan struct{}
}

// ServeHTTP accepts a WebSocket and sends views until it closes or this daemon goes on standby.
func (s *MembersServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.View(); !ok {
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		klog.InfoS("cannot accept members connection", "from", r.RemoteAddr, "err", err)

		return
	}
	defer func() { _ = conn.CloseNow() }()
	ctx := conn.CloseRead(r.Context())
	ticker := time.NewTicker(membersInterval)
	defer ticker.Stop()
	var sent []registry.Member
	for first := true; ; first = false {
		changed := s.Changed()
		view, ok := s.View()
		if !ok {
			return
		}
		same := !first && slices.Equal(sent, view.Members)
		if err := writeMembers(ctx, conn, view, same); err != nil {
			return
		}
		sent = view.Members
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

func writeMembers(ctx context.Context, conn *websocket.Conn, view registry.MemberView, same bool) error {
	m := membersMessage{Revision: view.Revision, Age: view.Age, Same: same}
	if !same {
		for _, member := range view.Members {
			m.Members = append(m.Members, memberEntry{
				Name: member.Name, Front: member.Front, Zone: member.Zone, Relay: member.Relay, Cores: member.Cores,
				Since: member.Since, Reserve: member.Reserve,
			})
		}
	}
	data, err := cbor.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "relay: cannot encode members")
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()

	return errors.Wrap(conn.Write(ctx, websocket.MessageBinary, data), "relay: cannot send members")
}

// view returns the view that a message tells after one that told the members before.
func (m *membersMessage) view(before []registry.Member) (registry.MemberView, error) {
	v := registry.MemberView{Members: before, Revision: m.Revision, Age: m.Age}
	if m.Same && before == nil {
		return v, errors.Wrap(ErrInvalidMessage, "members left out")
	}
	if !m.Same {
		v.Members = make([]registry.Member, 0, len(m.Members))
		for _, e := range m.Members {
			v.Members = append(v.Members, registry.Member{
				Name: e.Name, Front: e.Front, Zone: e.Zone, Relay: e.Relay, Cores: e.Cores, Since: e.Since,
				Reserve: e.Reserve,
			})
		}
	}
	if m.Revision <= 0 || !(m.Age >= 0) || len(v.Members) > maxMembers {
		return v, errors.Wrap(ErrInvalidMessage, "members")
	}

	return v, nil
}
