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

const patience = 20 * time.Second

// edgeDeployment starts two daemons that share keys and certificates where secured is set.
func edgeDeployment(ctx context.Context, change func(settings.Settings) settings.Settings, edge *secure.Credentials) *local.Deployment {
	d, err := local.Start(context.Background(), local.Options{
		Daemons: 2, Zones: 2, Services: []string{"markers"}, Upstreams: 4, Shards: 8, Replicas: 2,
		ServiceTime: clock.Millisecond, DaemonSettings: change,
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(d.Close)
	Eventually(func() *reason.Refusal {
		_, refusal := operator.NewClient(d.Daemons[0].Operator(), rpc.NewClientWithCredentials(0, edge)).ApplyConfig(ctx, d.Config)

		return refusal
	}).WithTimeout(patience).Should(BeNil())
	Expect(d.AwaitReady()).To(Succeed())

	return d
}

func beWhole(ctx context.Context, address string) { beCovered(ctx, address, 8) }

func beCovered(ctx context.Context, address string, shards int) {
	c := client.New("zone-a", []string{address})
	Eventually(func() (int, error) {
		reply, err := c.Query(ctx, query.Request{
			Service: "markers", Text: "cairn", Top: 3, Deadline: c.Deadline(10 * clock.Second), Priority: leg.Routine,
		})

		return reply.Covered, err
	}).WithTimeout(patience).Should(Equal(shards))
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

var _ = Describe("the edges", func() {
	It("serve on after garbage and oversized requests on every port", func(ctx SpecContext) {
		d := edgeDeployment(ctx, nil, nil)
		one := d.Daemons[0]
		big := strings.Repeat("x", 40<<20)
		for _, port := range []string{one.Caller(), one.Operator(), one.Peer()} {
			for _, raw := range []string{
				"\x00\x01\x02garbage\r\n\r\n", "GET / HTTP/9.9\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\nnot frames at all",
				"\x16\x03\x01\x02\x00\x01\x00", "GET /" + big[:64<<10] + " HTTP/1.1\r\n\r\n",
				"GET / HTTP/1.1\r\nHost: x\r\nLong: " + big[:64<<10] + "\r\n\r\n",
				"POST /caller/query HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n",
			} {
				conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", port)
				Expect(err).NotTo(HaveOccurred())
				Expect(conn.SetDeadline(time.Now().Add(patience))).To(Succeed())
				_, _ = conn.Write([]byte(raw))
				_ = conn.(*net.TCPConn).CloseWrite()
				_, err = io.Copy(io.Discard, conn)
				Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeFalse(),
					"%q is neither answered nor closed", raw[:min(len(raw), 40)])
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
		beWhole(ctx, one.Caller())
	})

	It("say that a malformed or oversized request was not run, and count it", func(ctx SpecContext) {
		d := edgeDeployment(ctx, nil, nil)
		one := d.Daemons[0]
		for _, t := range []struct {
			body string
			want reason.Code
		}{
			{`{"service":"markers","deadline":"soon"}`, reason.Invalid},
			{`{"service":"markers","top":-1}`, reason.Invalid},
			{`{"text":"` + strings.Repeat("x", 5<<20) + `"}`, reason.Size},
		} {
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+one.Caller()+"/caller/query", strings.NewReader(t.body))
			Expect(err).NotTo(HaveOccurred())
			request.Header.Set("Content-Type", "application/json")
			response, err := http.DefaultClient.Do(request)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			Expect(response.Header.Get("Reason")).To(Equal(string(t.want)))
			Expect(response.Header.Get("Run")).To(Equal("no"))
		}
		_, text := get(ctx, http.DefaultClient, "http://"+one.Operator()+"/metrics")
		Expect(text).To(ContainSubstring(`jacinthferry_events_total{kind="refusal",reason="invalid"} 2`))
		Expect(text).To(ContainSubstring(`jacinthferry_events_total{kind="refusal",reason="size"} 1`))
	})

	It("give no request more than the minute that servers allow", func() {
		var given clock.Milli
		handler := caller.Handler(caller.Operations{
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

	It("close a link that sends garbage and serve on", func(ctx SpecContext) {
		d := edgeDeployment(ctx, nil, nil)
		address := d.Daemons[0].Peer()
		for _, frame := range [][]byte{{0xff, 0x00}, []byte("not CBOR"), bytes.Repeat([]byte{0x9f}, 1<<16), make([]byte, 9<<20)} {
			socket, _, err := websocket.Dial(ctx, "ws://"+address+peer.Path, &websocket.DialOptions{
				HTTPHeader: http.Header{"Name": []string{"stranger"}},
			})
			Expect(err).NotTo(HaveOccurred())
			_ = socket.Write(ctx, websocket.MessageBinary, frame)
			limited, cancel := context.WithTimeout(ctx, patience)
			for err == nil {
				_, _, err = socket.Read(limited)
			}
			Expect(limited.Err()).NotTo(HaveOccurred(), "the link stayed open")
			cancel()
			_ = socket.CloseNow()
		}
		beWhole(ctx, d.Daemons[0].Caller())
		Eventually(func() string {
			_, text := get(ctx, http.DefaultClient, "http://"+d.Daemons[0].Operator()+"/metrics")

			return text
		}).WithTimeout(patience).Should(ContainSubstring(`jacinthferry_events_total{kind="connection",reason="invalid"} 4`))
	})

	It("serve probes and metrics on the operator's address alone", func(ctx SpecContext) {
		d := edgeDeployment(ctx, nil, nil)
		beWhole(ctx, d.Daemons[0].Caller())
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

	It("refuse and count strangers, and let those in who prove who they are", func(ctx SpecContext) {
		dir := GinkgoT().TempDir()
		house, err := keys.NewCA(dir, "house")
		Expect(err).NotTo(HaveOccurred())
		cert, key, err := house.Issue("daemon")
		Expect(err).NotTo(HaveOccurred())
		secret := filepath.Join(dir, "secret")
		Expect(os.WriteFile(secret, []byte("a-key-that-operators-share\n"), 0o600)).To(Succeed())
		known, err := secure.New(secure.Files{CA: house.CertFile, Secret: secret}, nil)
		Expect(err).NotTo(HaveOccurred())
		unknown, err := secure.New(secure.Files{CA: house.CertFile}, nil)
		Expect(err).NotTo(HaveOccurred())
		d := edgeDeployment(ctx, func(s settings.Settings) settings.Settings {
			s.Operator.TLS, s.Operator.Secret = settings.TLS{Cert: cert, Key: key}, secret
			s.Peer.TLS = settings.TLS{Cert: cert, Key: key, CA: house.CertFile}

			return s
		}, known)
		one := d.Daemons[0]

		_, refusal := operator.NewClient(one.Operator(), rpc.NewClientWithCredentials(0, unknown)).ApplyConfig(ctx, d.Config)
		Expect(refusal).To(And(HaveField("Reason", reason.Stranger), HaveField("Run", reason.NotExecuted)))
		status, _ := get(ctx, rpc.NewClientWithCredentials(0, unknown), "http://"+one.Operator()+"/metrics")
		Expect(status).To(Equal(http.StatusUnauthorized))
		status, _ = get(ctx, rpc.NewClientWithCredentials(0, unknown), "http://"+one.Operator()+"/healthz")
		Expect(status).To(Equal(http.StatusOK))
		for _, edge := range []*secure.Credentials{nil, unknown} {
			_, _, err = websocket.Dial(ctx, "ws://"+one.Peer()+peer.Path, &websocket.DialOptions{
				HTTPClient: rpc.NewClientWithCredentials(0, edge), HTTPHeader: http.Header{"Name": []string{"stranger"}},
			})
			Expect(err).To(HaveOccurred())
		}
		Eventually(func() string {
			_, text := get(ctx, rpc.NewClientWithCredentials(0, known), "http://"+one.Operator()+"/metrics")

			return text
		}).WithTimeout(patience).Should(ContainSubstring(`jacinthferry_events_total{kind="refusal",reason="stranger"} 3`))
		for _, each := range d.Daemons {
			beWhole(ctx, each.Caller())
		}
	})
})
