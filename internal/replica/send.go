package replica

import (
	"context"
	"errors"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/consensus"
	"github.com/wigeonwood/wigeonwood/internal/journal"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// peerQueueSize is the capacity of the message queue of one peer.
	peerQueueSize = 512
	// maxBatchMessages and maxBatchBytes bound the messages of one call.
	maxBatchMessages = 128
	maxBatchBytes    = 4 << 20
	// sendTimeoutTicks is the time limit of one call, in tick intervals.
	sendTimeoutTicks   = electionTicks
	snapshotChunkBytes = 512 << 10
	// maxLearnedAddrs bounds the addresses that are learned from incoming
	// messages, since senders outside the membership may have any ID.
	maxLearnedAddrs = 64
)

// messageSender sends messages to one peer. It may drop messages.
type messageSender interface {
	enqueue(m *pb.RaftMessage)
	close()
}

// peerSet holds one messageSender per remote replica. Only the loop goroutine uses
// it.
type peerSet struct {
	node       *Node
	openSender func(id, addr string) messageSender
	senders    map[string]messageSender
	// learnedAddrs maps the IDs of replicas that sent a message to the addresses
	// that they gave.
	learnedAddrs map[string]string
	lastHeard    map[string]time.Time
	membership   *pb.Membership
}

func newPeerSet(n *Node) *peerSet {
	return &peerSet{
		node:         n,
		openSender:   func(id, addr string) messageSender { return newSender(n, id, addr) },
		senders:      make(map[string]messageSender),
		learnedAddrs: make(map[string]string),
		lastHeard:    make(map[string]time.Time),
	}
}

// recordSender records the address of a replica that sent a message, and the time.
func (ps *peerSet) recordSender(id, addr string) {
	if _, known := ps.learnedAddrs[id]; !known && len(ps.learnedAddrs) >= maxLearnedAddrs {
		clear(ps.learnedAddrs)
		clear(ps.lastHeard)
	}
	ps.learnedAddrs[id] = addr
	ps.lastHeard[id] = ps.node.now()
}

// update closes the senders of replicas that are no longer members or have another
// address now.
func (ps *peerSet) update(core *consensus.Core) {
	membership, _ := core.Membership()
	if membership == ps.membership {
		return
	}
	old := ps.membership
	ps.membership = membership
	for id, s := range ps.senders {
		m := consensus.FindMember(membership, id)
		if m == nil || m.Addr != consensus.FindMember(old, id).GetAddr() {
			s.close()
			delete(ps.senders, id)
		}
	}
}

// addr returns a replica's peer address, "" if unknown. The membership takes
// precedence over learned addresses.
func (ps *peerSet) addr(id string) string {
	if id == ps.node.id {
		return ps.node.cfg.Addr
	}
	if m := consensus.FindMember(ps.membership, id); m != nil {
		return m.Addr
	}
	return ps.learnedAddrs[id]
}

func (ps *peerSet) send(messages []*pb.RaftMessage) {
	for _, m := range messages {
		if s := ps.sender(m.To); s != nil {
			s.enqueue(m)
		}
	}
}

func (ps *peerSet) sender(id string) messageSender {
	if s := ps.senders[id]; s != nil {
		return s
	}
	addr := ps.addr(id)
	if addr == "" {
		return nil
	}
	s := ps.openSender(id, addr)
	ps.senders[id] = s
	return s
}

func (ps *peerSet) close() {
	for _, s := range ps.senders {
		s.close()
	}
}

// sender sends messages to one peer through the transport, in order and in
// batches.
type sender struct {
	node   *Node
	id     string
	addr   string
	queue  chan *pb.RaftMessage
	ctx    context.Context
	cancel context.CancelFunc
}

func newSender(n *Node, id, addr string) *sender {
	s := &sender{node: n, id: id, addr: addr, queue: make(chan *pb.RaftMessage, peerQueueSize)}
	s.ctx, s.cancel = context.WithCancel(n.ctx)
	n.tasks.Go(s.run)
	return s
}

func (s *sender) close() { s.cancel() }

// enqueue drops the message if the queue is full; the core retransmits.
func (s *sender) enqueue(m *pb.RaftMessage) {
	select {
	case s.queue <- m:
	default:
		s.node.metrics.dropped.Inc(1)
		s.reportUnreachable()
	}
}

func (s *sender) run() {
	method := s.node.method("step")
	for {
		var first *pb.RaftMessage
		select {
		case <-s.ctx.Done():
			return
		case first = <-s.queue:
		}
		ctx, cancel := context.WithTimeout(s.ctx, sendTimeoutTicks*s.node.cfg.TickInterval)
		err := s.node.cfg.Pool.Call(ctx, s.addr, method, s.batch(first), &pb.RaftAck{})
		cancel()
		if err != nil && s.ctx.Err() == nil {
			s.reportUnreachable()
			s.pause()
		}
	}
}

// batch returns first and the queued messages, up to the bounds of one call.
func (s *sender) batch(first *pb.RaftMessage) *pb.RaftBatch {
	b := &pb.RaftBatch{Messages: []*pb.RaftMessage{first}, FromAddr: s.node.cfg.Addr}
	size := messageBytes(first)
	for len(b.Messages) < maxBatchMessages && size < maxBatchBytes {
		select {
		case m := <-s.queue:
			b.Messages = append(b.Messages, m)
			size += messageBytes(m)
		default:
			return b
		}
	}
	return b
}

// messageBytes estimates the size of a message from its entries and its chunk.
func messageBytes(m *pb.RaftMessage) int {
	size := len(m.Chunk)
	for _, e := range m.Entries {
		size += len(e.Data)
	}
	return size
}

func (s *sender) reportUnreachable() {
	select {
	case s.node.unreachable <- s.id:
	default:
	}
}

// pause waits for one tick interval after a failed call, so that a peer that
// refuses connections does not cause a busy loop.
func (s *sender) pause() {
	t := time.NewTimer(s.node.cfg.TickInterval)
	defer t.Stop()
	select {
	case <-s.ctx.Done():
	case <-t.C:
	}
}

// sendBeforeSync sends the messages that may leave before the log is synced, and
// fills in the chunks of snapshot messages.
func (n *Node) sendBeforeSync(messages []*pb.RaftMessage) {
	for _, m := range messages {
		if m.Kind == pb.RaftKind_RAFT_KIND_SNAPSHOT && !n.fillChunk(m) {
			continue
		}
		n.peers.send([]*pb.RaftMessage{m})
	}
}

// fillChunk reads the chunk of a snapshot message from the journal. It returns
// false if the message cannot be sent.
func (n *Node) fillChunk(m *pb.RaftMessage) bool {
	s := n.transfers[m.To]
	if s == nil || s.Meta.Index != m.Index {
		opened, err := n.journal.OpenSnapshot(m.Index)
		if errors.Is(err, journal.ErrNoSnapshot) {
			n.core.ReportSnapshotRemoved(m.To)
			return false
		}
		if err != nil {
			n.fail(err)
			return false
		}
		if s != nil {
			s.Close()
		}
		s = opened
		n.transfers[m.To] = s
	}
	chunk, last, err := s.ReadChunk(m.Offset, snapshotChunkBytes)
	if err != nil {
		return false
	}
	m.Chunk, m.LastChunk = chunk, last
	return true
}
