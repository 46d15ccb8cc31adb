package relay

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

// ReportPanic logs and counts a panic of the handler of a request and aborts the caller's
// connection. The HTTP server would recover the panic and write a stack trace that names no
// request. A handler defers ReportPanic; http.ErrAbortHandler, with which handlers abort on
// purpose, is not reported.
func ReportPanic(logger *log.Logger, panics tally.Counter, requestID string) {
	p := recover()
	if p == nil {
		return
	}
	if p != http.ErrAbortHandler {
		panics.Inc(1)
		logger.Error().Str("step", Step).Str("request_id", requestID).Str("panic", fmt.Sprint(p)).
			Bytes("stack", debug.Stack()).Msg("the handler of a request panicked; the caller's connection is aborted")
	}
	panic(http.ErrAbortHandler)
}
