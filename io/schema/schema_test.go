package schema_test

import (
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthferry/core/fault"
	"jacinthferry/io/schema"
	"jacinthferry/io/settings"
)

const validConfig = `{"zones":[{"name":"a"}],"services":[{"name":"posters","versions":[{"name":"v1","share":1,"upstreams":[
{"name":"p-1","address":"10.0.0.1:9000","zone":"a","slots":2,"connections":25,"bears":1},
{"name":"p-2","address":"10.0.0.2:9000","zone":"a","slots":2,"connections":25,"bears":1}]}]}]}`

const (
	versionPath  = "services[posters].versions[v1]"
	upstreamPath = versionPath + ".upstreams[p-2]"
)

var _ = Describe("CheckConfig", func() {
	It("accepts a valid configuration", func() {
		c, faults, err := schema.CheckConfig([]byte(validConfig))
		Expect(err).NotTo(HaveOccurred())
		Expect(faults).To(BeEmpty())
		Expect(c.Services[0].Versions[0].Upstreams).To(HaveLen(2))
	})

	for _, t := range []struct{ fault, old, new, want string }{
		{"an unknown field", `"slots":2,"connections":25,"bears":1}]`, `"slot":2}]`, upstreamPath +
			".slot: is not a field, want one of address, bears, connections, drain, name, slots, zone"},
		{"a wrong type", `"share":1`, `"share":"half"`, versionPath + ".share: is of type string, want number"},
		{"an unknown zone", `"10.0.0.2:9000","zone":"a"`, `"10.0.0.2:9000","zone":"b"`, upstreamPath +
			`.zone: there is no availability zone "b", want one of zones`},
		{"a duplicate upstream name", `"p-2"`, `"p-1"`, versionPath + `.upstreams[p-1]: name "p-1" is that of ` + versionPath +
			".upstreams[p-1] too, want names that differ over all services"},
		{"a duplicate address", `10.0.0.2`, `10.0.0.1`, upstreamPath + `.address: "10.0.0.1:9000" is that of ` + versionPath +
			".upstreams[p-1] too, want one upstream at an address"},
		{"a host name", `10.0.0.2:9000`, `upstream.example:9000`, upstreamPath +
			`.address: is "upstream.example:9000", want an IP number and a port such as "10.0.0.7:9000"`},
		{"fewer connections than slots", `"connections":25,"bears":1}]`, `"connections":1,"bears":1}]`, upstreamPath +
			".connections: is 1, want at least the 2 slots"},
		{"a warm-up limit above the slots", `"bears":1}]`, `"bears":3}]`, upstreamPath + ".bears: is 3, want 1 to the 2 slots"},
		{
			"shares that are all 0", `"share":1`, `"share":0`,
			"services[posters].versions: no version has a share, want at least one share above 0",
		},
		{"a negative share", `"share":1`, `"share":-1`, versionPath + ".share: is -1, want 0 or more\n" +
			"services[posters].versions: no version has a share, want at least one share above 0"},
		{
			"a duplicate zone", `{"name":"a"}]`, `{"name":"a"},{"name":"a"}]`,
			`zones[a]: name "a" stands twice, want each zone once`,
		},
		{
			"a zone without a name", `[{"name":"a"}]`, `[{"name":""}]`,
			"zones[0].name: is \"\", want 1 to 63 letters, digits, dots, dashes and underscores\n" +
				versionPath + ".upstreams[p-1].zone: there is no availability zone \"a\", want one of zones\n" +
				upstreamPath + ".zone: there is no availability zone \"a\", want one of zones",
		},
		{"no slots", `"slots":2,"connections":25,"bears":1}]`, `"slots":0}]`, upstreamPath + ".slots: is 0, want 1 or more"},
	} {
		It("reports "+t.fault, func() {
			document := strings.Replace(validConfig, t.old, t.new, 1)
			Expect(document).NotTo(Equal(validConfig))
			_, faults, err := schema.CheckConfig([]byte(document))
			Expect(err).NotTo(HaveOccurred())
			Expect(fault.Text(faults)).To(Equal(t.want))
		})
	}

	for _, number := range []string{"1e999999", "-1e400", "1e-99999999", strings.Repeat("9", 1000)} {
		It("refuses a number that does not fit 64 bits without expanding its digits: "+number[:min(len(number), 12)], func() {
			_, faults, err := schema.CheckConfig([]byte(strings.ReplaceAll(validConfig, `"slots":2`, `"slots":`+number)))
			Expect(err).NotTo(HaveOccurred())
			Expect(faults).NotTo(BeEmpty())
			Expect(faults[0].Path).To(HaveSuffix("slots"))
		})
	}

	It("reports a version without upstreams and a service without versions", func() {
		_, faults, err := schema.CheckConfig([]byte(
			`{"zones":[{"name":"a"}],"services":[{"name":"x"},{"name":"y","versions":[{"name":"v1","share":1}]}]}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(fault.Text(faults)).To(Equal("services[x].versions: is empty, want at least one version\n" +
			"services[y].versions[v1].upstreams: is empty, want at least one upstream"))
	})

	It("returns an error for a document that is not JSON", func() {
		_, _, err := schema.CheckConfig([]byte(`{"zones":`))
		Expect(err).To(MatchError(schema.ErrInvalidDocument))
	})
})

var _ = Describe("the published schemas", func() {
	for _, t := range []struct {
		file   string
		schema func() (*schema.Schema, error)
	}{
		{"config.json", schema.ForConfig},
		{"settings.json", settings.Schema},
	} {
		It("are up to date: "+t.file, func() {
			s, err := t.schema()
			Expect(err).NotTo(HaveOccurred())
			published, err := os.ReadFile(filepath.Join("..", "..", "docs", "schema", t.file))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(published)).To(Equal(string(s.Text())),
				"regenerate it with: go run ./cmd/jacinthferry schema "+strings.TrimSuffix(t.file, ".json"))
		})
	}
})
