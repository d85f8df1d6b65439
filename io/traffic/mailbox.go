package traffic

import "sync"

// message is an event that a lane handles.
type message interface {
	apply(l *lane)
}

// mailbox is an unbounded queue of messages. It must not block its senders, because two lanes that
// wait for room in each other's mailbox would deadlock. Admission limits bound its length.
type mailbox struct {
	mu       sync.Mutex
	messages []message
	ready    chan struct{}
}

func newMailbox() *mailbox {
	return &mailbox{ready: make(chan struct{}, 1)}
}

func (m *mailbox) post(msg message) {
	m.mu.Lock()
	m.messages = append(m.messages, msg)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// take removes and returns all messages. Spare becomes the next buffer.
func (m *mailbox) take(spare []message) []message {
	m.mu.Lock()
	defer m.mu.Unlock()
	messages := m.messages
	m.messages = spare[:0]

	return messages
}
