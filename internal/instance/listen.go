package instance

import (
	"errors"
	"net"

	"github.com/wigeonwood/wigeonwood/internal/bodybuffer"
	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/settings"
)

// Listeners are the open sockets of an instance.
type Listeners struct {
	Caller net.Listener
	Admin  net.Listener
	Target net.Listener
	Peer   net.Listener
	// Gossip is the UDP socket of the membership protocol, at the same address as Peer.
	Gossip net.PacketConn
}

// Listen opens all sockets of s and writes their addresses to s, which replaces a port 0 by
// the port that the system assigned. On an error, Listen closes the sockets that it opened
// and returns the errors of all addresses.
func Listen(s *settings.Serve) (*Listeners, error) {
	l := &Listeners{}
	var failures []error
	open := func(dst *net.Listener, flag string, addr *string, listen func(string) (net.Listener, error)) {
		opened, err := listen(*addr)
		if err != nil {
			failures = append(failures, settings.FlagError(flag, "%v", err))
			return
		}
		*dst = opened
		*addr = opened.Addr().String()
	}
	open(&l.Caller, "listen", &s.Listen, bodybuffer.Listen)
	open(&l.Admin, "admin-listen", &s.AdminListen, listenTCP)
	open(&l.Target, "target-listen", &s.TargetListen, listenTCP)
	if err := l.openPeer(s); err != nil {
		failures = append(failures, err)
	}
	if len(failures) > 0 {
		l.Close()
		return nil, errs.Wrap(errors.Join(failures...), "listen", "")
	}
	return l, nil
}

func listenTCP(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// maxPortTries bounds the attempts to find a port that is free for both TCP and UDP.
const maxPortTries = 10

// openPeer opens the sockets for peers and writes their address to s. It tries several times
// because the port that the system assigns for TCP may be in use for UDP.
func (l *Listeners) openPeer(s *settings.Serve) error {
	var err error
	for range maxPortTries {
		if err = l.tryOpenPeer(s.PeerListen); err == nil {
			s.PeerListen = l.Peer.Addr().String()
			return nil
		}
	}
	return settings.FlagError("peer-listen", "%v", err)
}

// tryOpenPeer opens a TCP and a UDP socket with the same port. On an error neither is open.
func (l *Listeners) tryOpenPeer(addr string) error {
	peer, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	gossip, err := net.ListenPacket("udp", peer.Addr().String())
	if err != nil {
		peer.Close()
		return err
	}
	l.Peer, l.Gossip = peer, gossip
	return nil
}

// Close closes all open sockets.
func (l *Listeners) Close() {
	for _, listener := range []net.Listener{l.Caller, l.Admin, l.Target, l.Peer} {
		if listener != nil {
			listener.Close()
		}
	}
	if l.Gossip != nil {
		l.Gossip.Close()
	}
}
