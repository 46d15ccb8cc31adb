package main

import (
	"errors"
	"io"
	"net"
	"sync"
)

// proxy stands between the routers and one server. While it is cut, it holds up what either side
// sends, the end of a connection and new connections included, as a network partition does.
type proxy struct {
	listener net.Listener
	backend  string

	mu    sync.Mutex
	whole *sync.Cond
	cut   bool
	// open is the number of connections of routers.
	open int
}

func newProxy(backend string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: ln, backend: backend}
	p.whole = sync.NewCond(&p.mu)
	go p.serve()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

// setCut cuts the links of the server, or joins them again.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	p.whole.Broadcast()
}

// connections returns the number of connections of routers.
func (p *proxy) connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

func (p *proxy) count(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open += n
}

// await waits until the links are not cut.
func (p *proxy) await() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.cut {
		p.whole.Wait()
	}
}

func (p *proxy) serve() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(conn.(*net.TCPConn))
	}
}

// connect joins a connection of a router to one of the server. A server that refuses connections
// resets that of the router.
func (p *proxy) connect(router *net.TCPConn) {
	p.await()
	conn, err := net.Dial("tcp", p.backend)
	p.await()
	if err != nil {
		reset(router)
		return
	}
	server := conn.(*net.TCPConn)
	p.count(1)
	defer p.count(-1)
	go p.copy(server, router)
	p.copy(router, server)
}

// copy passes on what one side sends. An orderly end is passed on as such, a reset as a reset.
func (p *proxy) copy(to, from *net.TCPConn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		p.await()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				reset(from)
				reset(to)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			reset(to)
			return
		}
	}
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
