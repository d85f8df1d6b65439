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
	reasonKey    = "Reason"
	executionKey = "Run"
)

// ConnectError returns err as a connect error. If err is a *reason.Refusal, the metadata carries its
// reason code and whether the work was run; any other error is an internal fault of the daemon.
func ConnectError(err error) error {
	var r *reason.Refusal
	if !errors.As(err, &r) {
		r = reason.NewRefusal(reason.Internal, reason.ExecutionUnknown, err.Error())
	}
	e := connect.NewError(connectCode(r.Reason), errors.New(r.Error()))
	e.Meta().Set(reasonKey, string(r.Reason))
	e.Meta().Set(executionKey, string(r.Run))

	return e
}

// RefusalFrom converts the error of a call to a refusal. Without a refusal in its metadata, the error
// means that the call failed: the work may have been run unless no connection was made.
func RefusalFrom(err error) *reason.Refusal {
	if err == nil {
		return nil
	}
	if code, found := dialFailure(err); found {
		return reason.NewRefusal(code, reason.NotExecuted, err.Error())
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
	if code := e.Meta().Get(reasonKey); code != "" {
		return reason.NewRefusal(reason.Code(code), parseExecution(e.Meta().Get(executionKey)), detail(code, e))
	}

	message := e.Message()
	if e.Code() == connect.CodeInternal && strings.HasPrefix(message, "400") {
		message += ", the usual response of a TLS server to a cleartext request"
	}

	return reason.NewRefusal(reasonCode(e.Code()), reason.ExecutionUnknown, message)
}

// detail returns the message of e without the reason code and the execution state, which ConnectError
// adds for human readers.
func detail(code string, e *connect.Error) string {
	text := strings.TrimSuffix(e.Message(), " (run: "+e.Meta().Get(executionKey)+")")
	if text == code {
		return ""
	}

	return strings.TrimPrefix(text, code+": ")
}

// dialFailure returns the reason why a connection could not be established, in which case no byte of
// the request was sent.
func dialFailure(err error) (reason.Code, bool) {
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
		// The peer rejected this side's certificate, which it does before it reads any request.
		return reason.Stranger, true
	case op.Op == "dial":
		return reason.Connection, true
	default:
		return "", false
	}
}

func parseExecution(text string) reason.Execution {
	switch r := reason.Execution(text); r {
	case reason.Executed, reason.NotExecuted:
		return r
	default:
		return reason.ExecutionUnknown
	}
}

func reasonCode(c connect.Code) reason.Code {
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

func connectCode(c reason.Code) connect.Code {
	switch c {
	case reason.Service, reason.Snapshot, reason.Route:
		return connect.CodeNotFound
	case reason.Invalid, reason.Reused, reason.Expired:
		return connect.CodeInvalidArgument
	case reason.Deadline:
		return connect.CodeDeadlineExceeded
	case reason.Overload, reason.Limit, reason.Size, reason.Budget:
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
