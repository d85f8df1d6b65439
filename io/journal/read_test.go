package journal_test

import (
	"strings"

	"jacinthferry/core/event"
	"jacinthferry/core/reason"
	"jacinthferry/io/journal"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Read", func() {
	It("returns the events of log lines, ignores their prefixes and counts other lines", func() {
		log := `
12.5 node-1 {"time":"2026-12-04T08:00:01.5Z","level":"INFO","msg":"serving","name":"one","zone":"a"}
{"time":"2026-12-04T08:00:02Z","level":"INFO","msg":"event","kind":"refusal","reason":"failed","service":"s","daemon":"one","request":"r","detail":"run unknown","revision":7,"skipped":3}
panic: something
{"time":"broken
{"no":"time"}
`
		list, others, err := journal.ParseLog(strings.NewReader(log))
		Expect(err).NotTo(HaveOccurred())
		Expect(others).To(Equal(4))
		Expect(list).To(HaveLen(2))
		Expect(list[0].Kind).To(Equal(event.Process))
		Expect(list[0].Daemon).To(Equal("one"))
		Expect(list[0].Detail).To(Equal("serving"))
		Expect(list[1].At - list[0].At).To(BeEquivalentTo(500))
		list[1].At = 0
		Expect(list[1]).To(Equal(event.Event{
			Kind: event.Refusal, Reason: reason.Failed, Service: "s", Daemon: "one", Request: "r", Detail: "run unknown", Revision: 7,
		}))
	})

	It("returns an error if a line is too long", func() {
		_, _, err := journal.ParseLog(strings.NewReader(strings.Repeat("x", 2<<20)))
		Expect(err).To(HaveOccurred())
	})
})
