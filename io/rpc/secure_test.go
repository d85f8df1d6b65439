package rpc_test

import (
	"context"
	"crypto/tls"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthferry/core/event"
	"jacinthferry/core/reason"
	"jacinthferry/io/rpc"
	"jacinthferry/io/secure"
	"jacinthferry/standin/keys"
)

const (
	loopback  = "127.0.0.1:0"
	procedure = "/trial/echo"
	timeout   = 20 * time.Second
)

type message struct {
	Text string `json:"text"`
}

// events collects recorded events.
type events struct {
	mu   sync.Mutex
	list []event.Event
}

func (e *events) record(v event.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = append(e.list, v)
}

func (e *events) count(kind event.Kind, code reason.Code) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, v := range e.list {
		if v.Kind == kind && v.Reason == code {
			n++
		}
	}

	return n
}

var _ = Describe("a secured server", func() {
	var (
		dir      string
		recorded *events
		ca       *keys.CA
		otherCA  *keys.CA
	)

	creds := func(f secure.Files) *secure.Credentials {
		e, err := secure.New(f, recorded.record)
		Expect(err).NotTo(HaveOccurred())

		return e
	}
	files := func(a *keys.CA, name string) secure.Files {
		cert, key, err := a.Issue(name)
		Expect(err).NotTo(HaveOccurred())

		return secure.Files{Cert: cert, Key: key, CA: a.CertFile}
	}
	serve := func(e *secure.Credentials) string {
		mux := http.NewServeMux()
		mux.Handle(procedure, connect.NewUnaryHandler(procedure,
			func(_ context.Context, r *connect.Request[message]) (*connect.Response[message], error) {
				if r.Msg.Text == "panic" {
					panic("at the disco")
				}

				return connect.NewResponse(r.Msg), nil
			}, rpc.HandlerOptions()))
		s, err := rpc.ListenWithCredentials(loopback, rpc.Recover(recorded.record, rpc.RequireSecret(e, mux)), e)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)

		return s.Address()
	}
	call := func(ctx context.Context, address string, e *secure.Credentials, text string) *reason.Refusal {
		client := rpc.NewClientWithCredentials(0, e)
		defer client.CloseIdleConnections()
		_, err := connect.NewClient[message, message](client, "http://"+address+procedure, rpc.ClientOptions()).
			CallUnary(ctx, connect.NewRequest(&message{Text: text}))

		return rpc.RefusalFrom(err)
	}
	beUnauthenticated := And(Not(BeNil()), HaveField("Reason", reason.Stranger), HaveField("Run", reason.NotExecuted))

	BeforeEach(func() {
		var err error
		dir, recorded = GinkgoT().TempDir(), &events{}
		ca, err = keys.NewCA(dir, "house")
		Expect(err).NotTo(HaveOccurred())
		otherCA, err = keys.NewCA(dir, "stranger")
		Expect(err).NotTo(HaveOccurred())
	})

	It("serves clients with a certificate over HTTP/1.1 and HTTP/2", func(ctx SpecContext) {
		address := serve(creds(files(ca, "server")))
		client := creds(files(ca, "client"))
		Expect(call(ctx, address, client, "hello")).To(BeNil())

		config := client.ClientConfig()
		config.NextProtos = []string{"h2"}
		second := &http.Client{Transport: &http.Transport{TLSClientConfig: config, ForceAttemptHTTP2: true}}
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "https://"+address+procedure, nil)
		Expect(err).NotTo(HaveOccurred())
		response, err := second.Do(request)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.ProtoMajor).To(Equal(2))
	})

	It("refuses and records clients without a certificate or with one from another CA", func(ctx SpecContext) {
		address := serve(creds(files(ca, "server")))
		// A TLS 1.3 client has sent its request before it receives the refusal, which may arrive as a
		// closed connection: the client knows only that the call failed.
		Expect(call(ctx, address, creds(secure.Files{CA: ca.CertFile}), "hello")).NotTo(BeNil())
		other := files(otherCA, "other")
		other.CA = ca.CertFile
		Expect(call(ctx, address, creds(other), "hello")).NotTo(BeNil())
		Eventually(func() int { return recorded.count(event.Refusal, reason.Stranger) }).WithTimeout(timeout).Should(Equal(2))
	})

	It("is rejected by a client that trusts another CA", func(ctx SpecContext) {
		address := serve(creds(files(ca, "server")))
		Expect(call(ctx, address, creds(files(otherCA, "other")), "hello")).To(beUnauthenticated)
	})

	It("reports a mismatch of cleartext and TLS in both directions", func(ctx SpecContext) {
		Expect(call(ctx, serve(creds(files(ca, "server"))), nil, "hello")).To(
			HaveField("Detail", ContainSubstring("TLS")))
		Expect(call(ctx, serve(nil), creds(files(ca, "client")), "hello")).To(beUnauthenticated)
	})

	It("reloads keys and CA certificates without a restart, and keeps the old ones if a file is invalid", func(ctx SpecContext) {
		own := files(ca, "server")
		address := serve(creds(own))
		client := creds(files(ca, "client"))
		Expect(os.WriteFile(own.Key, []byte("half a key"), 0o600)).To(Succeed())
		Eventually(func() int {
			Expect(call(ctx, address, client, "hello")).To(BeNil())

			return recorded.count(event.Key, reason.Invalid)
		}).WithTimeout(timeout).Should(BeNumerically(">", 0))

		_, _, err := otherCA.Issue("server")
		Expect(err).NotTo(HaveOccurred())
		authority, err := os.ReadFile(otherCA.CertFile)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(own.CA, authority, 0o600)).To(Succeed())
		changed := creds(files(otherCA, "client"))
		Eventually(func() *reason.Refusal { return call(ctx, address, changed, "hello") }).
			WithTimeout(timeout).Should(BeNil())
		Eventually(func() *reason.Refusal { return call(ctx, address, client, "hello") }).
			WithTimeout(timeout).Should(BeNil(), "the client reloads the CA certificate too")
	})

	It("accepts only clients with a shared key, and reloads shared keys without a restart", func(ctx SpecContext) {
		secret := func(name string, lines string) secure.Files {
			path := filepath.Join(dir, name)
			Expect(os.WriteFile(path, []byte(lines), 0o600)).To(Succeed())

			return secure.Files{Secret: path}
		}
		address := serve(creds(secret("server", "first-shared-key-of-all\n")))
		old, next := creds(secret("old", "first-shared-key-of-all")), creds(secret("next", "second-shared-key-of-all"))
		Expect(call(ctx, address, old, "hello")).To(BeNil())
		Expect(call(ctx, address, nil, "hello")).To(beUnauthenticated)
		Expect(call(ctx, address, next, "hello")).To(beUnauthenticated)
		Expect(recorded.count(event.Refusal, reason.Stranger)).To(Equal(2))
		secret("server", "second-shared-key-of-all\nfirst-shared-key-of-all\n")
		Eventually(func() *reason.Refusal { return call(ctx, address, next, "hello") }).
			WithTimeout(timeout).Should(BeNil())
		Expect(call(ctx, address, old, "hello")).To(BeNil())
	})

	It("answers a panic with a refusal, records it and continues to serve", func(ctx SpecContext) {
		address := serve(nil)
		refusal := call(ctx, address, nil, "panic")
		Expect(refusal).To(And(HaveField("Reason", reason.Internal), HaveField("Run", reason.ExecutionUnknown)))
		Expect(refusal.Detail).NotTo(ContainSubstring("disco"))
		Expect(recorded.count(event.Refusal, reason.Internal)).To(Equal(1))
		Expect(call(ctx, address, nil, "hello")).To(BeNil())
	})

	for _, r := range []*reason.Refusal{
		reason.NewRefusal(reason.Service, reason.NotExecuted, "no service named x"), reason.NewRefusal(reason.Overload, reason.ExecutionUnknown, ""),
		reason.NewRefusal(reason.Failed, reason.Executed, "failed: twice (run: no)"),
	} {
		It("restores the refusal from the error: "+r.Error(), func() {
			Expect(rpc.RefusalFrom(rpc.ConnectError(r))).To(Equal(r))
		})
	}

	It("reports that the work was not run if no connection could be opened", func(ctx SpecContext) {
		// Nothing listens on port 1; a port closed just before may be in use again.
		Expect(call(ctx, "127.0.0.1:1", nil, "hello")).To(
			And(HaveField("Reason", reason.Connection), HaveField("Run", reason.NotExecuted)))
	})

	for _, t := range []struct {
		fault string
		files secure.Files
		want  string
	}{
		{"a missing key", secure.Files{Cert: "absent.pem", Key: "absent.pem"}, "certificate absent.pem and key absent.pem: "},
		{"a missing CA file", secure.Files{CA: "absent.pem"}, "authority: open absent.pem: "},
		{"a CA file without a certificate", secure.Files{CA: "suite_test.go"}, "authority suite_test.go: holds no PEM certificate"},
		{"an empty secret file", secure.Files{Secret: os.DevNull}, "secret /dev/null: is empty, want one shared key a line"},
	} {
		It("does not start with "+t.fault, func() {
			_, err := secure.New(t.files, nil)
			Expect(err).To(MatchError(secure.ErrInvalidFiles))
			Expect(err.Error()).To(HavePrefix(t.want))
		})
	}

	It("refuses TLS older than 1.2", func(ctx SpecContext) {
		address := serve(creds(files(ca, "server")))
		config := creds(files(ca, "client")).ClientConfig()
		config.MinVersion, config.MaxVersion = tls.VersionTLS10, tls.VersionTLS11
		_, err := (&tls.Dialer{Config: config}).DialContext(ctx, "tcp", address)
		Expect(err).To(HaveOccurred())
	})
})
