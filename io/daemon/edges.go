package daemon

import (
	"github.com/pkg/errors"

	"jacinthferry/core/event"
	"jacinthferry/io/secure"
	"jacinthferry/io/settings"
)

// edges are the security of each listener and dialler.
type edges struct {
	caller, operator, peer, platform, upstream *secure.Credentials
}

func newEdges(s settings.Settings, record func(event.Event)) (edges, error) {
	var e edges
	for _, one := range []struct {
		path   string
		tls    settings.TLS
		secret string
		edge   **secure.Credentials
	}{
		{"caller", s.Caller.TLS, s.Caller.Secret, &e.caller},
		{"operator", s.Operator.TLS, s.Operator.Secret, &e.operator},
		{"peer", s.Peer.TLS, s.Peer.Secret, &e.peer},
		{"platform", s.Platform.TLS, s.Platform.Secret, &e.platform},
		{"upstream", s.Upstream.TLS, s.Upstream.Secret, &e.upstream},
	} {
		made, err := secure.New(secure.Files{
			Cert: one.tls.Cert, Key: one.tls.Key, CA: one.tls.CA, ServerName: one.tls.ServerName,
			Secret: one.secret,
		}, record)
		if err != nil {
			return edges{}, errors.Wrap(err, one.path)
		}
		*one.edge = made
	}

	return e, nil
}
