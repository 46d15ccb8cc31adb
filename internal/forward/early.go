package forward

import (
	"bytes"
	"io"
)

// maxEarlyBytes bounds the beginning of an early response that is read before Do returns. It is
// as much as net/http's server holds back of a body, so that callers get nothing later.
const maxEarlyBytes = 2 << 10

// isEarly reports whether the response arrived before its request was sent and only the end of
// its connection marks its end. The target may reset the connection, since it does not read the
// request. Events are not held back, so a stream of them is not early.
func (r *Response) isEarly(a *attempt) bool {
	return !r.Framed && a.upload.unfinished() && !IsEventStream(r.Header.Get("Content-Type"))
}

// readBeginning reads the beginning of the body, and fails if the body breaks off there: nothing
// was sent to the caller then, and the request may still go to another target.
func (r *Response) readBeginning() error {
	beginning, err := io.ReadAll(io.LimitReader(r.body, maxEarlyBytes))
	if err != nil {
		return err
	}
	parts := []io.Reader{bytes.NewReader(beginning)}
	if len(beginning) == maxEarlyBytes {
		parts = append(parts, r.body)
	}
	r.body = io.MultiReader(parts...)
	return nil
}
