package instance

import (
	"errors"
	"net"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/settings"
)

// Listeners are the open sockets of an instance.
type Listeners struct {
	Caller net.Listener
	Admin  net.Listener
	Target net.Listener
	Peer   net.Listener
	// Gossip is the UDP socket for membership, at the same address as Peer.
	Gossip net.PacketConn
}

// Listen opens all sockets of s. It writes the bound addresses back to s, so that port 0
// is replaced by the port that the system assigned. On an error it closes the sockets
// that it opened and returns the errors of all addresses.
func Listen(s *settings.Serve) (*Listeners, error) {
	l := &Listeners{}
	var faults []error
	open := func(dst *net.Listener, flag string, addr *string) {
		opened, err := net.Listen("tcp", *addr)
		if err != nil {
			faults = append(faults, settings.FlagError(flag, "%v", err))
			return
		}
		*dst = opened
		*addr = opened.Addr().String()
	}
	open(&l.Caller, "listen", &s.Listen)
	open(&l.Admin, "admin-listen", &s.AdminListen)
	open(&l.Target, "target-listen", &s.TargetListen)
	if err := l.openPeer(s); err != nil {
		faults = append(faults, err)
	}
	if len(faults) > 0 {
		l.Close()
		return nil, errs.Wrap(errors.Join(faults...), "listen", "")
	}
	return l, nil
}

// maxPortTries bounds the search for a port that is free for both TCP and UDP.
const maxPortTries = 10

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
