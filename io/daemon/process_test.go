package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"syscall"
	"time"

	"jacinthferry/client"
	"jacinthferry/core/clock"
	"jacinthferry/io/caller"
	"jacinthferry/io/operator"
	"jacinthferry/io/rpc"
	"jacinthferry/io/settings"
	"jacinthferry/io/timer"
	"jacinthferry/standin/local"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// process is a daemon that runs in an operating system process of its own.
type process struct {
	*os.Process
	settings settings.Settings
}

// spawn starts a program that writes its output to a file.
func spawn(output string, argv ...string) *os.Process {
	file, err := os.Create(output)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = file.Close() }()
	p, err := os.StartProcess(argv[0], argv, &os.ProcAttr{Dir: "../..", Env: os.Environ(), Files: []*os.File{nil, file, file}})
	Expect(err).NotTo(HaveOccurred())

	return p
}

// build compiles the program into dir and returns its path.
func build(dir string) string {
	program := filepath.Join(dir, "jacinthferry")
	compiler := filepath.Join(runtime.GOROOT(), "bin", "go") //nolint:staticcheck // Tests run where they were built.
	state, err := spawn(filepath.Join(dir, "build"), compiler, "build", "-o", program, "./cmd/jacinthferry").Wait()
	Expect(err).NotTo(HaveOccurred())
	Expect(state.Success()).To(BeTrue())

	return program
}

// servingRecord is the record that a daemon logs once its listeners are open.
type servingRecord struct {
	Message  string `json:"msg"`
	Caller   string `json:"caller"`
	Operator string `json:"operator"`
}

// startProcess starts a daemon on ports that the operating system assigns and reads them from its log.
func startProcess(program, dir, store string, i int) process {
	s := settings.Default()
	s.Name, s.Zone = fmt.Sprintf("daemon-%d", i), "zone-"+string(rune('a'+i%3))
	s.Caller.Address, s.Operator.Address, s.Peer.Address = local.Loopback, local.Loopback, local.Loopback
	s.Platform.Address = store
	s.Control.EntriesTTL = clock.Second
	text, err := json.Marshal(s)
	Expect(err).NotTo(HaveOccurred())
	file, output := filepath.Join(dir, s.Name+".json"), filepath.Join(dir, s.Name+".log")
	Expect(os.WriteFile(file, text, 0o600)).To(Succeed())
	p := process{spawn(output, program, "serve", "-f", file), s}
	DeferCleanup(func() {
		_ = p.Kill()
		_, _ = p.Wait()
	})
	Eventually(func() bool {
		log, err := os.ReadFile(output)
		Expect(err).NotTo(HaveOccurred())
		for line := range bytes.Lines(log) {
			var l servingRecord
			if json.Unmarshal(line, &l) == nil && l.Message == "serving" {
				p.settings.Caller.Address, p.settings.Operator.Address = l.Caller, l.Operator

				return true
			}
		}

		return false
	}).WithTimeout(20 * time.Second).Should(BeTrue())

	return p
}

