package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthferry/client"
	"jacinthferry/core/clock"
	"jacinthferry/core/reason"
	"jacinthferry/io/rpc"
	"jacinthferry/standin/local"
)

// inspectFile calls visit for every syntax node of a source file of the module.
func inspectFile(path string, visit func(ast.Node)) {
	file, err := parser.ParseFile(token.NewFileSet(), filepath.Join("..", "..", path), nil, 0)
	Expect(err).NotTo(HaveOccurred())
	ast.Inspect(file, func(n ast.Node) bool {
		visit(n)

		return true
	})
}

var _ = Describe("docs/api.md", func() {
	var page string

	BeforeEach(func() {
		text, err := os.ReadFile(filepath.Join("..", "..", "docs", "api.md"))
		Expect(err).NotTo(HaveOccurred())
		page = string(text)
	})

	for _, path := range []string{
		"io/caller/wire.go", "io/operator/wire.go", "io/upstream/wire.go", "platform/store.go",
	} {
		It("names every procedure and field of "+path, func() {
			found := 0
			inspectFile(path, func(n ast.Node) {
				switch v := n.(type) {
				case *ast.BasicLit:
					if text, err := strconv.Unquote(v.Value); err == nil && regexp.MustCompile(`^/[a-z]+/[a-z]+$`).MatchString(text) {
						found++
						Expect(page).To(ContainSubstring(text))
					}
				case *ast.Field:
					if v.Tag == nil {
						return
					}
					tag, err := strconv.Unquote(v.Tag.Value)
					Expect(err).NotTo(HaveOccurred())
					name, _, _ := strings.Cut(reflect.StructTag(tag).Get("json"), ",")
					found++
					Expect(page).To(ContainSubstring("`" + name + "`"))
				}
			})
			Expect(found).To(BeNumerically(">", 10))
		})
	}

	It("has a row for every reason, with its HTTP status", func() {
		inspectFile("core/reason/reason.go", func(n ast.Node) {
			spec, ok := n.(*ast.ValueSpec)
			if !ok {
				return
			}
			if kind, ok := spec.Type.(*ast.Ident); !ok || kind.Name != "Code" {
				return
			}
			code, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
			Expect(err).NotTo(HaveOccurred())
			response := httptest.NewRecorder()
			request := httptest.NewRequest(http.MethodPost, "/caller/query", nil)
			request.Header.Set("Content-Type", "application/json")
			Expect(connect.NewErrorWriter(rpc.HandlerOptions()).Write(response, request,
				rpc.Refuse(reason.NewRefusal(reason.Code(code), reason.NotExecuted, "")))).To(Succeed())
			Expect(page).To(MatchRegexp(fmt.Sprintf("(?m)^\\| `%s` \\| %d \\| ", code, response.Code)))
		})
	})

	It("has examples that work", func(ctx SpecContext) {
		d, err := local.Start(context.Background(), local.Options{
			Daemons: 3, Zones: 3, Services: []string{"markers"}, Upstreams: 6, Shards: 12, Replicas: 2, ServiceTime: clock.Millisecond,
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Close)
		Expect(d.ApplyConfig(ctx)).To(Succeed())
		expectCoverage(ctx, d.Daemons[0].Caller(), 12)
		text, err := json.Marshal(d.Config)
		Expect(err).NotTo(HaveOccurred())
		placeholders := strings.NewReplacer(
			"$CALLER", d.Daemons[0].Caller(), "$OPERATOR", d.Daemons[0].Operator(), "$PLATFORM", d.StoreAddress(),
			"$UPSTREAM", d.Config.Services[0].Versions[0].Upstreams[0].Address, "CONFIG", string(text),
			`"ID"`, strconv.Quote(client.NewID()),
		)
		examples := regexp.MustCompile(`(?m)^    curl -s (\S+)(?: -H 'Content-Type: application/json' -d '(.*)')?$`).
			FindAllStringSubmatch(page, -1)
		Expect(len(examples)).To(Equal(strings.Count(page, "    curl ")))
		Expect(len(examples)).To(BeNumerically(">", 15))
		for _, e := range examples {
			method := http.MethodGet
			if e[2] != "" {
				method = http.MethodPost
			}
			// A daemon is briefly not ready while it takes over upstreams, for example after a zone change.
			Expect(d.AwaitReady()).To(Succeed())
			request, err := http.NewRequestWithContext(ctx, method, "http://"+strings.Trim(placeholders.Replace(e[1]), `"`), strings.NewReader(placeholders.Replace(e[2])))
			Expect(err).NotTo(HaveOccurred())
			request.Header.Set("Content-Type", "application/json")
			response, err := http.DefaultClient.Do(request)
			Expect(err).NotTo(HaveOccurred())
			body, err := io.ReadAll(response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			Expect(response.StatusCode).To(Equal(http.StatusOK), "%s: %s", e[0], body)
		}
		_, metrics := get(ctx, http.DefaultClient, "http://"+d.Daemons[0].Operator()+"/metrics")
		Expect(metrics).To(ContainSubstring(`jacinthferry_submit_seconds_count{service="markers",priority="routine",result="done"} 1`))
	})
})
