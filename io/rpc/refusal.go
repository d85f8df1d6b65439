package rpc

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"jacinthferry/core/reason"
)

// The metadata keys of a refusal.
const (
	reasonKey = "Reason"
	runKey    = "Run"
)

// Refuse returns err as a connect error. When err is a *reason.Refusal, its metadata carries the
// reason word and whether the work was run; any other error is the daemon's own fault.
func Refuse(err error) error {
	var r *reason.Refusal
	if !errors.As(err, &r) {
		r = reason.NewRefusal(reason.Internal, reason.ExecutionUnknown, err.Error())
	}
	e := connect.NewError(code(r.Reason), errors.New(r.Error()))
	e.Meta().Set(reasonKey, string(r.Reason))
	e.Meta().Set(runKey, string(r.Run))

	return e
}

// Refusal turns an error of a call into a Refusal. An error that carries no refusal means that the
// call broke: the work may have been run.
func Refusal(err error) *reason.Refusal {
	if err == nil {
		return nil
	}
	if word, found := broken(err); found {
		return reason.NewRefusal(word, reason.NotExecuted, err.Error())
	}
	if errors.Is(err, context.Canceled) {
		return reason.NewRefusal(reason.Cancelled, reason.ExecutionUnknown, err.Error())
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return reason.NewRefusal(reason.Deadline, reason.ExecutionUnknown, err.Error())
	}
	var e *connect.Error
	if !errors.As(err, &e) {
		return reason.NewRefusal(reason.Connection, reason.ExecutionUnknown, err.Error())
	}
	if word := e.Meta().Get(reasonKey); word != "" {
		return reason.NewRefusal(reason.Code(word), run(e.Meta().Get(runKey)), detail(word, e))
	}

	message := e.Message()
	if e.Code() == connect.CodeInternal && strings.HasPrefix(message, "400") {
		message += ", as a server that wants TLS answers cleartext"
	}

	return reason.NewRefusal(word(e.Code()), reason.ExecutionUnknown, message)
}

// detail returns the message of e without the reason and whether the work was run, which Refuse put
// there for people.
func detail(word string, e *connect.Error) string {
	text := strings.TrimSuffix(e.Message(), " (run: "+e.Meta().Get(runKey)+")")
	if text == word {
		return ""
	}

	return strings.TrimPrefix(text, word+": ")
}

// broken tells why a connection could not be opened, so that no byte of the request left.
func broken(err error) (reason.Code, bool) {
	var (
		certificate *tls.CertificateVerificationError
		record      tls.RecordHeaderError
		op          *net.OpError
	)
	switch {
	case errors.As(err, &certificate), errors.As(err, &record), errors.Is(err, http.ErrSchemeMismatch):
		return reason.Stranger, true
	case !errors.As(err, &op):
		return "", false
	case op.Op == "remote error" && strings.Contains(op.Err.Error(), "certificate"):
		// The other side refused this side's certificate, before it reads any request.
		return reason.Stranger, true
	case op.Op == "dial":
		return reason.Connection, true
	default:
		return "", false
	}
}

func run(text string) reason.Execution {
	switch r := reason.Execution(text); r {
	case reason.Executed, reason.NotExecuted:
		return r
	default:
		return reason.ExecutionUnknown
	}
}

func word(c connect.Code) reason.Code {
	switch c {
	case connect.CodeCanceled:
		return reason.Cancelled
	case connect.CodeDeadlineExceeded:
		return reason.Deadline
	case connect.CodeUnavailable:
		return reason.Connection
	case connect.CodeInvalidArgument:
		return reason.Invalid
	case connect.CodeResourceExhausted:
		return reason.Size
	default:
		return reason.Failed
	}
}

func code(w reason.Code) connect.Code {
	switch w {
	case reason.Service, reason.Snapshot, reason.Route:
		return connect.CodeNotFound
	case reason.Invalid, reason.Reused, reason.Expired:
		return connect.CodeInvalidArgument
	case reason.Deadline:
		return connect.CodeDeadlineExceeded
	case reason.Overload, reason.Size, reason.Budget:
		return connect.CodeResourceExhausted
	case reason.Conflict:
		return connect.CodeAborted
	case reason.Stranger:
		return connect.CodeUnauthenticated
	case reason.Cancelled:
		return connect.CodeCanceled
	case reason.Internal:
		return connect.CodeInternal
	default:
		return connect.CodeUnavailable
	}
}
