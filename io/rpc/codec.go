package rpc

import (
	"encoding/json"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

// Codec encodes plain structs as JSON. Unknown fields are ignored, so that adjacent releases
// are compatible.
type Codec struct{}

// Name returns the name under which connect selects the codec.
func (Codec) Name() string { return "json" }

// Marshal encodes v as JSON.
func (Codec) Marshal(v any) ([]byte, error) {
	text, err := json.Marshal(v)

	return text, errors.Wrap(err, "rpc: cannot encode message")
}

// Unmarshal decodes the JSON in text into v.
func (Codec) Unmarshal(text []byte, v any) error {
	return errors.Wrap(json.Unmarshal(text, v), "rpc: message is not valid JSON")
}

// BodyLimit is the size of the largest body that a handler or client reads, in bytes.
const BodyLimit = 4 << 20

// Compression costs more than it saves between neighbouring processes: clients of this package do
// not ask for it, and handlers compress only large responses for clients that do.
const (
	compressAbove = 64 << 10
	gzipName      = "gzip"
)

// HandlerOptions returns the options that every handler uses.
func HandlerOptions() connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithCodec(Codec{}), connect.WithReadMaxBytes(BodyLimit), connect.WithCompressMinBytes(compressAbove),
	)
}

// ClientOptions returns the options that every client uses.
func ClientOptions() connect.ClientOption {
	return connect.WithClientOptions(
		connect.WithCodec(Codec{}), connect.WithReadMaxBytes(BodyLimit), connect.WithAcceptCompression(gzipName, nil, nil),
	)
}
