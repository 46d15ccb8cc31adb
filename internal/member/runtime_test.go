package member

import (
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// memNet connects in-memory datagram connections.
type memNet struct {
	mu    sync.Mutex
	conns map[string]*memConn
}

type memConn struct {
	net    *memNet
	addr   net.Addr
	inbox  chan memPacket
	closed chan struct{}
	once   sync.Once
}

type memPacket struct {
	data []byte
	from net.Addr
}

func (n *memNet) listen(addr string) *memConn {
	c := &memConn{
		net:    n,
		addr:   net.UDPAddrFromAddrPort(netip.MustParseAddrPort(addr)),
		inbox:  make(chan memPacket, 64),
		closed: make(chan struct{}),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[addr] = c
	return c
}

func (c *memConn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case packet := <-c.inbox:
		return copy(p, packet.data), packet.from, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

func (c *memConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	c.net.mu.Lock()
	to := c.net.conns[addr.String()]
	c.net.mu.Unlock()
	if to != nil {
		select {
		case to.inbox <- memPacket{data: append([]byte(nil), p...), from: c.addr}:
		default:
		}
	}
	return len(p), nil
}

func (c *memConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

func (c *memConn) LocalAddr() net.Addr              { return c.addr }
func (c *memConn) SetDeadline(time.Time) error      { return nil }
func (c *memConn) SetReadDeadline(time.Time) error  { return nil }
func (c *memConn) SetWriteDeadline(time.Time) error { return nil }

// TestRunningMembers runs members with their goroutines under virtual time. They must
// disseminate a target, stop listing it when its lease expires though nothing else
// happens, and detect a router that ended without leaving.
func TestRunningMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &memNet{conns: make(map[string]*memConn)}
		var all []*Members
		for i, addr := range []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"} {
			m, err := Start(Config{
				Self:   &pb.RouterStatus{Id: string(rune('a' + i)), Incarnation: 1, PeerAddr: addr},
				Seeds:  []string{"10.0.0.1:7000"},
				Conn:   network.listen(addr),
				Token:  "secret",
				Logger: quietLogger(),
			})
			if err != nil {
				t.Fatal(err)
			}
			defer m.Close()
			all = append(all, m)
		}
		time.Sleep(5 * time.Second)
		st := &pb.TargetStatus{Id: "e", Kind: pb.TargetKind_TARGET_KIND_ENGINE, Addr: "10.1.0.1:1", Incarnation: 1, Sequence: 1}
		proven := time.Now()
		if err := all[0].Announce(st, proven); err != nil {
			t.Fatal(err)
		}
		time.Sleep(DefaultTargetLease - time.Millisecond)
		for _, m := range all {
			if len(m.Routers()) != 3 || m.Target("e") == nil {
				t.Fatalf("%s knows %d routers, target %v", m.Self().Id, len(m.Routers()), m.Target("e"))
			}
		}
		time.Sleep(time.Millisecond)
		for _, m := range all {
			if len(m.Targets()) != 0 {
				t.Fatalf("%s lists the target %v after its announcement", m.Self().Id, time.Since(proven))
			}
		}
		all[2].Close()
		time.Sleep(5 * time.Second)
		if n := len(all[0].Routers()); n != 2 {
			t.Fatalf("%d routers after one ended", n)
		}
	})
}
