package member

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"hash"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// wireVersion is the first byte of each datagram.
	wireVersion = 1
	// macBytes is the length of the truncated HMAC-SHA256 that follows the version.
	macBytes = 16
	// headerBytes is the size of the header before the message.
	headerBytes = 1 + macBytes
	// packetOverheadBytes is the size of the IPv4 and UDP headers, which the budget
	// counts with each datagram.
	packetOverheadBytes = 28
	// maxDatagramBytes keeps a datagram within one Ethernet frame.
	maxDatagramBytes = 1400
	// maxMessageBytes limits the message in a datagram.
	maxMessageBytes = maxDatagramBytes - headerBytes
)

var (
	errDatagramSize    = errors.New("the datagram's size is out of bounds")
	errDatagramVersion = errors.New("the datagram has an unknown version")
	errDatagramMAC     = errors.New("the datagram was not signed with the peer token")
	errMessageFields   = errors.New("the message's fields are out of bounds")
)

// codec encodes and signs messages, and verifies and decodes datagrams.
type codec struct {
	macs sync.Pool
}

func newCodec(token string) *codec {
	key := []byte(token)
	return &codec{macs: sync.Pool{New: func() any { return hmac.New(sha256.New, key) }}}
}

func (c *codec) sum(payload []byte) []byte {
	mac := c.macs.Get().(hash.Hash)
	defer c.macs.Put(mac)
	mac.Reset()
	_, _ = mac.Write([]byte{wireVersion})
	_, _ = mac.Write(payload)
	return mac.Sum(nil)[:macBytes]
}

// encode returns the signed datagram of m.
func (c *codec) encode(m *pb.Gossip) ([]byte, error) {
	buf := make([]byte, headerBytes, maxDatagramBytes)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return nil, err
	}
	if len(buf) > maxDatagramBytes {
		return nil, errDatagramSize
	}
	buf[0] = wireVersion
	copy(buf[1:headerBytes], c.sum(buf[headerBytes:]))
	return buf, nil
}

// decode verifies a datagram and returns its message.
func (c *codec) decode(datagram []byte) (*pb.Gossip, error) {
	if len(datagram) < headerBytes || len(datagram) > maxDatagramBytes {
		return nil, errDatagramSize
	}
	if datagram[0] != wireVersion {
		return nil, errDatagramVersion
	}
	payload := datagram[headerBytes:]
	if !hmac.Equal(datagram[1:headerBytes], c.sum(payload)) {
		return nil, errDatagramMAC
	}
	return parseMessage(payload)
}

// parseMessage decodes a message and validates its fields, so that the core may rely on
// them.
func parseMessage(payload []byte) (*pb.Gossip, error) {
	m := &pb.Gossip{}
	if err := proto.Unmarshal(payload, m); err != nil {
		return nil, err
	}
	if m.From == "" {
		return nil, errMessageFields
	}
	for _, d := range m.Routers {
		if d.GetStatus().GetId() == "" || d.Generation == 0 {
			return nil, errMessageFields
		}
	}
	for _, d := range m.Targets {
		if d.GetStatus().GetId() == "" {
			return nil, errMessageFields
		}
	}
	if m.Parts > 0 && (m.Parts < minParts || m.Part >= m.Parts) {
		return nil, errMessageFields
	}
	validInFlight := len(m.GetInFlight().GetKeys()) == len(m.GetInFlight().GetCounts())
	if !validRenewals(m.Renewals) || !validLoads(m.Loads) || !validInFlight || !validLimits(m.GetInFlight()) || !validPaces(m.GetInFlight()) {
		return nil, errMessageFields
	}
	return m, nil
}

// validRenewals reports whether there are as many ages as keys and all indexes of
// leaving targets are within them.
func validRenewals(r *pb.Renewals) bool {
	n := len(r.GetKeys())
	if len(r.GetAges()) != n {
		return false
	}
	for _, i := range r.GetLeaving() {
		if int(i) >= n {
			return false
		}
	}
	return true
}

// validLoads reports whether all columns have the same length.
func validLoads(l *pb.Loads) bool {
	n := len(l.GetKeys())
	for _, column := range []int{
		len(l.GetRunning()), len(l.GetWaiting()), len(l.GetCachePermille()), len(l.GetAgesMs()), len(l.GetSequences()),
	} {
		if column != n {
			return false
		}
	}
	return true
}
