package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"testing"
)

// TestFieldNames checks that a response is rejected if the name of one of its fields holds a byte
// that names can't hold, at any place. Where the field is a length or an encoding, the end of the
// body would be that of the connection.
func TestFieldNames(t *testing.T) {
	const before, after = "HTTP/1.1 200 OK\r\nX-First: 1\r\n", "\r\nX-Last: 1\r\n\r\n2\r\nab\r\n0\r\n\r\n"
	for _, field := range []string{"X%cTrouble: 1", "X-Trouble%c: 1", "%cX-Trouble: 1", "Content-Length%c: 2", "%cContent-Length: 2", "Transfer-Encoding%c: chunked", "%cTransfer-Encoding: chunked"} {
		for b := range 256 {
			if isTokenByte(byte(b)) || b == ':' {
				continue
			}
			response := before + strings.Replace(field, "%c", string([]byte{byte(b)}), 1) + after
			if got, err := readRaw(t, response); got != "" || !errors.Is(err, ErrProtocol) {
				t.Errorf("%q: body %q, error %v, want %v", response, got, err, ErrProtocol)
			}
		}
	}
}

// TestHeads checks which heads are accepted, in one piece and byte by byte.
func TestHeads(t *testing.T) {
	const ok, length = "HTTP/1.1 200 OK\r\n", "Content-Length: 1\r\n"
	for name, test := range map[string]struct {
		response, want string
		err            error
	}{
		"plain":                         {response: ok + length + "\r\na", want: "a"},
		"no fields":                     {response: ok + "\r\na", want: "a"},
		"line feeds only":               {response: "HTTP/1.1 200 OK\nContent-Length: 1\n\na", want: "a"},
		"one line feed":                 {response: ok + "X-First: 1\n" + length + "\r\na", err: ErrProtocol},
		"blanks in values and the body": {response: ok + "X-First:  a b \t\r\nX-Second:\r\nContent-Length: 9\r\n\r\na\r\n b : c", want: "a\r\n b : c"},
		"no colon":                      {response: ok + "Trouble\r\n" + length + "\r\na", err: ErrProtocol},
		"no name":                       {response: ok + ": 1\r\n" + length + "\r\na", err: ErrProtocol},
		"folded value":                  {response: ok + "X-First: 1,\r\n\t2\r\n" + length + "\r\na", err: ErrProtocol},
		"folded status line":            {response: ok + " X-First: 1\r\n" + length + "\r\na", err: ErrProtocol},
		"early hints":                   {response: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok + length + "\r\na", want: "a"},
		"broken early hints":            {response: "HTTP/1.1 103 Early Hints\r\nX Trouble: 1\r\n\r\n" + ok + length + "\r\na", err: ErrProtocol},
		"broken after early hints":      {response: "HTTP/1.1 103 Early Hints\r\n\r\n" + ok + "X Trouble: 1\r\n" + length + "\r\na", err: ErrProtocol},
		"cut":                           {response: ok + "X-First", err: ErrTruncated},
	} {
		t.Run(name, func(t *testing.T) {
			for _, pieceBytes := range []int{len(test.response), 1} {
				got, err := readPieces(t, test.response, pieceBytes)
				if got != test.want || !errors.Is(err, test.err) || test.err == nil && err != nil {
					t.Errorf("in pieces of %d bytes: body %q, error %v, want %q, %v", pieceBytes, got, err, test.want, test.err)
				}
			}
		})
	}
}

// TestHeadOnReusedConnection checks that the head of each response of a connection is checked,
// also after a body that looks like a head.
func TestHeadOnReusedConnection(t *testing.T) {
	const body = "a b : c\r\n\r\n"
	addr, _ := rawTarget(t, func(n int, c net.Conn, req *http.Request) bool {
		field := "X-Sound: 1\r\n"
		if n == 2 {
			field = "X Trouble: 1\r\n"
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", field, req.Header.Get("X-Request-Id"), len(body), body)
		return true
	})
	c := New(Config{})
	defer c.Close()
	// The first request uses a connection of its own, the others share one.
	for i, want := range []error{nil, nil, ErrProtocol, nil} {
		got, err := read(c.Do(context.Background(), request(addr, true, "")))
		if !errors.Is(err, want) || want == nil && got != body {
			t.Errorf("request %d: body %q, error %v, want error %v", i, got, err, want)
		}
	}
}

// TestHeadBeforeFirstUse guards against a broken head that is overlooked because the target sent
// it before the connection was used for the first time.
func TestHeadBeforeFirstUse(t *testing.T) {
	here, there := net.Pipe()
	defer here.Close()
	go func() {
		_, _ = io.WriteString(there, "HTTP/1.1 200 OK\r\nX Trouble: 1\r\n\r\n")
		there.Close()
	}()
	conn, err := dialTarget(func(context.Context, string, string) (net.Conn, error) { return here, nil })(t.Context(), "tcp", "t")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(conn); err != nil {
		t.Fatal(err)
	}
	a := &attempt{}
	a.setConn(httptrace.GotConnInfo{Conn: conn})
	if err := a.headErr(); !errors.Is(err, ErrProtocol) {
		t.Errorf("error %v, want %v", err, ErrProtocol)
	}
}

// readRaw returns the result of a request to a target that sends response and closes the
// connection.
func readRaw(t *testing.T, response string) (string, error) {
	return readPieces(t, response, len(response))
}

// readPieces is readRaw for a response that is read in pieces of at most this size.
func readPieces(t *testing.T, response string, pieceBytes int) (string, error) {
	c := New(Config{Dial: func(context.Context, string, string) (net.Conn, error) {
		here, there := net.Pipe()
		go func() {
			defer there.Close()
			_, _ = http.ReadRequest(bufio.NewReader(there))
			for piece := range slices.Chunk([]byte(response), pieceBytes) {
				_, _ = there.Write(piece)
			}
		}()
		return here, nil
	}})
	defer c.Close()
	return read(c.Do(t.Context(), request("t", true, "")))
}
