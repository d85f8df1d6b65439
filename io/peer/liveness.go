package peer

import (
	"sync"

	"jacinthferry/core/clock"
)

// Times after which an unresponsive connection is detected.
const (
	// replyDelay is how long a daemon waits, after it received a message with content, for something to send
	// before it replies with an empty message.
	replyDelay = 500 * clock.Millisecond
	// replyTimeout is how long after sending content a connection may receive nothing before it is closed.
	replyTimeout = 1500 * clock.Millisecond
	// idleProbeInterval is the time after which an idle connection is probed.
	idleProbeInterval = 10 * clock.Second
	// livenessCheckInterval is the time between two checks of a connection.
	livenessCheckInterval = 250 * clock.Millisecond
)

// liveness detects that a connection is unresponsive. After a message with content was sent, any message must
// come back in time; the remote daemon sends an empty one if it has nothing else to send. An idle connection
// costs almost nothing, and its failure is found at the next use.
type liveness struct {
	mu sync.Mutex
	// awaitingSince is since when a message in return is awaited, and replyOwedSince since when one is owed;
	// 0 means none.
	awaitingSince  clock.Milli
	replyOwedSince clock.Milli
	lastMessage    clock.Milli
}

// livenessAction is what a connection has to do to show or check that it is alive.
type livenessAction int

const (
	noAction livenessAction = iota
	// sendReply sends an empty message in return, and requestReply one that asks for a message in return.
	sendReply
	requestReply
	// closeConn closes an unresponsive connection.
	closeConn
)

// recordSent records that a message was sent. Content means that it awaits a message in return.
func (l *liveness) recordSent(now clock.Milli, content bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastMessage, l.replyOwedSince = now, 0
	if content && l.awaitingSince == 0 {
		l.awaitingSince = now
	}
}

// recordReceived records that a message was received. Content means that it needs a message in return.
func (l *liveness) recordReceived(now clock.Milli, content bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastMessage, l.awaitingSince = now, 0
	if content && l.replyOwedSince == 0 {
		l.replyOwedSince = now
	}
}

// nextAction returns what the connection has to do now.
func (l *liveness) nextAction(now clock.Milli) livenessAction {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.awaitingSince != 0 && now-l.awaitingSince >= replyTimeout:
		return closeConn
	case l.replyOwedSince != 0 && now-l.replyOwedSince >= replyDelay:
		return sendReply
	case now-l.lastMessage >= idleProbeInterval:
		return requestReply
	default:
		return noAction
	}
}
