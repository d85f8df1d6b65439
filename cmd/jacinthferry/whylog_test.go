package main

import (
	"encoding/json"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// sampleLog is the log of two daemons while an upstream closes connections without answering.
var sampleLog = strings.Join([]string{
	`{"time":"2026-12-04T08:00:00Z","level":"INFO","msg":"serving","name":"one"}`,
	`{"time":"2026-12-04T08:00:05.1Z","level":"INFO","msg":"event","kind":"connection","reason":"failed","service":"s",` +
		`"upstream":"u1","daemon":"one","request":"r1","detail":"gateway: no answer: unexpected EOF"}`,
	`{"time":"2026-12-04T08:00:05.2Z","level":"INFO","msg":"event","kind":"refusal","reason":"failed","service":"write",` +
		`"daemon":"one","request":"r1","detail":"run unknown, after 4 ms of 3000"}`,
	`{"time":"2026-12-04T08:00:06Z","level":"INFO","msg":"event","kind":"connection","reason":"failed","service":"s",` +
		`"upstream":"u1","daemon":"two","request":"r2","detail":"gateway: no answer: unexpected EOF"}`,
	`{"time":"2026-12-04T08:00:07Z","level":"INFO","msg":"event","kind":"answer","service":"read","daemon":"two","request":"r3"}`,
	`not a line of a daemon`,
}, "\n")

var _ = Describe("why command with logs", func() {
	var path string
	BeforeEach(func() { path = writeFile(GinkgoT().TempDir(), "a.log", sampleLog) })

	It("explains one request by its causes and events", func(ctx SpecContext) {
		r := command(ctx, "why", "--log", path, "--request", "r1")
		Expect(r.code).To(Equal(exitDone), r.errs)
		Expect(r.errs).To(ContainSubstring("1 lines are not"))
		Expect(r.out).To(HavePrefix("cause 1: upstream u1 of s: failed, unexpected EOF, in 2 requests (2 events, 08:00:05.100 to 08:00:06.000)"))
		Expect(r.out).To(MatchRegexp(`\+0 +one +connection`))
		Expect(r.out).To(MatchRegexp(`\+100 +one +refusal +failed`))
		var out requestJSON
		Expect(json.Unmarshal([]byte(command(ctx, "why", "--log", path, "--request", "r1", "--json").out), &out)).To(Succeed())
		Expect(out.Lines).To(HaveLen(2))
		Expect(out.Causes).To(HaveLen(1))
	})

	It("counts causes with filters, and leaves out successful answers", func(ctx SpecContext) {
		unfiltered := command(ctx, "why", "--log", path)
		Expect(unfiltered.out).To(MatchRegexp(`2 +connection +failed +upstream u1 \(2\)`))
		Expect(unfiltered.out).NotTo(MatchRegexp(`(?m)^[0-9]+ +answer`))
		filtered := command(ctx, "why", "--log", path, "--kind", "refusal")
		Expect(filtered.out).To(MatchRegexp(`1 +refusal +failed`))
		Expect(filtered.out).NotTo(ContainSubstring("connection "))
	})

	It("reports invalid flags and unreadable files", func(ctx SpecContext) {
		for _, c := range []struct {
			args []string
			want string
		}{
			{[]string{"why"}, "--operator"},
			{[]string{"why", "--request", "r1"}, "--log"},
			{[]string{"why", "--log", path, "--request", "r9"}, "r9"},
			{[]string{"why", "--log", path + ".no"}, "no such file"},
		} {
			r := command(ctx, c.args...)
			Expect(r.code).NotTo(Equal(exitDone), c.want)
			Expect(r.errs).To(ContainSubstring(c.want))
		}
	})
})
