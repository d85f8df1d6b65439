package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"jacinthferry/client"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthferry/core/clock"
	"jacinthferry/io/settings"
	"jacinthferry/standin/keys"
	"jacinthferry/standin/local"
)

const timeout = 20 * time.Second

// result is the exit code and output of one command line.
type result struct {
	code int
	out  string
	errs string
}

func command(ctx context.Context, args ...string) result {
	var out, errs bytes.Buffer
	code := run(ctx, append([]string{"jacinthferry"}, args...), &out, &errs)

	return result{code, out.String(), errs.String()}
}

func writeFile(dir, name, text string) string {
	path := filepath.Join(dir, name)
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())

	return path
}

const base = `{"zones":[{"name":"north"},{"name":"south"}],"services":[{"name":"posters","versions":[{"name":"v1",
"share":1,"upstreams":[{"name":"p-1","address":"10.0.0.1:9000","zone":"north","slots":2,"connections":25,"bears":1}]}]}]}`

var _ = Describe("the command line without a deployment", func() {
	It("prints help with an example for each command", func(ctx SpecContext) {
		for _, name := range []string{
			"serve", "query", "submit", "entries", "check", "apply", "get", "history", "zone", "status", "why", "schema",
		} {
			r := command(ctx, name, "--help")
			Expect(r.code).To(Equal(exitDone), name)
			Expect(r.out).To(ContainSubstring("Example"), name)
			Expect(r.out).To(ContainSubstring("jacinthferry "+name+" "), name)
		}
		Expect(command(ctx, "--help").out).To(ContainSubstring("Exit codes:"))
		Expect(command(ctx, "completion", "bash").out).To(ContainSubstring("complete"))
		Expect(command(ctx, "version").code).To(Equal(exitDone))
	})

	for _, t := range []struct {
		args []string
		want string
	}{
		{[]string{"nonsense"}, `there is no command "nonsense"`},
		{[]string{"query", "--seed", "127.0.0.1:1", "--service", "x"}, "want the text to search for"},
		{[]string{"query", "--service", "x", "text"}, "seed"},
		{[]string{"query", "--seed", "127.0.0.1:1", "--service", "x", "--priority", "high", "text"}, "want urgent or routine"},
		{[]string{"submit", "--seed", "127.0.0.1:1", "--service", "x"}, "want one body"},
		{[]string{"apply", "--operator", "127.0.0.1:1"}, "want a base file"},
		{[]string{"check"}, "want a base file"},
		{[]string{"check", "--colour"}, "colour"},
		{[]string{"zone", "out", "--operator", "127.0.0.1:1"}, "want the name of one zone"},
		{[]string{"zone"}, "want a subcommand"},
		{[]string{"schema", "nothing"}, "want config, settings or entry"},
	} {
		It("exits 2 for "+strings.Join(t.args, " "), func(ctx SpecContext) {
			r := command(ctx, t.args...)
			Expect(r.code).To(Equal(exitUsage), r.errs)
			Expect(r.errs).To(ContainSubstring(t.want))
		})
	}

	It("checks a base configuration with overlays", func(ctx SpecContext) {
		dir := GinkgoT().TempDir()
		first := writeFile(dir, "base.json", base)
		overlay := writeFile(dir, "more.json", `{"services":[{"name":"posters","versions":[{"name":"v1","upstreams":[
			{"name":"p-2","address":"10.0.0.2:9000","zone":"south","slots":2,"connections":25,"bears":1}]}]}]}`)
		Expect(command(ctx, "check", first)).To(Equal(result{exitDone, "valid: 2 zones, 1 services, 1 upstreams\n", ""}))
		Expect(command(ctx, "check", first, overlay)).To(Equal(result{exitDone, "valid: 2 zones, 1 services, 2 upstreams\n", ""}))

		invalid := writeFile(dir, "bad.json", `{"zones":[{"name":"south","remove":true}],"services":[{"name":"posters","versions":[
			{"name":"v1","share":null}]}]}`)
		r := command(ctx, "check", first, overlay, invalid)
		Expect(r).To(Equal(result{exitFailed, "", "error: found 2\n" +
			"services[posters].versions[v1].upstreams[p-2].zone: there is no availability zone \"south\", want one of zones\n" +
			"services[posters].versions: no version has a share, want at least one share above 0\n"}))
		var found errorJSON
		Expect(json.Unmarshal([]byte(command(ctx, "check", "--json", first, overlay, invalid).errs), &found)).To(Succeed())
		Expect(found.Faults).To(HaveLen(2))
		Expect(command(ctx, "check", "absent.json").errs).To(ContainSubstring("absent.json"))
	})

	It("checks the settings of serve", func(ctx SpecContext) {
		path := writeFile(GinkgoT().TempDir(), "settings.json", `{"name":"d-1","lanes":3}`)
		r := command(ctx, "serve", "--check", "-f", path)
		Expect(r.code).To(Equal(exitFailed))
		Expect(r.errs).To(ContainSubstring("lanes: is not a field"))
	})

	It("prints advice when no daemon is reachable", func(ctx SpecContext) {
		r := command(ctx, "status", "--operator", "127.0.0.1:1")
		Expect(r.code).To(Equal(exitFailed))
		Expect(r.errs).To(ContainSubstring("Check the address"))
	})
})

