package schema_test

import (
	"testing"

	"jacinthferry/core/config"
	"jacinthferry/io/schema"
	"jacinthferry/io/settings"
)

// FuzzCheck tests that no document makes a check panic, and that a configuration without faults has none
// after it is encoded and decoded again, and can be merged.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(validConfig))
	f.Add([]byte(`{"zones":[{"name":"a"}],"services":null}`))
	f.Add([]byte(`{"name":"d","query":{"deadline":"1s"},"control":{"seeds":["10.0.0.1:1"]}}`))
	f.Fuzz(func(t *testing.T, document []byte) {
		_, _, _ = settings.Parse(document)
		c, faults, err := schema.CheckConfig(document)
		if err != nil || len(faults) > 0 {
			return
		}
		text, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, faults, err := schema.CheckConfig(text); err != nil || len(faults) > 0 {
			t.Fatalf("a valid configuration has faults %v, error %v after encoding: %s", faults, err, text)
		}
		if _, err := config.Merge(document, []byte(`{}`)); err != nil {
			t.Fatalf("a valid configuration cannot be merged: %v", err)
		}
	})
}
