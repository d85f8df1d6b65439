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

// ControlMessage is a message between the control loops of two daemons. One of its fields is set.
type ControlMessage struct {
	Member *member.Message
	Spread *spread.Message
	// StatusRequest is the ID of a request for a Status.
	StatusRequest uint64
	Status        *Status
}

// Status is the state that a daemon reports of itself.
type Status struct {
	// RequestID is the ID of the request, and Name is the name of the daemon.
	RequestID uint64
	Name      string
	Revision  int64
	// StoreReachable is set while the daemon's last call to the store succeeded.
	StoreReachable bool
	// Upstreams is the number of upstreams that the daemon is home to, by state.
	Upstreams map[string]int
	// Running is the number of legs that run at those upstreams, by service.
	Running map[string]float64
}

type controlMessage struct {
	Member        *memberMessage `cbor:"member,omitempty"`
	Spread        *spreadMessage `cbor:"spread,omitempty"`
	StatusRequest uint64         `cbor:"ask,omitempty"`
	Status        *statusMessage `cbor:"status,omitempty"`
}

type memberMessage struct {
	Kind        int            `cbor:"kind"`
	Seq         uint64         `cbor:"seq,omitempty"`
	Target      string         `cbor:"target,omitempty"`
	Incarnation uint64         `cbor:"life"`
	Digest      uint64         `cbor:"digest"`
	Revision    int64          `cbor:"rev,omitempty"`
	Updates     []memberUpdate `cbor:"news,omitempty"`
}

type memberUpdate struct {
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
	From         int64    `cbor:"from,omitempty"`
	To           int64    `cbor:"to"`
	Head         string   `cbor:"head"`
	RemovedParts []string `cbor:"gone,omitempty"`
	AddedParts   []part   `cbor:"new,omitempty"`
}

type part struct {
	Name string `cbor:"name"`
	Text string `cbor:"text"`
}

type statusMessage struct {
	RequestID      uint64             `cbor:"ask"`
	Name           string             `cbor:"name"`
	Revision       int64              `cbor:"rev"`
	StoreReachable bool               `cbor:"store"`
	Upstreams      map[string]int     `cbor:"upstreams,omitempty"`
	Running        map[string]float64 `cbor:"running,omitempty"`
}

// maxChangeBytes is the size of the largest change after decompression.
const maxChangeBytes = 64 << 20

// ErrInvalidControl is returned for a control message that cannot be encoded or decoded.
var ErrInvalidControl = errors.New("peer: invalid control message")

func toControlMessage(c ControlMessage) (controlMessage, error) {
	m := controlMessage{StatusRequest: c.StatusRequest}
	if c.Member != nil {
		m.Member = toMemberMessage(*c.Member)
	}
	if c.Spread != nil {
		m.Spread = &spreadMessage{Kind: int(c.Spread.Kind), Revision: c.Spread.Revision}
		if c.Spread.Kind == spread.Change {
			compressed, err := compressChange(c.Spread.Change)
			if err != nil {
				return controlMessage{}, err
			}
			m.Spread.Change = compressed
		}
	}
	if c.Status != nil {
		s := statusMessage(*c.Status)
		m.Status = &s
	}

	return m, nil
}

func toMemberMessage(m member.Message) *memberMessage {
	w := &memberMessage{
		Kind: int(m.Kind), Seq: m.Seq, Target: m.Target, Incarnation: m.Incarnation, Digest: m.Digest,
		Revision: m.Revision,
	}
	for _, u := range m.Updates {
		w.Updates = append(w.Updates, memberUpdate{
			Name: u.Member.Name, Zone: u.Member.Zone, Caller: u.Member.CallerAddress, Peer: u.Member.PeerAddress,
			Operator: u.Member.OperatorAddress, State: int(u.State), Incarnation: u.Incarnation,
		})
	}

	return w
}

func (m controlMessage) control() (ControlMessage, error) {
	c := ControlMessage{StatusRequest: m.StatusRequest}
	if m.Member != nil {
		message, err := m.Member.message()
		if err != nil {
			return ControlMessage{}, err
		}
		c.Member = &message
	}
	if m.Spread != nil {
		message, err := m.Spread.message()
		if err != nil {
			return ControlMessage{}, err
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
		return member.Message{}, errors.Wrapf(ErrInvalidControl, "unknown member message kind %d", m.Kind)
	}
	message := member.Message{
		Kind: kind, Seq: m.Seq, Target: m.Target, Incarnation: m.Incarnation, Digest: m.Digest, Revision: m.Revision,
	}
	for _, u := range m.Updates {
		state := member.State(u.State)
		if state < member.Alive || state > member.Dead || u.Name == "" {
			return member.Message{}, errors.Wrapf(
				ErrInvalidControl, "invalid update of member %q with state %d", u.Name, u.State,
			)
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
		c, err := decompressChange(m.Change)
		message.Change = c

		return message, err
	default:
		return spread.Message{}, errors.Wrapf(ErrInvalidControl, "unknown spread message kind %d", m.Kind)
	}
}

// compressChange encodes and compresses a change, because a whole configuration may exceed the size of a message.
func compressChange(c manifest.Change) ([]byte, error) {
	w := changeMessage{From: c.From, To: c.To, Head: c.Head, RemovedParts: c.RemovedParts}
	for _, p := range c.AddedParts {
		w.AddedParts = append(w.AddedParts, part(p))
	}
	data, err := cbor.Marshal(w)
	if err != nil {
		return nil, errors.Wrap(ErrInvalidControl, err.Error())
	}
	if len(data) > maxChangeBytes {
		return nil, errors.Wrapf(ErrInvalidControl, "change is over %d bytes", maxChangeBytes)
	}
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(ErrInvalidControl, err.Error())
	}
	_, _ = writer.Write(data)
	err = writer.Close()

	return compressed.Bytes(), errors.Wrap(err, "peer: cannot compress change")
}

func decompressChange(compressed []byte) (manifest.Change, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxChangeBytes+1))
	if err != nil {
		return manifest.Change{}, errors.Wrap(ErrInvalidControl, err.Error())
	}
	if len(data) > maxChangeBytes {
		return manifest.Change{}, errors.Wrapf(ErrInvalidControl, "change is over %d bytes", maxChangeBytes)
	}
	var w changeMessage
	if err := cbor.Unmarshal(data, &w); err != nil {
		return manifest.Change{}, errors.Wrap(ErrInvalidControl, err.Error())
	}
	c := manifest.Change{From: w.From, To: w.To, Head: w.Head, RemovedParts: w.RemovedParts}
	for _, p := range w.AddedParts {
		c.AddedParts = append(c.AddedParts, manifest.Part(p))
	}

	return c, nil
}

// SendControl sends a message to the control loop of the remote daemon.
func (l *Conn) SendControl(c ControlMessage) error {
	m, err := toControlMessage(c)
	if err != nil {
		return err
	}
	l.enqueue(func(msg *message) { msg.Controls = append(msg.Controls, m) })

	return nil
}

// EncodedSize returns the size in bytes of a message that holds only c, or 0 if c cannot be encoded.
func (c ControlMessage) EncodedSize() int {
	m, err := toControlMessage(c)
	if err != nil {
		return 0
	}
	data, _ := cbor.Marshal(message{Version: version, Controls: []controlMessage{m}})

	return len(data)
}
