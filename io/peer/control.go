package peer

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"jacinthferry/core/manifest"
	"jacinthferry/core/member"
	"jacinthferry/core/spread"
)

// Control is a message between the control threads of two daemons. One of its fields is set.
type Control struct {
	Member *member.Message
	Spread *spread.Message
	// Ask is the number of a request for a Status.
	Ask    uint64
	Status *Status
}

// Status is what a daemon says of itself.
type Status struct {
	// Ask is the number of the request, and Name that of the daemon.
	Ask      uint64
	Name     string
	Revision int64
	// Reachable is set while the daemon's last call to the store succeeded.
	Reachable bool
	// Upstreams counts the upstreams that the daemon is home to by their state.
	Upstreams map[string]int
	// Running is how many legs run at those upstreams, by service.
	Running map[string]float64
}

type control struct {
	Member *memberMessage `cbor:"member,omitempty"`
	Spread *spreadMessage `cbor:"spread,omitempty"`
	Ask    uint64         `cbor:"ask,omitempty"`
	Status *statusMessage `cbor:"status,omitempty"`
}

type memberMessage struct {
	Kind        int      `cbor:"kind"`
	Seq         uint64   `cbor:"seq,omitempty"`
	Target      string   `cbor:"target,omitempty"`
	Incarnation uint64   `cbor:"life"`
	Digest      uint64   `cbor:"digest"`
	Revision    int64    `cbor:"rev,omitempty"`
	Updates     []update `cbor:"news,omitempty"`
}

type update struct {
	Name        string `cbor:"name"`
	Zone        string `cbor:"zone"`
	Caller      string `cbor:"caller"`
	Peer        string `cbor:"peer"`
	Operator    string `cbor:"operator,omitempty"`
	State       int    `cbor:"state,omitempty"`
	Incarnation uint64 `cbor:"life"`
}

type spreadMessage struct {
	Kind     int    `cbor:"kind"`
	Revision int64  `cbor:"rev"`
	Change   []byte `cbor:"change,omitempty"`
}

type changeMessage struct {
	From int64    `cbor:"from,omitempty"`
	To   int64    `cbor:"to"`
	Head string   `cbor:"head"`
	Gone []string `cbor:"gone,omitempty"`
	New  []part   `cbor:"new,omitempty"`
}

type part struct {
	Name string `cbor:"name"`
	Text string `cbor:"text"`
}

type statusMessage struct {
	Ask       uint64             `cbor:"ask"`
	Name      string             `cbor:"name"`
	Revision  int64              `cbor:"rev"`
	Reachable bool               `cbor:"store"`
	Upstreams map[string]int     `cbor:"upstreams,omitempty"`
	Running   map[string]float64 `cbor:"running,omitempty"`
}

// unpackedLimit is the size of the largest change after decompression, in bytes.
const unpackedLimit = 64 << 20

// ErrControl is returned for a control message that cannot be used.
var ErrControl = errors.New("peer: not a control message")

func toControl(c Control) (control, error) {
	m := control{Ask: c.Ask}
	if c.Member != nil {
		m.Member = toMember(*c.Member)
	}
	if c.Spread != nil {
		m.Spread = &spreadMessage{Kind: int(c.Spread.Kind), Revision: c.Spread.Revision}
		if c.Spread.Kind == spread.Change {
			packed, err := pack(c.Spread.Change)
			if err != nil {
				return control{}, err
			}
			m.Spread.Change = packed
		}
	}
	if c.Status != nil {
		s := statusMessage(*c.Status)
		m.Status = &s
	}

	return m, nil
}

func toMember(m member.Message) *memberMessage {
	w := &memberMessage{
		Kind: int(m.Kind), Seq: m.Seq, Target: m.Target, Incarnation: m.Incarnation, Digest: m.Digest,
		Revision: m.Revision,
	}
	for _, u := range m.Updates {
		w.Updates = append(w.Updates, update{
			Name: u.Member.Name, Zone: u.Member.Zone, Caller: u.Member.CallerAddress, Peer: u.Member.PeerAddress,
			Operator: u.Member.OperatorAddress, State: int(u.State), Incarnation: u.Incarnation,
		})
	}

	return w
}

