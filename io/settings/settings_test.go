package settings_test

import (
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthferry/core/fault"
	"jacinthferry/io/settings"
)

const validSettings = `{"name":"d-1","zone":"a","caller":{"address":"10.0.0.1:7000"},"operator":{"address":"10.0.0.1:7001"},
"peer":{"address":"10.0.0.1:7002"},"platform":{"address":"10.0.9.1:7500"},"query":{"lanes":2}}`

var _ = Describe("Read", func() {
	It("reads a valid file and sets the defaults", func() {
		path := filepath.Join(GinkgoT().TempDir(), "settings.json")
		Expect(os.WriteFile(path, []byte(validSettings), 0o600)).To(Succeed())
		s, err := settings.Read(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Query.Lanes).To(Equal(2))
		Expect(s.Query.MaxAttempts).To(Equal(settings.Default().Query.MaxAttempts))
	})

	It("names the file in the error", func() {
		path := filepath.Join(GinkgoT().TempDir(), "settings.json")
		Expect(os.WriteFile(path, []byte(`{`), 0o600)).To(Succeed())
		_, err := settings.Read(path)
		Expect(err).To(MatchError(settings.ErrInvalid))
		Expect(err.Error()).To(HavePrefix(path + ": "))
	})
})

var _ = Describe("Parse", func() {
	const wantAddress = `want an IP number and a port such as "10.0.0.7:7000"`
	const wantName = "want 1 to 63 letters, digits, dots, dashes and underscores"
	for _, t := range []struct{ fault, old, new, want string }{
		{"an unknown field", `"lanes":2`, `"lines":2`, ""},
		{"a wrong type", `"lanes":2`, `"lanes":"two"`, "query.lanes: is of type string, want integer"},
		{
			"a duration without a unit", `"lanes":2`, `"deadline":"69"`,
			`query.deadline: is "69", want a number and a unit such as "69ms"`,
		},
		{"a number out of range", `"lanes":2`, `"lanes":0`, "query.lanes: is 0, want 1 to 256"},
		{"an empty name", `"d-1"`, `""`, `name: is "", ` + wantName},
		{"a zone with a space", `"zone":"a"`, `"zone":"a b"`, `zone: is "a b", ` + wantName},
		{"a missing address", `"caller":{"address":"10.0.0.1:7000"},`, ``, "caller.address: is empty, " + wantAddress},
		{"a host name", `10.0.0.1:7001`, `localhost:7001`, `operator.address: is "localhost:7001", ` + wantAddress},
		{
			"an unspecified address", `10.0.0.1:7002`, `0.0.0.0:7002`,
			`peer.address: is "0.0.0.0:7002", want the IP number that others reach this instance by`,
		},
		{
			"a platform address without a port", `10.0.9.1:7500`, `10.0.9.1:0`,
			`platform.address: is "10.0.9.1:0", want the port that the other side listens on`,
		},
		{
			"a certificate without its key", `"10.0.0.1:7000"}`, `"10.0.0.1:7000","tls":{"cert":"a.pem"}}`,
			"caller.tls.key: is empty, want the file of the key that goes with cert",
		},
		{
			"a listener without a certificate", `"10.0.0.1:7000"}`, `"10.0.0.1:7000","tls":{"authority":"a.pem"}}`,
			"caller.tls.cert: is empty, want the file of the listener's certificate",
		},
		{
			"an integer with a decimal point", `"lanes":2`, `"lanes":2.0`,
			"query.lanes: is number 2.0, want a whole number without point or exponent",
		},
		{
			"a seed without a port", `"query":{"lanes":2}`, `"control":{"seeds":["10.0.0.2:7002","10.0.0.3"]}`,
			`control.seeds[1]: is "10.0.0.3", ` + wantAddress,
		},
		{
			"every fault at once", `"name":"d-1","zone":"a"`, `"name":1,"zone":2`,
			"name: is of type number, want string\nzone: is of type number, want string",
		},
	} {
		It("reports "+t.fault, func() {
			document := strings.Replace(validSettings, t.old, t.new, 1)
			Expect(document).NotTo(Equal(validSettings))
			_, faults, err := settings.Parse([]byte(document))
			Expect(err).NotTo(HaveOccurred())
			if t.want == "" {
				Expect(fault.Text(faults)).To(HavePrefix("query.lines: is not a field, want one of attempts, "))

				return
			}
			Expect(fault.Text(faults)).To(Equal(t.want))
		})
	}
})
