package operator

import (
	"io"
	"net/http"
	"net/http/pprof"
)

// Probes are the sources of the metrics and the readiness probe on the operator address.
type Probes struct {
	// Metrics writes all metrics in the Prometheus text format.
	Metrics func(io.Writer)
	// Ready reports whether the daemon accepts requests of callers and, if not, why.
	Ready func() (ready bool, why string)
}

// ProbeHandler returns an HTTP handler that serves /healthz and /readyz.
func ProbeHandler(p Probes) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeLine(w, "ok") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		ready, why := p.Ready()
		if !ready {
			http.Error(w, why, http.StatusServiceUnavailable)

			return
		}
		writeLine(w, "ready")
	})

	return mux
}

// DebugHandler returns an HTTP handler that serves /metrics and /debug/pprof/.
func DebugHandler(p Probes) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		p.Metrics(w)
	})
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)

	return mux
}

func writeLine(w http.ResponseWriter, text string) { _, _ = io.WriteString(w, text+"\n") }
