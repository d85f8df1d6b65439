package main

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthferry/core/clock"
	"jacinthferry/io/settings"
	"jacinthferry/io/timer"
	"jacinthferry/standin/platform"
)

// runAsProgram is set in the environment of a process that runs the program in place of its tests.
const runAsProgram = "JACINTHFERRY_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgram) != "" {
		main()
	}
	os.Exit(m.Run())
}

// startProgram starts a command of the program with a settings file and waits until it serves.
func startProgram(name string, s any) *os.Process {
	dir := GinkgoT().TempDir()
	text, err := json.Marshal(s)
	Expect(err).NotTo(HaveOccurred())
	path := writeFile(dir, "settings.json", string(text))
	output, err := os.Create(filepath.Join(dir, "log"))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = output.Close() }()
	self, err := os.Executable()
	Expect(err).NotTo(HaveOccurred())
	p, err := os.StartProcess(self, []string{"jacinthferry", name, "-f", path}, &os.ProcAttr{
		Env: append(os.Environ(), runAsProgram+"=1"), Files: []*os.File{nil, output, output},
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = p.Kill() })
	Eventually(func() bool {
		log, err := os.ReadFile(output.Name())
		Expect(err).NotTo(HaveOccurred())

		return bytes.Contains(log, []byte(`"serving"`))
	}).WithTimeout(timeout).Should(BeTrue())

	return p
}

// Guards against a planned stop that a second signal cuts short, with the requests in progress.
var _ = Describe("a signal during a planned stop", func() {
	const (
		grace = 3 * clock.Second
		// soon is the time within which a process ends that does not stop as planned.
		soon = 500 * time.Millisecond
		// loopback is an address whose port the operating system chooses.
		loopback = "127.0.0.1:0"
	)
	var store string
	BeforeEach(func() {
		server := httptest.NewServer(platform.New(timer.NewClock()).Handler())
		DeferCleanup(server.CloseClientConnections)
		store = strings.TrimPrefix(server.URL, "http://")
	})
	entrySettings := func() any {
		s := settings.DefaultEntry()
		s.Name, s.Zone, s.GracePeriod, s.StoreAddress = "one", "zone-a", grace, store
		s.RequestAddress, s.ReadinessAddress, s.DirectoryAddress = loopback, loopback, loopback

		return s
	}
	serveSettings := func() any {
		s := settings.Default()
		s.Name, s.Zone = "one", "zone-a"
		s.Caller.Address, s.Operator.Address, s.Peer.Address = loopback, loopback, loopback
		s.Platform.Address, s.Control.EntriesTTL = store, grace

		return s
	}

	for _, c := range []struct {
		command  string
		settings func() any
		second   syscall.Signal
		atOnce   bool
	}{
		{"entry", entrySettings, syscall.SIGTERM, false},
		{"entry", entrySettings, syscall.SIGHUP, false},
		{"entry", entrySettings, syscall.SIGINT, true},
		{"serve", serveSettings, syscall.SIGTERM, false},
		{"serve", serveSettings, syscall.SIGINT, true},
	} {
		name := "does not cut it short: " + c.command + ", " + c.second.String()
		if c.atOnce {
			name = "ends the process at once: " + c.command + ", " + c.second.String()
		}
		It(name, func() {
			p := startProgram(c.command, c.settings())
			Expect(p.Signal(syscall.SIGTERM)).To(Succeed())
			time.Sleep(300 * time.Millisecond)
			second := time.Now()
			Expect(p.Signal(c.second)).To(Succeed())
			state, err := p.Wait()
			Expect(err).NotTo(HaveOccurred())
			Expect(state.Success()).NotTo(Equal(c.atOnce), state.String())
			Expect(time.Since(second) < soon).To(Equal(c.atOnce))
		})
	}
})
