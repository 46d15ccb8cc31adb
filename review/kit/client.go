package kit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Request is one client attempt.
type Request struct {
	ID     string
	Method string
	Path   string
	Key    string
	// Deadline is how long the client waits.
	Deadline time.Duration
	Body     string
	// Header holds further header lines, each with its line end.
	Header string
}

// Answer is what a client has seen of an attempt.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Err is set if the connection failed or ended before the end of the answer as its
	// framing says. An answer without a length ends with its connection; a reset does
	// not end it.
	Err error
	// Framed is set if the answer had a length or came in chunks.
	Framed bool
}

// String describes the answer in one line.
func (a Answer) String() string {
	framing := "with a length or in chunks"
	if !a.Framed {
		framing = "ended by its connection"
	}
	if a.Err != nil {
		return fmt.Sprintf("status %d, %d bytes, not complete: %v", a.Status, len(a.Body), a.Err)
	}
	return fmt.Sprintf("status %d, %d bytes, complete, %s", a.Status, len(a.Body), framing)
}

// Host is the host of all routes.
const Host = "ficu95.example"

// Conn is a client's connection to a router.
type Conn struct {
	net.Conn
	in *bufio.Reader
}

// Dial opens a client's connection to a router.
func Dial(addr string) (*Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, in: bufio.NewReader(conn)}, nil
}

// Do sends a request and reads its answer.
func (c *Conn) Do(r Request) Answer {
	if err := c.Send(r); err != nil {
		return Answer{Err: err}
	}
	return c.Receive(r)
}

// Send sends a request.
func (c *Conn) Send(r Request) error {
	_ = c.SetDeadline(time.Now().Add(r.Deadline + time.Second))
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Wigeonwood-Request-Id: %s\r\nX-Wigeonwood-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n%sContent-Length: %d\r\n\r\n%s",
		r.Method, r.Path, Host, r.ID, r.Deadline.Milliseconds(), r.Key, r.Header, len(r.Body), r.Body)
	return err
}

// Receive reads the answer to a request.
func (c *Conn) Receive(r Request) Answer {
	resp, err := http.ReadResponse(c.in, &http.Request{Method: r.Method})
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Answer{
		Status: resp.StatusCode, Header: resp.Header, Body: string(body), Err: err,
		Framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0,
	}
}

// Do sends a request on a new connection and reads its answer.
func Do(addr string, r Request) Answer {
	c, err := Dial(addr)
	if err != nil {
		return Answer{Err: err}
	}
	defer c.Close()
	return c.Do(r)
}

// Config returns a configuration with one route of each kind and one tenant.
func Config(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[`+
		`{"name":"r-draft","host":%[2]q,"pathPrefix":"/draft/","routeType":"stream","timeoutMs":15000,"latencyTargetMs":800,"priority":1,"service":"llm","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapGoalMs":500},`+
		`{"name":"r-quote","host":%[2]q,"pathPrefix":"/quote/","routeType":"stream","timeoutMs":12000,"latencyTargetMs":500,"priority":0,"service":"llm","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapGoalMs":500},`+
		`{"name":"r-filing","host":%[2]q,"pathPrefix":"/filing/","routeType":"non_idempotent","timeoutMs":4000,"latencyTargetMs":150,"priority":2,"service":"app","maxAttempts":1,"public":false,"sticky":false,"resumable":false,"gapGoalMs":0},`+
		`{"name":"r-lookup","host":%[2]q,"pathPrefix":"/lookup/","routeType":"idempotent","timeoutMs":4000,"latencyTargetMs":150,"priority":2,"service":"app","maxAttempts":2,"public":false,"sticky":false,"resumable":false,"gapGoalMs":0}],`+
		`"services":[{"name":"llm","healthPath":"/healthz","maxConns":370,"protocol":"h1","tls":false},{"name":"app","healthPath":"/healthz","maxConns":110,"protocol":"h1","tls":false}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},`+
		`"tenants":[{"name":"red","apiKeys":["%[3]s"],"priority":1}]}`, version, Host, Key)
}

// Key is the key of the tenant in Config.
const Key = "n2ctnfzs989anu6wsjnb"
