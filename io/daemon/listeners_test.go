package daemon_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/coder/websocket"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"jacinthferry/client"
	"jacinthferry/core/clock"
	"jacinthferry/core/leg"
	"jacinthferry/core/query"
	"jacinthferry/core/reason"
	"jacinthferry/io/caller"
	"jacinthferry/io/operator"
	"jacinthferry/io/peer"
	"jacinthferry/io/rpc"
	"jacinthferry/io/secure"
	"jacinthferry/io/settings"
	"jacinthferry/standin/keys"
	"jacinthferry/standin/local"
)

const waitTimeout = 20 * time.Second

// startDeployment starts two daemons with the settings that change returns, if it is set, and applies the
// configuration with the given operator credentials, nil for none. The daemons share the keys and certificates
// that change sets.
func startDeployment(ctx context.Context, change func(settings.Settings) settings.Settings, credentials *secure.Credentials) *local.Deployment {
	d, err := local.Start(context.Background(), local.Options{
		Daemons: 2, Zones: 2, Services: []string{"markers"}, Upstreams: 4, Shards: 8, Replicas: 2,
		ServiceTime: clock.Millisecond, DaemonSettings: change,
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(d.Close)
	Eventually(func() *reason.Refusal {
		_, refusal := operator.New(d.Daemons[0].Operator(), rpc.SecureClient(0, credentials)).Apply(ctx, d.Config)

		return refusal
	}).WithTimeout(waitTimeout).Should(BeNil())
	Expect(d.AwaitReady()).To(Succeed())

	return d
}

func expectFullCoverage(ctx context.Context, address string) { expectCoverage(ctx, address, 8) }

func expectCoverage(ctx context.Context, address string, shards int) {
	c := client.New("zone-a", []string{address})
	Eventually(func() (int, error) {
		reply, err := c.Query(ctx, query.Request{
			Service: "markers", Text: "cairn", Top: 3, Deadline: c.Deadline(10 * clock.Second), Priority: leg.Routine,
		})

		return reply.Covered, err
	}).WithTimeout(waitTimeout).Should(Equal(shards))
}

func get(ctx context.Context, client *http.Client, url string) (int, string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	Expect(err).NotTo(HaveOccurred())
	response, err := client.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())

	return response.StatusCode, string(text)
}

var _ = Describe("the listeners", func() {
	It("keep serving after malformed and oversized requests on every port", func(ctx SpecContext) {
		d := startDeployment(ctx, nil, nil)
		first := d.Daemons[0]
		big := strings.Repeat("x", 40<<20)
		for _, port := range []string{first.Caller(), first.Operator(), first.Peer()} {
			for _, raw := range []string{
				"\x00\x01\x02garbage\r\n\r\n", "GET / HTTP/9.9\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\nnot frames at all",
				"\x16\x03\x01\x02\x00\x01\x00", "GET /" + big[:64<<10] + " HTTP/1.1\r\n\r\n",
				"GET / HTTP/1.1\r\nHost: x\r\nLong: " + big[:64<<10] + "\r\n\r\n",
				"POST /caller/query HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n",
			} {
				conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", port)
				Expect(err).NotTo(HaveOccurred())
				Expect(conn.SetDeadline(time.Now().Add(waitTimeout))).To(Succeed())
				_, _ = conn.Write([]byte(raw))
				_ = conn.(*net.TCPConn).CloseWrite()
				_, err = io.Copy(io.Discard, conn)
				Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeFalse(),
					"the server neither answered %q nor closed the connection", raw[:min(len(raw), 40)])
				Expect(conn.Close()).To(Succeed())
			}
			for _, path := range []string{"/caller/query", "/caller/submit", "/caller/entries", "/operator/apply", "/operator/events", "/peer", "/nothing"} {
				large := big[:5<<20]
				if path == "/operator/apply" {
					large = big
				}
				for _, body := range []string{"", "{", `{"deadline":"soon"}`, `{"text":["` + large + `"]}`, `[]`, "\xff\xfe"} {
					request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+port+path, strings.NewReader(body))
					Expect(err).NotTo(HaveOccurred())
					request.Header.Set("Content-Type", "application/json")
					response, err := http.DefaultClient.Do(request)
					if err != nil {
						// The server may close the connection while the body is still being sent.
						Expect(len(body)).To(BeNumerically(">", 1<<20), err.Error())

						continue
					}
					Expect(response.Body.Close()).To(Succeed())
					if len(body) > 1<<20 {
						Expect(response.StatusCode).To(BeNumerically(">=", http.StatusBadRequest), path)
					}
				}
			}
		}
		expectFullCoverage(ctx, first.Caller())
	})

	It("report that a malformed or oversized request was not run, and count it", func(ctx SpecContext) {
		d := startDeployment(ctx, nil, nil)
		first := d.Daemons[0]
		for _, t := range []struct {
			body string
			want reason.Code
		}{
			{`{"service":"markers","deadline":"soon"}`, reason.Invalid},
			{`{"service":"markers","top":-1}`, reason.Invalid},
			{`{"text":"` + strings.Repeat("x", 5<<20) + `"}`, reason.Size},
		} {
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+first.Caller()+"/caller/query", strings.NewReader(t.body))
			Expect(err).NotTo(HaveOccurred())
			request.Header.Set("Content-Type", "application/json")
			response, err := http.DefaultClient.Do(request)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			Expect(response.Header.Get("Reason")).To(Equal(string(t.want)))
			Expect(response.Header.Get("Run")).To(Equal("no"))
		}
		_, text := get(ctx, http.DefaultClient, "http://"+first.Operator()+"/metrics")
		Expect(text).To(ContainSubstring(`jacinthferry_events_total{kind="refusal",reason="invalid"} 2`))
		Expect(text).To(ContainSubstring(`jacinthferry_events_total{kind="refusal",reason="size"} 1`))
	})

	It("cap the deadline of a request at the server's limit of one minute", func() {
		var given clock.Milli
		handler := caller.Handler(caller.Service{
			Now: func() clock.Milli { return 0 }, NewID: client.NewID,
			Query: func(_ context.Context, r query.Request) (*query.Reply, error) {
				given = r.Deadline

				return &query.Reply{}, nil
			},
		})
		request := httptest.NewRequest(http.MethodPost, "/caller/query", strings.NewReader(`{"service":"x","deadline":"1h"}`))
		request.Header.Set("Content-Type", "application/json")
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, request)
		Expect(response.Code).To(Equal(http.StatusOK))
		Expect(given).To(Equal(clock.Minute))
	})

	It("close a peer connection that sends an invalid frame, and keep serving", func(ctx SpecContext) {
		d := startDeployment(ctx, nil, nil)
		address := d.Daemons[0].Peer()
		for _, frame := range [][]byte{{0xff, 0x00}, []byte("not CBOR"), bytes.Repeat([]byte{0x9f}, 1<<16), make([]byte, 9<<20)} {
			socket, _, err := websocket.Dial(ctx, "ws://"+address+peer.Path, &websocket.DialOptions{
				HTTPHeader: http.Header{"Name": []string{"stranger"}},
			})
			Expect(err).NotTo(HaveOccurred())
			_ = socket.Write(ctx, websocket.MessageBinary, frame)
			limited, cancel := context.WithTimeout(ctx, waitTimeout)
			for err == nil {
				_, _, err = socket.Read(limited)
			}
			Expect(limited.Err()).NotTo(HaveOccurred(), "the server kept the connection open after an invalid frame")
			cancel()
			_ = socket.CloseNow()
		}
		expectFullCoverage(ctx, d.Daemons[0].Caller())
		Eventually(func() string {
			_, text := get(ctx, http.DefaultClient, "http://"+d.Daemons[0].Operator()+"/metrics")

			return text
		}).WithTimeout(waitTimeout).Should(ContainSubstring(`jacinthferry_events_total{kind="connection",reason="invalid"} 4`))
	})

	It("serve probes and metrics on the operator's address only", func(ctx SpecContext) {
		d := startDeployment(ctx, nil, nil)
		expectFullCoverage(ctx, d.Daemons[0].Caller())
		base := "http://" + d.Daemons[0].Operator()
		for _, t := range []struct{ path, want string }{
			{"/healthz", "ok\n"},
			{"/readyz", "ready\n"},
			{"/metrics", `jacinthferry_query_seconds_count{service="markers",priority="routine",result="whole"}`},
			{"/metrics", `jacinthferry_shards_total{service="markers",state="covered"}`},
			{"/metrics", "jacinthferry_ready 1\njacinthferry_revision "},
			{"/metrics", "process_resident_memory_bytes"},
			{"/debug/pprof/", "goroutine"},
		} {
			status, text := get(ctx, http.DefaultClient, base+t.path)
			Expect(status).To(Equal(http.StatusOK), t.path)
			Expect(text).To(ContainSubstring(t.want))
			for _, other := range []string{d.Daemons[0].Caller(), d.Daemons[0].Peer()} {
				status, _ := get(ctx, http.DefaultClient, "http://"+other+t.path)
				Expect(status).To(Equal(http.StatusNotFound), t.path)
			}
		}
	})

	It("are not ready without a configuration", func(ctx SpecContext) {
		d, err := local.Start(context.Background(), local.Options{Daemons: 1, Zones: 1})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Close)
		status, text := get(ctx, http.DefaultClient, "http://"+d.Daemons[0].Operator()+"/readyz")
		Expect(status).To(Equal(http.StatusServiceUnavailable))
		Expect(text).To(HavePrefix("no configuration yet"))
	})

	It("refuse and count unauthenticated clients, and accept authenticated ones", func(ctx SpecContext) {
		dir := GinkgoT().TempDir()
		ca, err := keys.NewCA(dir, "house")
		Expect(err).NotTo(HaveOccurred())
		cert, key, err := ca.Issue("daemon")
		Expect(err).NotTo(HaveOccurred())
		secret := filepath.Join(dir, "secret")
		Expect(os.WriteFile(secret, []byte("a-key-that-operators-share\n"), 0o600)).To(Succeed())
		withSecret, err := secure.New(secure.Files{CA: ca.CertFile, Secret: secret}, nil)
		Expect(err).NotTo(HaveOccurred())
		withoutSecret, err := secure.New(secure.Files{CA: ca.CertFile}, nil)
		Expect(err).NotTo(HaveOccurred())
		d := startDeployment(ctx, func(s settings.Settings) settings.Settings {
			s.Operator.TLS, s.Operator.Secret = settings.TLS{Cert: cert, Key: key}, secret
			s.Peer.TLS = settings.TLS{Cert: cert, Key: key, CA: ca.CertFile}

			return s
		}, withSecret)
		first := d.Daemons[0]

		_, refusal := operator.New(first.Operator(), rpc.SecureClient(0, withoutSecret)).Apply(ctx, d.Config)
		Expect(refusal).To(And(HaveField("Reason", reason.Stranger), HaveField("Run", reason.NotExecuted)))
		status, _ := get(ctx, rpc.SecureClient(0, withoutSecret), "http://"+first.Operator()+"/metrics")
		Expect(status).To(Equal(http.StatusUnauthorized))
		status, _ = get(ctx, rpc.SecureClient(0, withoutSecret), "http://"+first.Operator()+"/healthz")
		Expect(status).To(Equal(http.StatusOK))
		for _, credentials := range []*secure.Credentials{nil, withoutSecret} {
			_, _, err = websocket.Dial(ctx, "ws://"+first.Peer()+peer.Path, &websocket.DialOptions{
				HTTPClient: rpc.SecureClient(0, credentials), HTTPHeader: http.Header{"Name": []string{"stranger"}},
			})
			Expect(err).To(HaveOccurred())
		}
		Eventually(func() string {
			_, text := get(ctx, rpc.SecureClient(0, withSecret), "http://"+first.Operator()+"/metrics")

			return text
		}).WithTimeout(waitTimeout).Should(ContainSubstring(`jacinthferry_events_total{kind="refusal",reason="stranger"} 3`))
		for _, each := range d.Daemons {
			expectFullCoverage(ctx, each.Caller())
		}
	})
})
