package schema_test

import (
	"fmt"
	"testing"

	"jacinthferry/core/config"
	"jacinthferry/io/schema"
)

// BenchmarkCheckConfig measures CheckConfig with 100 and 6400 upstreams.
func BenchmarkCheckConfig(b *testing.B) {
	for _, upstreams := range []int{100, 6400} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			c := config.Config{Zones: []config.Zone{{Name: "a"}}}
			for i := range upstreams {
				if i%20 == 0 {
					c.Services = append(c.Services, config.Service{
						Name: fmt.Sprintf("s-%d", i), Versions: []config.Version{{Name: "v1", Share: 1}},
					})
				}
				v := &c.Services[len(c.Services)-1].Versions[0]
				v.Upstreams = append(v.Upstreams, config.Upstream{
					Name: fmt.Sprintf("u-%d", i), Address: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250), Zone: "a",
					Slots: 2, MaxConnections: 25, ColdLimit: 1,
				})
			}
			text, err := c.Encode()
			if err != nil {
				b.Fatal(err)
			}
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				if _, faults, err := schema.CheckConfig(text); err != nil || len(faults) > 0 {
					b.Fatal(faults, err)
				}
			}
		})
	}
}
