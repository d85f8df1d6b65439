package daemon

import (
	"github.com/pkg/errors"

	"jacinthferry/core/event"
	"jacinthferry/io/secure"
	"jacinthferry/io/settings"
)

// credentials holds the credentials of each listener and dialler.
type credentials struct {
	caller, operator, peer, platform, upstream *secure.Credentials
}

func newCredentials(s settings.Settings, record func(event.Event)) (credentials, error) {
	var c credentials
	for _, e := range []struct {
		path   string
		tls    settings.TLS
		secret string
		target **secure.Credentials
	}{
		{"caller", s.Caller.TLS, s.Caller.Secret, &c.caller},
		{"operator", s.Operator.TLS, s.Operator.Secret, &c.operator},
		{"peer", s.Peer.TLS, s.Peer.Secret, &c.peer},
		{"platform", s.Platform.TLS, s.Platform.Secret, &c.platform},
		{"upstream", s.Upstream.TLS, s.Upstream.Secret, &c.upstream},
	} {
		loaded, err := secure.New(secure.Files{
			Cert: e.tls.Cert, Key: e.tls.Key, CA: e.tls.CA, ServerName: e.tls.ServerName,
			Secret: e.secret,
		}, record)
		if err != nil {
			return credentials{}, errors.Wrap(err, e.path)
		}
		*e.target = loaded
	}

	return c, nil
}
