package forward

import "io"

// maxEarlyBytes bounds the beginning of an early response that is read before Do returns. It is
// as much as net/http's server holds back of a body, so that callers get nothing later.
const maxEarlyBytes = 2 << 10

// isEarly reports whether the response arrived before its request was sent and only the end of
// its connection marks its end. The target may reset the connection, since it does not read the
// request. Events are not held back, so a stream of them is not early.
func (r *Response) isEarly(a *attempt) bool {
	return !r.Framed && a.upload.unfinished() && !IsEventStream(r.Header.Get("Content-Type"))
}

// beginning is the part of a body that was read before Do returned.
type beginning struct {
	unread []byte
	// whole is set if the body ends after it.
	whole bool
}

// readBeginning reads the beginning of the body, and fails if the body breaks off there: nothing
// was sent to the caller then, and the request may still go to another target.
func (r *Response) readBeginning() error {
	buf := make([]byte, maxEarlyBytes)
	for n := 0; n < len(buf); {
		read, err := r.readBody(buf[n:])
		n += read
		r.beginning.unread = buf[:n]
		if err == io.EOF {
			r.beginning.whole = true
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// Read reads from the body.
func (r *Response) Read(p []byte) (int, error) {
	if len(r.beginning.unread) > 0 {
		n := copy(p, r.beginning.unread)
		r.beginning.unread = r.beginning.unread[n:]
		return n, nil
	}
	if r.beginning.whole {
		return 0, io.EOF
	}
	return r.readBody(p)
}