var _ = Describe("the command line", func() {
	var (
		d        *local.Deployment
		dir      string
		operator string
		seed     string
	)

	operatorArgs := func(name string, more ...string) []string {
		return append([]string{name, "--operator", operator}, more...)
	}

	BeforeEach(func() {
		var err error
		d, err = local.Start(context.Background(), local.Options{
			Daemons: 2, Zones: 2, Services: []string{"markers"}, Upstreams: 4, Shards: 8, Replicas: 2, ServiceTime: clock.Millisecond,
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Close)
		dir, operator, seed = GinkgoT().TempDir(), d.Daemons[0].OperatorAddress(), d.Daemons[0].CallerAddress()
	})

	apply := func(ctx context.Context, more ...string) int64 {
		text, err := d.Config.Encode()
		Expect(err).NotTo(HaveOccurred())
		path := writeFile(dir, "base.json", string(text))
		var applied appliedJSON
		Eventually(func() int {
			r := command(ctx, append(operatorArgs("apply", "--json", "--who", "ada", "--note", "first"), append(more, path)...)...)
			_ = json.Unmarshal([]byte(r.out), &applied)

			return r.code
		}).WithTimeout(timeout).Should(Equal(exitDone))
		Expect(d.AwaitReady()).To(Succeed())

		return applied.Revision
	}

	It("applies a configuration, records the author and refuses an outdated revision", func(ctx SpecContext) {
		Expect(command(ctx, operatorArgs("get")...).errs).To(ContainSubstring("Apply a configuration first"))
		revision := apply(ctx)
		got := command(ctx, operatorArgs("get")...)
		Expect(got.code).To(Equal(exitDone))
		Expect(command(ctx, "check", writeFile(dir, "got.json", got.out)).code).To(Equal(exitDone))

		conflicting := command(ctx, operatorArgs("apply", "--json", "--expect", "1", filepath.Join(dir, "base.json"))...)
		Expect(conflicting.code).To(Equal(exitFailed))
		var refused errorJSON
		Expect(json.Unmarshal([]byte(conflicting.errs), &refused)).To(Succeed())
		Expect(refused.Reason).To(Equal("conflict"))
		Expect(refused.Run).To(Equal("no"))

		var history []recordJSON
		Expect(json.Unmarshal([]byte(command(ctx, operatorArgs("history", "--json")...).out), &history)).To(Succeed())
		Expect(history[0]).To(And(HaveField("Revision", revision), HaveField("Who", "ada"), HaveField("Note", "first")))
		Expect(command(ctx, operatorArgs("history")...).out).To(ContainSubstring("ada"))
	})

	It("takes a zone out of service and back", func(ctx SpecContext) {
		apply(ctx)
		list := func() (zones []zoneJSON) {
			Expect(json.Unmarshal([]byte(command(ctx, "zone", "list", "--operator", operator, "--json").out), &zones)).To(Succeed())

			return zones
		}
		Expect(list()).To(Equal([]zoneJSON{{"zone-a", false, 2, 4}, {"zone-b", false, 2, 4}}))
		Eventually(func() int { return command(ctx, "zone", "out", "--operator", operator, "zone-b").code }).
			WithTimeout(timeout).Should(Equal(exitDone))
		Eventually(list).WithTimeout(timeout).Should(ContainElement(zoneJSON{"zone-b", true, 2, 4}))
		Expect(command(ctx, "zone", "list", "--operator", operator).out).To(MatchRegexp(`zone-b +out`))
		Expect(command(ctx, "zone", "out", "--operator", operator, "nowhere").code).To(Equal(exitFailed))
		Expect(command(ctx, "zone", "in", "--operator", operator, "zone-b").code).To(Equal(exitDone))
		Eventually(list).WithTimeout(timeout).Should(ContainElement(zoneJSON{"zone-b", false, 2, 4}))
	})

	It("queries a service and lists entries, the status and causes", func(ctx SpecContext) {
		apply(ctx)
		var reply replyJSON
		Eventually(func() int {
			r := command(ctx, "query", "--seed", seed, "--service", "markers", "--json", "washed", "out", "cairn")
			_ = json.Unmarshal([]byte(r.out), &reply)

			return reply.Covered
		}).WithTimeout(timeout).Should(Equal(8))
		Expect(reply.Documents).NotTo(BeEmpty())
		Expect(command(ctx, "query", "--seed", seed, "--service", "markers", "cairn").out).To(HavePrefix("8 of 8 shards"))
		Eventually(func() string { return command(ctx, "entries", "--seed", seed).out }).
			WithTimeout(timeout).Should(ContainSubstring(d.Daemons[1].CallerAddress()))

		refused := command(ctx, "query", "--seed", seed, "--service", "nonsense", "cairn")
		Expect(refused.code).To(Equal(exitFailed))
		Expect(refused.errs).To(And(ContainSubstring("run: no"), ContainSubstring("jacinthferry status")))

		Eventually(func() string { return command(ctx, operatorArgs("status")...).out }).WithTimeout(timeout).Should(And(
			ContainSubstring("4 live"), ContainSubstring("daemon-2"), ContainSubstring("8 of 8")))
		var status statusJSON
		Expect(json.Unmarshal([]byte(command(ctx, operatorArgs("status", "--json")...).out), &status)).To(Succeed())
		Expect(status.Members).To(HaveLen(2))

		var why whyJSON
		Expect(json.Unmarshal([]byte(command(ctx, operatorArgs("why", "--json")...).out), &why)).To(Succeed())
		Expect(why.Daemons).To(HaveLen(2))
		Expect(why.Causes).To(ContainElement(And(HaveField("Kind", "revision"), HaveField("Count", BeNumerically(">=", 2)))))
		Expect(command(ctx, operatorArgs("why", "--kind", "refusal")...).out).To(MatchRegexp(`refusal +service`))
	})

	It("executes a resent submit once, and refuses its id with another body", func(ctx SpecContext) {
		apply(ctx)
		id := strings.TrimSpace(command(ctx, "id").out)
		submit := func(more ...string) result {
			return command(ctx, append([]string{"submit", "--seed", seed, "--service", "markers", "--id", id, "--json"}, more...)...)
		}
		var first outcomeJSON
		Eventually(func() int {
			r := submit("cairn K-17 repaired")
			_ = json.Unmarshal([]byte(r.out), &first)

			return r.code
		}).WithTimeout(timeout).Should(Equal(exitDone))
		Expect(first.Outcome).NotTo(BeEmpty())
		again := submit("--resend", "cairn K-17 repaired")
		var second outcomeJSON
		Expect(json.Unmarshal([]byte(again.out), &second)).To(Succeed(), again.errs)
		Expect(second).To(Equal(first))
		total := 0
		for _, u := range d.Upstreams {
			total += u.Counts().DuplicateSubmits
		}
		Expect(total).To(BeZero())
		other := submit("--resend", "another body")
		Expect(other.code).NotTo(Equal(exitDone))
		Expect(other.errs).To(ContainSubstring("reused"))
	})

	It("prints the id of a refused submit", func(ctx SpecContext) {
		apply(ctx)
		id := client.NewID()
		r := command(ctx, "submit", "--seed", seed, "--service", "nonsense", "--id", id, "body")
		Expect(r.code).To(Equal(exitFailed), r.out)
		Expect(r.errs).To(And(ContainSubstring(id), ContainSubstring("run: no")))
	})

	It("uses TLS and authenticates with a shared key", func(ctx SpecContext) {
		authority, err := keys.NewCA(dir, "house")
		Expect(err).NotTo(HaveOccurred())
		cert, key, err := authority.Issue("daemon")
		Expect(err).NotTo(HaveOccurred())
		secret := writeFile(dir, "secret", "a-key-that-operators-share")
		secured, err := local.Start(context.Background(), local.Options{
			Daemons: 1, Zones: 1, Services: []string{"markers"}, Upstreams: 2, Shards: 2, Replicas: 1,
			DaemonSettings: func(s settings.Settings) settings.Settings {
				s.Operator.TLS, s.Operator.Secret = settings.TLS{Cert: cert, Key: key}, secret
				s.Caller.TLS = settings.TLS{Cert: cert, Key: key}

				return s
			},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(secured.Close)
		text, err := secured.Config.Encode()
		Expect(err).NotTo(HaveOccurred())
		base := writeFile(dir, "guarded.json", string(text))
		address := []string{"--operator", secured.Daemons[0].OperatorAddress()}
		trust := []string{"--authority", authority.CertFile}

		unauthenticated := command(ctx, append(append([]string{"apply"}, append(address, trust...)...), base)...)
		Expect(unauthenticated.code).To(Equal(exitFailed))
		Expect(unauthenticated.errs).To(And(ContainSubstring("stranger"), ContainSubstring("--secret")))
		Expect(command(ctx, append([]string{"status"}, address...)...).errs).To(ContainSubstring("TLS"))

		Eventually(func() string {
			return command(ctx, append(append([]string{"apply", "--secret", secret}, append(address, trust...)...), base)...).out
		}).WithTimeout(timeout).Should(ContainSubstring("is accepted"))
		Eventually(func() string {
			return command(ctx, append([]string{
				"query", "--seed", secured.Daemons[0].CallerAddress(), "--service", "markers", "cairn",
			}, trust...)...).out
		}).WithTimeout(timeout).Should(HavePrefix("2 of 2 shards"))
	})

	It("serves until it is told to stop, and then stops as planned", func(ctx SpecContext) {
		apply(ctx)
		serving, stop := context.WithCancel(ctx)
		defer stop()
		exited := make(chan result, 1)
		var ports []any
		fetchStatus := func() string {
			return command(ctx, "status", "--json", "--operator", ports[1].(string)).out
		}
		// start starts a daemon and waits until it is ready. It reports false if the daemon finds a port taken, as
		// any process may get it between the choice and the start.
		start := func() (ready bool) {
			ports = nil
			for range 3 {
				listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", local.Loopback)
				Expect(err).NotTo(HaveOccurred())
				ports = append(ports, listener.Addr().String())
				Expect(listener.Close()).To(Succeed())
			}
			path := writeFile(dir, "settings.json", fmt.Sprintf(`{"name":"one-more","zone":"zone-a","caller":{"address":%q},
				"operator":{"address":%q},"peer":{"address":%q},"platform":{"address":%q},"control":{"keep":"100ms"}}`,
				append(ports, d.StoreAddress())...))
			go func() { exited <- command(serving, "serve", "-f", path) }()
			Eventually(func(g Gomega) {
				select {
				case r := <-exited:
					if !strings.Contains(r.errs, "address already in use") {
						StopTrying(fmt.Sprintf("the daemon exited: %+v", r)).Now()
					}

					return
				default:
				}
				g.Expect(fetchStatus()).To(And(ContainSubstring(`"ready": true`), ContainSubstring("daemon-2")))
				ready = true
			}).WithTimeout(timeout).Should(Succeed())

			return ready
		}
		for attempts := 0; !start(); attempts++ {
			Expect(attempts).To(BeNumerically("<", 3), "a port was taken at each attempt")
		}
		stop()
		var r result
		Eventually(exited).WithTimeout(timeout).Should(Receive(&r))
		Expect(r).To(Equal(result{exitDone, "", ""}))
		Expect(fetchStatus()).To(BeEmpty())
	})

	It("reads addresses from the environment and skips unreachable ones", func(ctx SpecContext) {
		GinkgoT().Setenv("JACINTHFERRY_OPERATOR", "127.0.0.1:1,"+operator)
		Expect(command(ctx, "status").code).To(Equal(exitDone))
	})
})