func (m control) control() (Control, error) {
	c := Control{Ask: m.Ask}
	if m.Member != nil {
		message, err := m.Member.message()
		if err != nil {
			return Control{}, err
		}
		c.Member = &message
	}
	if m.Spread != nil {
		message, err := m.Spread.message()
		if err != nil {
			return Control{}, err
		}
		c.Spread = &message
	}
	if m.Status != nil {
		s := Status(*m.Status)
		c.Status = &s
	}

	return c, nil
}

func (m memberMessage) message() (member.Message, error) {
	kind := member.MessageKind(m.Kind)
	if kind < member.Ping || kind > member.Pull {
		return member.Message{}, errors.Wrapf(ErrControl, "kind %d", m.Kind)
	}
	message := member.Message{
		Kind: kind, Seq: m.Seq, Target: m.Target, Incarnation: m.Incarnation, Digest: m.Digest, Revision: m.Revision,
	}
	for _, u := range m.Updates {
		state := member.State(u.State)
		if state < member.Alive || state > member.Dead || u.Name == "" {
			return member.Message{}, errors.Wrapf(ErrControl, "update of %q with state %d", u.Name, u.State)
		}
		message.Updates = append(message.Updates, member.Update{
			Member: member.Member{
				Name: u.Name, Zone: u.Zone, CallerAddress: u.Caller, PeerAddress: u.Peer, OperatorAddress: u.Operator,
			},
			State: state, Incarnation: u.Incarnation,
		})
	}

	return message, nil
}

func (m spreadMessage) message() (spread.Message, error) {
	message := spread.Message{Kind: spread.MessageKind(m.Kind), Revision: m.Revision}
	switch message.Kind {
	case spread.Announcement, spread.Request:
		return message, nil
	case spread.Change:
		c, err := unpack(m.Change)
		message.Change = c

		return message, err
	default:
		return spread.Message{}, errors.Wrapf(ErrControl, "kind %d", m.Kind)
	}
}

// pack encodes and compresses a change, because a whole configuration may not fit a frame.
func pack(c manifest.Change) ([]byte, error) {
	w := changeMessage{From: c.From, To: c.To, Head: c.Head, Gone: c.RemovedParts}
	for _, p := range c.AddedParts {
		w.New = append(w.New, part(p))
	}
	text, err := cbor.Marshal(w)
	if err != nil {
		return nil, errors.Wrap(ErrControl, err.Error())
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(ErrControl, err.Error())
	}
	_, _ = writer.Write(text)
	err = writer.Close()

	return packed.Bytes(), errors.Wrap(err, "peer: cannot compress")
}

func unpack(packed []byte) (manifest.Change, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), unpackedLimit))
	if err != nil {
		return manifest.Change{}, errors.Wrap(ErrControl, err.Error())
	}
	var w changeMessage
	if err := cbor.Unmarshal(text, &w); err != nil {
		return manifest.Change{}, errors.Wrap(ErrControl, err.Error())
	}
	c := manifest.Change{From: w.From, To: w.To, Head: w.Head, RemovedParts: w.Gone}
	for _, p := range w.New {
		c.AddedParts = append(c.AddedParts, manifest.Part(p))
	}

	return c, nil
}

// Control sends a message to the other daemon's control thread.
func (l *Link) Control(c Control) error {
	m, err := toControl(c)
	if err != nil {
		return err
	}
	l.add(func(f *frame) { f.Controls = append(f.Controls, m) })

	return nil
}

// Size returns how many bytes the message takes in a frame of its own.
func (c Control) Size() int {
	m, err := toControl(c)
	if err != nil {
		return 0
	}
	text, _ := cbor.Marshal(frame{Version: version, Controls: []control{m}})

	return len(text)
}
