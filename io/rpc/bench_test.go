package rpc_test

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"connectrpc.com/connect"

	"jacinthferry/core/event"
	"jacinthferry/io/rpc"
	"jacinthferry/io/secure"
	"jacinthferry/standin/keys"
)

// BenchmarkCall measures one call over an open connection, including client and server.
func BenchmarkCall(b *testing.B) {
	dir := b.TempDir()
	ca, err := keys.NewCA(dir, "house")
	if err != nil {
		b.Fatal(err)
	}
	cert, key, err := ca.Issue("both")
	if err != nil {
		b.Fatal(err)
	}
	secret := filepath.Join(dir, "secret")
	if err := os.WriteFile(secret, []byte("a-key-that-both-sides-share"), 0o600); err != nil {
		b.Fatal(err)
	}
	for _, t := range []struct {
		name  string
		files secure.Files
	}{
		{"cleartext", secure.Files{}},
		{"secret", secure.Files{Secret: secret}},
		{"tls", secure.Files{Cert: cert, Key: key, CA: ca.CertFile}},
	} {
		b.Run(t.name, func(b *testing.B) {
			creds, err := secure.New(t.files, nil)
			if err != nil {
				b.Fatal(err)
			}
			mux := http.NewServeMux()
			mux.Handle(procedure, connect.NewUnaryHandler(procedure,
				func(_ context.Context, r *connect.Request[message]) (*connect.Response[message], error) {
					return connect.NewResponse(r.Msg), nil
				}, rpc.HandlerOptions()))
			nothing := func(event.Event) {}
			s, err := rpc.ListenWithCredentials(loopback,
				rpc.Recover(nothing, rpc.RequireSecret(creds, rpc.RecordRefusals(nothing, mux))), creds)
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = s.Close() }()
			client := connect.NewClient[message, message](
				rpc.NewClientWithCredentials(0, creds), "http://"+s.Address()+procedure, rpc.ClientOptions())
			for b.Loop() {
				if _, err := client.CallUnary(b.Context(), connect.NewRequest(&message{Text: "hello"})); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkDial measures the time to open one connection.
func BenchmarkDial(b *testing.B) {
	dir := b.TempDir()
	ca, err := keys.NewCA(dir, "house")
	if err != nil {
		b.Fatal(err)
	}
	cert, key, err := ca.Issue("both")
	if err != nil {
		b.Fatal(err)
	}
	for _, t := range []struct {
		name  string
		files secure.Files
	}{{"cleartext", secure.Files{}}, {"tls", secure.Files{Cert: cert, Key: key, CA: ca.CertFile}}} {
		b.Run(t.name, func(b *testing.B) {
			creds, err := secure.New(t.files, nil)
			if err != nil {
				b.Fatal(err)
			}
			s, err := rpc.ListenWithCredentials(loopback, http.NotFoundHandler(), creds)
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = s.Close() }()
			for b.Loop() {
				client := rpc.NewClientWithCredentials(1, creds)
				response, err := client.Get("http://" + s.Address())
				if err != nil {
					b.Fatal(err)
				}
				_ = response.Body.Close()
				client.CloseIdleConnections()
			}
		})
	}
}
