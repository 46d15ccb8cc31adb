package forward

import (
	"io"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// attempt is what is known of one request to a target while the Transport handles it.
type attempt struct {
	// conn is the connection that the Transport uses; nil until there is one.
	conn *targetConn
	// connected is set once there is a connection, reused if it has carried a request before.
	connected bool
	reused    bool
	// upload is the body of the request.
	upload onceReader
	// sentAt is when the request was handed to the Transport. witness is the witness that was
	// open then; nil if there was none.
	sentAt  time.Time
	witness *witness
}

// setConn records the connection, before any byte of the request is sent.
func (a *attempt) setConn(info httptrace.GotConnInfo) {
	a.connected = true
	a.reused = info.Reused
	conn, ok := info.Conn.(*targetConn)
	if !ok {
		return
	}
	a.conn = conn
	if a.reused {
		conn.head.start()
	}
}

// headErr returns an error that wraps ErrProtocol if the head of the response was broken.
func (a *attempt) headErr() error {
	if a.conn == nil {
		return nil
	}
	return a.conn.head.err()
}

// onceReader reads data once. Its type hides the data from net/http.
type onceReader struct {
	data []byte
	// done is the number of bytes that were read.
	done atomic.Int64
}

// Read returns the next bytes of the data.
func (o *onceReader) Read(p []byte) (int, error) {
	rest := o.data[o.done.Load():]
	if len(rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, rest)
	o.done.Add(int64(n))
	return n, nil
}

// unfinished reports whether some of the data was not read yet. It may be called during Read.
func (o *onceReader) unfinished() bool { return o.done.Load() < int64(len(o.data)) }
