package notice

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

var errDisk = errors.New("the disk refuses the write")

func leaving(id string, incarnation uint64) *pb.TargetStatus {
	return &pb.TargetStatus{Id: id, Incarnation: incarnation, Leaving: true}
}

// disk holds what was written last; each write takes delay and fails with err if it is set.
type disk struct {
	delay time.Duration
	err   error

	mu     sync.Mutex
	writes int
	held   []*pb.TargetStatus
}

func (d *disk) write(notices []*pb.TargetStatus) error {
	time.Sleep(d.delay)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.writes++
	if d.err == nil {
		d.held = notices
	}
	return d.err
}

func (d *disk) holds(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range d.held {
		if n.Id == id {
			return true
		}
	}
	return false
}

// TestKeepWritesFirst guards against a notice that is acknowledged before it is on the disk, and
// against one write for each of many notices that arrive at the same time.
func TestKeepWritesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const notices = 100
		d := &disk{delay: 20 * time.Millisecond}
		s := NewStore(nil, d.write)
		var keeping sync.WaitGroup
		for i := range notices {
			keeping.Go(func() {
				id := fmt.Sprint("t", i)
				if err := s.Keep(t.Context(), leaving(id, 1)); err != nil || !d.holds(id) {
					t.Errorf("%s: error %v, on the disk: %t", id, err, d.holds(id))
				}
			})
		}
		keeping.Wait()
		if d.writes > 2 {
			t.Errorf("%d writes for %d notices at the same time", d.writes, notices)
		}
	})
}

// TestKeepOnce checks that a notice that is on the disk costs no further write, that one of a
// later start does, and that a failed write is made up for by the next one.
func TestKeepOnce(t *testing.T) {
	d := &disk{}
	s := NewStore([]*pb.TargetStatus{leaving("loaded", 5)}, d.write)
	keep := func(id string, incarnation uint64, want error, writes int) {
		t.Helper()
		if err := s.Keep(t.Context(), leaving(id, incarnation)); !errors.Is(err, want) {
			t.Errorf("%s: error %v, want %v", id, err, want)
		}
		if d.writes != writes {
			t.Errorf("%s: %d writes, want %d", id, d.writes, writes)
		}
	}
	keep("loaded", 5, nil, 0)
	keep("loaded", 4, nil, 0)
	keep("loaded", 6, nil, 1)
	d.err = errDisk
	keep("a", 1, errDisk, 2)
	d.err = nil
	keep("b", 1, nil, 3)
	keep("a", 1, nil, 3)
	if !d.holds("loaded") || !d.holds("a") || !d.holds("b") {
		t.Errorf("the disk holds %v", d.held)
	}
}

// TestOldNoticesAreDropped checks the bounds on age and number of the notices.
func TestOldNoticesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &disk{}
		s := NewStore([]*pb.TargetStatus{leaving("loaded", 1)}, d.write)
		time.Sleep(Retention + time.Second)
		if err := s.Keep(t.Context(), leaving("a", 1)); err != nil || d.holds("loaded") || !d.holds("a") {
			t.Errorf("error %v, the disk holds %v", err, d.held)
		}
		for i := range maxKept {
			if err := s.Keep(t.Context(), leaving(fmt.Sprint("t", i), 1)); err != nil {
				t.Fatal(err)
			}
		}
		if len(d.held) != maxKept || d.holds("a") {
			t.Errorf("the disk holds %d notices, want %d without the oldest", len(d.held), maxKept)
		}
	})
}

// TestSpread guards against a notice that is acknowledged although too few disks hold it, and
// against one that waits for a single slow or lost disk.
func TestSpread(t *testing.T) {
	const limit = 800 * time.Millisecond
	for name, test := range map[string]struct {
		// holders are "ok", "slow" for one that never answers, and "fails".
		holders []string
		needed  int
		err     error
		within  time.Duration
	}{
		"all answer":              {holders: []string{"ok", "ok", "ok"}, needed: 2},
		"one slow":                {holders: []string{"slow", "ok", "ok"}, needed: 2},
		"two slow":                {holders: []string{"slow", "slow", "ok", "ok", "ok"}, needed: 2, within: retryInterval},
		"one fails":               {holders: []string{"fails", "ok", "ok"}, needed: 2},
		"two fail, two are left":  {holders: []string{"fails", "fails", "ok", "ok"}, needed: 2},
		"too many fail":           {holders: []string{"fails", "ok", "fails"}, needed: 2, err: ErrTooFewCopies},
		"too many slow":           {holders: []string{"slow", "ok", "slow"}, needed: 2, err: ErrTooFewCopies, within: limit},
		"no disk at all":          {needed: 0},
		"fewer disks than needed": {holders: []string{"ok"}, needed: 2, err: ErrTooFewCopies},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var held atomic.Int64
				var holders []Holder
				for _, kind := range test.holders {
					holders = append(holders, func(ctx context.Context) error {
						switch kind {
						case "slow":
							<-ctx.Done()
							return ctx.Err()
						case "fails":
							return errDisk
						}
						held.Add(1)
						return nil
					})
				}
				ctx, cancel := context.WithTimeout(t.Context(), limit)
				defer cancel()
				began := time.Now()
				err := Spread(ctx, holders, test.needed)
				if !errors.Is(err, test.err) || err == nil && int(held.Load()) < test.needed {
					t.Errorf("error %v, %d disks, want error %v, %d disks", err, held.Load(), test.err, test.needed)
				}
				if took := time.Since(began); took > test.within {
					t.Errorf("took %v, want at most %v", took, test.within)
				}
			})
		})
	}
}
