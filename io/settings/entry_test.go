package settings_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthferry/core/clock"
	"jacinthferry/io/settings"
)

func readRepoFile(parts ...string) string {
	text, err := os.ReadFile(filepath.Join(append([]string{"..", ".."}, parts...)...))
	Expect(err).NotTo(HaveOccurred())

	return string(text)
}

var _ = Describe("the settings of an entry daemon", func() {
	const required = `"name":"a","zone":"z","front":"10.0.0.1:1","ready":"10.0.0.1:2","directory":"10.0.0.1:3","store":"10.0.0.1:4"`

	It("get the defaults for missing fields", func() {
		e, faults, err := settings.ParseEntry([]byte("{" + required + `,"keep":"1s"}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(faults).To(BeEmpty())
		Expect(e.DirectoryTTL).To(Equal(clock.Second))
		Expect(e.GracePeriod).To(Equal(settings.DefaultEntry().GracePeriod))
	})

	It("report the path of every fault", func() {
		for _, c := range []struct{ text, path string }{
			{`{}`, "name"},
			{"{" + strings.Replace(required, `"10.0.0.1:1"`, `"nowhere"`, 1) + "}", "front"},
			{"{" + strings.Replace(required, `"10.0.0.1:4"`, `"10.0.0.1:0"`, 1) + "}", "store"},
			{"{" + required + `,"metrics":"0.0.0.0:1"}`, "metrics"},
			{"{" + required + `,"keep":"1ms"}`, "keep"},
			{"{" + required + `,"keep":5}`, "keep"},
			{"{" + required + `,"grace":"1h"}`, "grace"},
			{"{" + required + `,"repeats":{"ratio":0}}`, "repeats.ratio"},
			{"{" + required + `,"repeats":{"slack":-1}}`, "repeats.slack"},
			{"{" + required + `,"cores":0}`, "cores"},
			{"{" + required + `,"share":2}`, "share"},
			{"{" + required + `,"memory":1}`, "memory"},
			{"{" + required + `,"growth":1}`, "growth"},
			{"{" + required + `,"other":1}`, "other"},
		} {
			_, faults, err := settings.ParseEntry([]byte(c.text))
			Expect(err).NotTo(HaveOccurred(), c.text)
			Expect(faults).NotTo(BeEmpty(), c.text)
			Expect(faults[0].Path).To(Equal(c.path), "%s: %v", c.text, faults)
		}
	})

	It("have a row with unit and default for every field in docs/entry.md", func() {
		page := readRepoFile("docs", "entry.md")
		fields := make(map[string]any)
		collectFields("", reflect.ValueOf(settings.DefaultEntry()), fields)
		Expect(len(fields)).To(BeNumerically(">", 10))
		for path, value := range fields {
			want := "-"
			if !reflect.ValueOf(value).IsZero() {
				text, err := json.Marshal(value)
				Expect(err).NotTo(HaveOccurred())
				want = "`" + strings.Trim(string(text), `"`) + "`"
			}
			Expect(page).To(MatchRegexp("(?m)^\\| `" + regexp.QuoteMeta(path) + "` \\| [^|]{4,} \\| " + regexp.QuoteMeta(want) + " \\| .+ \\|$"))
		}
		example := regexp.MustCompile("(?s)```json entry\n(.*?)```").FindStringSubmatch(page)
		Expect(example).To(HaveLen(2))
		_, faults, err := settings.ParseEntry([]byte(example[1]))
		Expect(err).NotTo(HaveOccurred())
		Expect(faults).To(BeEmpty())
	})

	It("are valid when generated from the deploy template", func() {
		text := readRepoFile("deploy", "entry.json")
		values := []struct{ placeholder, value string }{
			{"{{node|json}}", `"edge-north-1"`},
			{"{{zone|json}}", `"north"`},
			{"{{listen.front|json}}", `"10.0.0.1:8104"`},
			{"{{listen.ready|json}}", `"10.0.0.1:8108"`},
			{"{{listen.directory|json}}", `"10.0.0.1:8100"`},
			{"{{ip}}", "10.0.0.1"},
			{"{{internalPorts.0}}", "7380"},
			{"{{internalPorts.1}}", "7395"},
			{"{{platform.addr|json}}", `"10.0.9.1:8102"`},
			{"{{bounds.graceS}}", "6"},
			{"{{bounds.retryRatio|json}}", "0.2"},
			{"{{bounds.retrySlack|json}}", "54"},
			{"{{bounds.canaryShare|json}}", "0.05"},
			{"{{limits.vcpus|json}}", "1"},
			{"{{limits.cpuShare|json}}", "0.4"},
			{"{{limits.memoryMb|json}}", "284"},
		}
		for _, s := range values {
			Expect(text).To(ContainSubstring(s.placeholder))
			text = strings.ReplaceAll(text, s.placeholder, s.value)
		}
		parse := func(text string) settings.Entry {
			e, faults, err := settings.ParseEntry([]byte(text))
			Expect(err).NotTo(HaveOccurred(), text)
			Expect(faults).To(BeEmpty())

			return e
		}
		sectionTags := regexp.MustCompile(`\{\{[#/][\w.]+\}\}`)
		e := parse(sectionTags.ReplaceAllString(text, ""))
		Expect(e.RetryBudget).To(Equal(settings.RetryBudget{Ratio: 0.2, Slack: 54}))
		Expect(e.CanaryShare).To(Equal(0.05))

		By("leaving out the optional sections")
		sections := regexp.MustCompile(`\{\{#[\w.]+\}\}.*\{\{/[\w.]+\}\}`)
		Expect(sections.FindAllString(text, -1)).To(HaveLen(4))
		e = parse(sections.ReplaceAllString(text, ""))
		Expect(e.RetryBudget).To(Equal(settings.DefaultEntry().RetryBudget))
	})

	It("have a published schema", func() {
		entrySchema, err := settings.EntrySchema()
		Expect(err).NotTo(HaveOccurred())
		Expect(readRepoFile("docs", "schema", "entry.json")).To(Equal(string(entrySchema.Text())))
	})
})
