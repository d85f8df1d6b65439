package peer

import (
	"context"
	"net/http"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
)

// Path is the URL path at which a daemon accepts connections.
const Path = "/peer"

// nameHeader is the HTTP header that carries the name of the sending daemon, in the request and the response.
const nameHeader = "Name"

// ErrDial is returned when a connection cannot be opened or another daemon than expected responds.
var ErrDial = errors.New("peer: cannot open connection")

// Access configures how daemons authenticate to each other. The zero value authenticates nothing.
type Access struct {
	// Client opens the connection; nil means http.DefaultClient.
	Client *http.Client
	// Secure is set if the remote daemon serves TLS.
	Secure bool
	// Header is added to the request of the daemon that dials.
	Header http.Header
	// Check returns an error to reject a daemon that dials; nil accepts all.
	Check func(*http.Request) error
}

// Dial opens a connection to the daemon at address and serves it until it closes. The context bounds only
// the opening. An empty name accepts any daemon.
func Dial(ctx context.Context, self, name, address string, handlers Handlers, access Access) (*Link, error) {
	header := access.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set(nameHeader, self)
	scheme := "ws://"
	if access.Secure {
		scheme = "wss://"
	}
	socket, response, err := websocket.Dial(ctx, scheme+address+Path, &websocket.DialOptions{
		HTTPClient: access.Client, HTTPHeader: header,
	})
	if err != nil {
		return nil, errors.Wrapf(ErrDial, "%s at %s: %v", name, address, err)
	}
	if response.Body != nil {
		_ = response.Body.Close()
	}
	remoteName := response.Header.Get(nameHeader)
	if remoteName == "" || (name != "" && remoteName != name) {
		_ = socket.CloseNow()

		return nil, errors.Wrapf(ErrDial, "daemon at %s has name %q, want %q", address, remoteName, name)
	}
	l := newConn(remoteName, socket, handlers)
	go l.run(context.WithoutCancel(ctx))

	return l, nil
}

// Handler returns an HTTP handler that accepts connections under the name self and serves each until it closes.
// It calls accepted before the first message is read.
func Handler(self string, handlers Handlers, access Access, accepted func(*Link)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if access.Check != nil {
			if err := access.Check(r); err != nil {
				http.Error(w, err.Error(), http.StatusUnauthorized)

				return
			}
		}
		name := r.Header.Get(nameHeader)
		if name == "" {
			http.Error(w, "Name header is missing", http.StatusBadRequest)

			return
		}
		w.Header().Set(nameHeader, self)
		socket, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		l := newConn(name, socket, handlers)
		accepted(l)
		l.run(context.WithoutCancel(r.Context()))
	})
}
