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
	"jacinthferry/core/config"
	"jacinthferry/io/schema"
	"jacinthferry/io/settings"
)

// collectFields adds the value of each leaf field of v to values, by its path.
func collectFields(path string, v reflect.Value, values map[string]any) {
	switch {
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		collectFields(path+"[]", reflect.Zero(v.Type().Elem()), values)
	case v.Kind() == reflect.Struct && v.Type() != reflect.TypeFor[clock.Milli]():
		for i := range v.NumField() {
			name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
			collectFields(strings.TrimPrefix(path+"."+name, "."), v.Field(i), values)
		}
	default:
		values[path] = v.Interface()
	}
}

var _ = Describe("docs/configuration.md", func() {
	var page string

	BeforeEach(func() {
		text, err := os.ReadFile(filepath.Join("..", "..", "docs", "configuration.md"))
		Expect(err).NotTo(HaveOccurred())
		page = string(text)
	})

	It("has a row with unit and default for every field", func() {
		fields := make(map[string]any)
		collectFields("", reflect.ValueOf(settings.Default()), fields)
		collectFields("", reflect.ValueOf(config.Config{}), fields)
		Expect(len(fields)).To(BeNumerically(">", 40))
		for path, value := range fields {
			rows := regexp.MustCompile("(?m)^\\| `"+regexp.QuoteMeta(path)+"` \\|([^|]+)\\|([^|]+)\\|([^|]+)\\|$").FindAllStringSubmatch(page, -1)
			Expect(rows).To(HaveLen(1), "%s: want one row of four columns", path)
			Expect(len(rows[0][1])).To(BeNumerically(">", 4), "%s: want a unit", path)
			if reflect.ValueOf(value).IsZero() {
				Expect(rows[0][2]).To(Or(Equal(" - "), Equal(" `false` "), Equal(" `0` ")), path)

				continue
			}
			text, err := json.Marshal(value)
			Expect(err).NotTo(HaveOccurred())
			if span, ok := value.(clock.Milli); ok {
				text = []byte(span.String())
			}
			Expect(rows[0][2]).To(Equal(" `"+string(text)+"` "), "%s: the default", path)
		}
	})

	It("has valid examples", func() {
		examples := regexp.MustCompile("(?s)```json (settings|config|overlay)\n(.*?)```").FindAllStringSubmatch(page, -1)
		Expect(examples).To(HaveLen(4))
		var base []byte
		for _, e := range examples {
			switch text := []byte(e[2]); e[1] {
			case "settings":
				_, faults, err := settings.Parse(text)
				Expect(err).NotTo(HaveOccurred())
				Expect(faults).To(BeEmpty())
			case "config":
				base = text
				_, faults, err := schema.CheckConfig(text)
				Expect(err).NotTo(HaveOccurred())
				Expect(faults).To(BeEmpty())
			case "overlay":
				merged, err := config.Merge(base, text)
				Expect(err).NotTo(HaveOccurred())
				c, faults, err := schema.CheckConfig(merged)
				Expect(err).NotTo(HaveOccurred())
				Expect(faults).To(BeEmpty())
				Expect(c.Services[0].Versions[0].Upstreams).To(And(HaveLen(2), ContainElement(HaveField("Slots", 4))))
			}
		}
	})
})
