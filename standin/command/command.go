package command

import (
	"encoding/json"
	"io"
	"net/http"
)

// bodyLimit is the size of the largest command, in bytes.
const bodyLimit = 1 << 20

// Handler returns an HTTP handler that responds with the result of counts as JSON, and passes the bodies of
// commands to execute. An error of it is sent with status 400.
func Handler(counts func() any, execute func(body []byte) error) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(counts())
	})
	mux.HandleFunc("POST /do", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
		if err == nil {
			err = execute(body)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})

	return mux
}
