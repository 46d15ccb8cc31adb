// Package notice keeps the notices of targets that leave on the disks of replicas. A target says
// only once that it is gone, so its notice must outlive the processes that acknowledged it. The
// package neither applies notices to the membership nor sends them.
package notice

import (
	"context"
	"sync"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// Retention is how long a notice is kept: no instance lists a target that has not
	// announced itself for that long, from its cache or otherwise.
	Retention = time.Minute
	// maxKept bounds the notices that are kept. The oldest ones are dropped first.
	maxKept = 4096
)

// Write replaces all notices on the disk. It returns once they are durable.
type Write func(notices []*pb.TargetStatus) error

// Store keeps notices on one disk. Notices that arrive during a write share the next one. It is
// safe for concurrent use.
type Store struct {
	write Write

	mu sync.Mutex
	// kept holds the notices, the oldest one first. The first durable ones are on the disk.
	kept    []kept
	durable int
	// waiting is told the result of the next write, which is set to run if writing is.
	waiting []chan<- error
	writing bool
}

// kept is one notice and when it arrived.
type kept struct {
	notice *pb.TargetStatus
	at     time.Time
}

// NewStore returns a Store whose disk holds the notices that were loaded from it.
func NewStore(loaded []*pb.TargetStatus, write Write) *Store {
	s := &Store{write: write, durable: len(loaded)}
	now := time.Now()
	for _, n := range loaded {
		s.kept = append(s.kept, kept{n, now})
	}
	return s
}

// Keep waits until the notice is on the disk. After an error it may be there or not.
func (s *Store) Keep(ctx context.Context, notice *pb.TargetStatus) error {
	done := s.add(notice)
	if done == nil {
		return nil
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// add adds a notice and returns the channel that is sent the result of its write; nil if it is on
// the disk already.
func (s *Store) add(notice *pb.TargetStatus) <-chan error {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.index(notice)
	if i >= 0 && i < s.durable {
		return nil
	}
	if i < 0 {
		s.kept = append(s.kept, kept{notice, time.Now()})
	}
	done := make(chan error, 1)
	s.waiting = append(s.waiting, done)
	if !s.writing {
		s.writing = true
		go s.writeAll()
	}
	return done
}

// index returns the position of a notice in kept, -1 if it is not there. A notice of a later
// incarnation stands for those of earlier ones.
func (s *Store) index(notice *pb.TargetStatus) int {
	for i, k := range s.kept {
		if k.notice.Id == notice.Id && k.notice.Incarnation >= notice.Incarnation {
			return i
		}
	}
	return -1
}

// writeAll writes until nobody waits.
func (s *Store) writeAll() {
	for {
		notices, waiting := s.next()
		if len(waiting) == 0 {
			return
		}
		err := s.write(notices)
		s.finish(len(notices), err)
		for _, done := range waiting {
			done <- err
		}
	}
}

// next returns what is to be written and who waits for that. It ends the writing if nobody does.
func (s *Store) next() (notices []*pb.TargetStatus, waiting []chan<- error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting, s.waiting = s.waiting, nil
	if len(waiting) == 0 {
		s.writing = false
		return nil, nil
	}
	s.prune(time.Now())
	for _, k := range s.kept {
		notices = append(notices, k.notice)
	}
	return notices, waiting
}

// prune drops the notices that are too old or too many.
func (s *Store) prune(now time.Time) {
	first := max(0, len(s.kept)-maxKept)
	for first < len(s.kept) && now.Sub(s.kept[first].at) > Retention {
		first++
	}
	s.kept = s.kept[first:]
	s.durable = max(0, s.durable-first)
}

// finish records the result of a write of the first n notices.
func (s *Store) finish(n int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.durable = n
	}
}