var _ = Describe("daemons as processes", Ordered, func() {
	var d *local.Deployment
	var daemons []process
	var seeds []string
	var program string
	now := timer.NewClock()

	BeforeAll(func() { program = build(GinkgoT().TempDir()) })

	BeforeEach(func(ctx SpecContext) {
		var err error
		d, err = local.Start(context.Background(), local.Options{
			Zones: 3, Services: []string{"markers"}, Upstreams: 6, Shards: 6, Replicas: 3, ServiceTime: clock.Millisecond,
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { d.Close() })
		daemons, seeds = nil, nil
		dir := GinkgoT().TempDir()
		for i := range 6 {
			p := startProcess(program, dir, d.StoreAddress(), i)
			daemons, seeds = append(daemons, p), append(seeds, p.settings.Caller.Address)
		}
		Eventually(func() bool {
			_, refusal := operator.New(daemons[0].settings.Operator.Address, rpc.Client(0)).Apply(ctx, d.Config)

			return refusal == nil
		}).WithTimeout(20 * time.Second).Should(BeTrue())
	})

	startSteadyLoad := func(attempts int) *load {
		l := startLoadWithAttempts(seeds, 6, attempts)
		DeferCleanup(l.end)
		Eventually(func() bool {
			n, _, failed := l.takeResults()

			return n > 0 && len(failed) == 0
		}).WithTimeout(20 * time.Second).WithPolling(500 * time.Millisecond).Should(BeTrue())

		return l
	}

	// listed reports whether the entries of any other daemon contain the given one.
	listed := func(ctx context.Context, target process) bool {
		for _, p := range daemons {
			if p.Pid == target.Pid {
				continue
			}
			list, _, err := caller.New(p.settings.Caller.Address, rpc.Client(0), now).Entries(ctx, "")
			if err != nil {
				return true
			}
			for _, e := range list {
				if e.Address == target.settings.Caller.Address {
					return true
				}
			}
		}

		return false
	}

	attempts := client.DefaultPolicy().Attempts

	// submitters is the number of callers that submit. Each sends one request at a time, so no more are in flight.
	const submitters = 3

	// checkSubmits ends the submits and checks that none ran twice, and that no more have an unknown
	// outcome than were in flight each time requests were interrupted.
	checkSubmits := func(s *submitLoad, interruptions int) {
		s.end()
		counts := d.UpstreamCounts()
		GinkgoWriter.Printf("submits: %d run, %d not run, %d unknown (%s), %d run by upstreams, %d of them twice\n",
			s.done, s.notRun, s.unknown, s.lastError, counts.Submits, counts.DuplicateSubmits)
		Expect(counts.DuplicateSubmits).To(BeZero())
		Expect(s.done).To(BeNumerically(">", 0))
		Expect(s.unknown).To(BeNumerically("<=", interruptions*submitters))
		Expect(counts.Submits).To(BeNumerically(">=", s.done))
		Expect(counts.Submits).To(BeNumerically("<=", s.done+s.unknown))
	}

	It("lose no request to kill -9 and recover", func(ctx SpecContext) {
		l := startSteadyLoad(attempts)
		s := startSubmitLoad(seeds, submitters)
		time.Sleep(time.Second)
		victim := daemons[4]
		Expect(victim.Kill()).To(Succeed())
		start := now()
		Eventually(func() bool { return listed(ctx, victim) }).WithTimeout(20 * time.Second).Should(BeFalse())
		removedAfter := now() - start
		time.Sleep(max(0, 3*clock.Second-removedAfter).Duration())
		n, p99, failed := l.takeResults()
		GinkgoWriter.Printf("kill -9: out of entries after %v; %d queries, p99 %v, failed %v\n", removedAfter, n, p99, failed)
		Expect(failed).To(BeEmpty())
		time.Sleep(time.Second)
		n, p99, failed = l.takeResults()
		GinkgoWriter.Printf("kill -9, the fourth second: %d queries, p99 %v, failed %v\n", n, p99, failed)
		Expect(failed).To(BeEmpty())
		checkSubmits(s, 1)
		Expect(d.UpstreamCounts().AboveColdLimit).To(BeZero())
	})

	It("go on while one is stopped, which does no harm when it wakes", func(ctx SpecContext) {
		l := startSteadyLoad(attempts)
		s := startSubmitLoad(seeds, submitters)
		time.Sleep(time.Second)
		victim := daemons[4]
		Expect(victim.Signal(syscall.SIGSTOP)).To(Succeed())
		start := now()
		Eventually(func() bool { return listed(ctx, victim) }).WithTimeout(20 * time.Second).Should(BeFalse())
		removedAfter := now() - start
		time.Sleep(time.Second)
		Expect(victim.Signal(syscall.SIGCONT)).To(Succeed())
		Eventually(func() bool { return listed(ctx, victim) }).WithTimeout(20 * time.Second).Should(BeTrue())
		time.Sleep(time.Second)
		n, p99, failed := l.takeResults()
		GinkgoWriter.Printf("SIGSTOP: out of entries after %v; %d queries, p99 %v, failed %v\n", removedAfter, n, p99, failed)
		Expect(failed).To(BeEmpty())
		checkSubmits(s, 2) // when it stopped, and when it resumed after the others had removed it
		Expect(d.UpstreamCounts().AboveColdLimit).To(BeZero())
	})

	It("exit with status 0 on SIGTERM and interrupt no request", func() {
		l := startSteadyLoad(1)
		victim := daemons[4]
		Expect(victim.Signal(syscall.SIGTERM)).To(Succeed())
		state, err := victim.Wait()
		Expect(err).NotTo(HaveOccurred())
		Expect(state.ExitCode()).To(BeZero())
		n, p99, failed := l.takeResults()
		GinkgoWriter.Printf("SIGTERM: %d queries, p99 %v, failed %v\n", n, p99, failed)
		Expect(failed).To(BeEmpty())
	})
})
