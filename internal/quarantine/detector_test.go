package quarantine

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

var start = time.Unix(1_000_000, 0)

// crashIn observes a crash of a request that was sent shortly before.
func crashIn(d *Detector, now time.Time, target uint64, parts ...string) {
	d.Observe(now, Trial{Parts: parts, Target: target, Sent: now.Add(-20 * time.Millisecond), Outcome: Interrupted})
}

func never(string) int { return 0 }

// TestEvidence checks which crashes count against a part.
func TestEvidence(t *testing.T) {
	second := func(n float64) time.Time { return start.Add(time.Duration(n * float64(time.Second))) }
	for name, c := range map[string]struct {
		observe func(d *Detector)
		held    bool
	}{
		"six crashes in a row": {func(d *Detector) {
			for i := range 6 {
				crashIn(d, second(float64(i)/5), uint64(i), "p")
			}
		}, true},
		"two crashes": {func(d *Detector) {
			for i := range 2 {
				crashIn(d, second(float64(i)/5), uint64(i), "p")
			}
		}, false},
		"crashes of one target": {func(d *Detector) {
			for i := range 10 {
				crashIn(d, second(float64(i)/5), 1, "p")
			}
		}, false},
		"requests in flight at the same time": {func(d *Detector) {
			for i := range 10 {
				now := second(float64(i) / 100)
				d.Observe(now, Trial{Parts: []string{"p"}, Target: uint64(i), Sent: start.Add(-time.Second), Outcome: Interrupted})
			}
		}, false},
		"an answer after them": {func(d *Detector) {
			for i := range 6 {
				crashIn(d, second(float64(i)/5), uint64(i), "p")
			}
			d.Observe(second(1.1), Trial{Parts: []string{"p"}, Outcome: Answered})
		}, false},
		"an answer shortly before them": {func(d *Detector) {
			d.Observe(start, Trial{Parts: []string{"p"}, Outcome: Answered})
			for i := range 6 {
				crashIn(d, second(0.1+float64(i)/5), uint64(i), "p")
			}
		}, false},
		"answered long before": {func(d *Detector) {
			d.Observe(second(-30), Trial{Parts: []string{"p"}, Outcome: Answered})
			for i := range 8 {
				crashIn(d, second(float64(i)/5), uint64(i), "p")
			}
		}, true},
		"few other requests": {func(d *Detector) {
			// The crashes under the part are the only failures that there are.
			for i := range 5 {
				crashIn(d, second(float64(i)/5), uint64(i), "p")
			}
			d.MergeCounts(second(0.9), "r2", &pb.Quarantine{Trials: 4, Failures: 2})
		}, true},
		"most requests fail": {func(d *Detector) {
			for i := range 400 {
				crashIn(d, second(float64(i)/400), uint64(100+i), fmt.Sprint("other-", i))
			}
			for i := range 8 {
				crashIn(d, second(float64(i)/8), uint64(i), "p")
			}
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := NewDetector("r")
			c.observe(d)
			d.Tick(second(2))
			if held := d.Admit(second(2), []string{"a", "p"}, never) != nil; held != c.held {
				t.Errorf("held: %t, want %t", held, c.held)
			}
		})
	}
}

// TestPartThatOnlyAccompaniesIsNotHeld checks that a held part explains the crashes of
// another one that occurred in some of the same prompts.
func TestPartThatOnlyAccompaniesIsNotHeld(t *testing.T) {
	d := NewDetector("r")
	now := start
	for i := range 9 {
		now = now.Add(200 * time.Millisecond)
		parts := []string{"bad"}
		if i%3 > 0 {
			parts = append(parts, "companion")
		}
		crashIn(d, now, uint64(i), parts...)
		d.Tick(now)
	}
	if h := d.Admit(now, []string{"bad"}, never); h == nil {
		t.Error("the part in all prompts is not held")
	}
	if h := d.Admit(now, []string{"companion"}, never); h != nil {
		t.Errorf("held: %v", h)
	}
}

// TestSuspectedRequestIsNotRepeated guards against a router that sends a request from one
// engine to the next while the evidence is collected.
func TestSuspectedRequestIsNotRepeated(t *testing.T) {
	d := NewDetector("r")
	parts := []string{"first", "p"}
	for i, want := range []bool{true, false, false} {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		crashIn(d, now, uint64(i), "p")
		if got := d.MayRepeat(parts); got != want {
			t.Errorf("after %d crashes: may repeat %t, want %t", i+1, got, want)
		}
	}
	if !d.MayRepeat([]string{"first"}) {
		t.Error("a request without the part may not be repeated")
	}
}

// TestMemoryIsBounded sends more parts than are kept. The holds must outlast the others.
func TestMemoryIsBounded(t *testing.T) {
	d := NewDetector("r")
	now := start
	for i := range 6 {
		now = now.Add(200 * time.Millisecond)
		crashIn(d, now, uint64(i), "bad")
	}
	now = now.Add(time.Second)
	d.Tick(now)
	for i := range 3 * maxRecords {
		crashIn(d, now.Add(time.Duration(i)*time.Millisecond), uint64(i), fmt.Sprint("crashed-", i))
	}
	for i := range 3 * maxRecent {
		d.Observe(now, Trial{Parts: []string{fmt.Sprint("answered-", i)}, Outcome: Answered})
	}
	long := make([]byte, 100_000)
	crashIn(d, now, 99, string(long))
	if n := len(d.records); n > maxRecords {
		t.Errorf("%d records, at most %d", n, maxRecords)
	}
	if n := len(d.answered.current) + len(d.answered.previous); n > 2*maxRecent {
		t.Errorf("%d answered parts, at most %d", n, 2*maxRecent)
	}
	for key := range d.records {
		if len(key) > maxPartBytes {
			t.Errorf("a key of %d bytes", len(key))
		}
	}
	if d.Admit(now, []string{"bad"}, never) == nil {
		t.Error("the hold was forgotten")
	}
}

// TestEvidenceExpires checks that evidence and expired holds are forgotten.
func TestEvidenceExpires(t *testing.T) {
	d := NewDetector("r")
	crashIn(d, start, 1, "p")
	for i := range 6 {
		crashIn(d, start.Add(time.Duration(i)*200*time.Millisecond), uint64(i), "bad")
	}
	d.Tick(start.Add(2 * time.Second))
	d.Tick(start.Add(2*evidenceRetention + time.Second))
	if d.records["p"] != nil || d.records["bad"] == nil {
		t.Errorf("records %v, want the held part only", d.records)
	}
	d.Tick(start.Add(holdRetention + maxHold + time.Hour))
	if len(d.records) > 0 {
		t.Errorf("records %v, want none", d.records)
	}
}

// TestMergeOrder checks that the order in which updates arrive, and their repetition, do
// not change the decision.
func TestMergeOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(9, 9))
	for range 200 {
		var updates []*pb.PartRecord
		source := []*Detector{NewDetector("a"), NewDetector("b"), NewDetector("c")}
		now := start
		for i := range 12 {
			now = now.Add(time.Duration(600+rng.IntN(400)) * time.Millisecond)
			d := source[rng.IntN(len(source))]
			switch rng.IntN(6) {
			case 0:
				d.Observe(now, Trial{Parts: []string{"p"}, Outcome: Answered})
			case 1:
				d.Lift(now, "p")
			default:
				crashIn(d, now, uint64(i), "p")
			}
			d.Tick(now)
		}
		for _, d := range source {
			if r := d.records["p"]; r != nil {
				updates = append(updates, r.encode(now))
			}
		}
		var want *bool
		for range 6 {
			rng.Shuffle(len(updates), func(i, j int) { updates[i], updates[j] = updates[j], updates[i] })
			d := NewDetector("reader")
			for range 2 {
				for _, u := range updates {
					d.Merge(now, u)
				}
			}
			held := d.Admit(now, []string{"p"}, never) != nil
			if want != nil && *want != held {
				t.Fatalf("held: %t in one order, %t in another", *want, held)
			}
			want = &held
		}
	}
}

// TestEndedHoldIsReturned guards against a router that has missed the end of a hold and goes on
// refusing requests: another router must answer its digest with the end of the hold, once, and
// in few bytes. A hold that is news to the receiver must not be answered.
func TestEndedHoldIsReturned(t *testing.T) {
	const maxBytes = 100
	for name, end := range map[string]func(d *Detector, now time.Time){
		"by an operator": func(d *Detector, now time.Time) { d.Lift(now, "p") },
		"by an answer": func(d *Detector, now time.Time) {
			d.Observe(now, Trial{Parts: []string{"p"}, Outcome: Answered})
		},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := NewDetector("r1"), NewDetector("r2")
			now := start
			for i := range 10 {
				now = now.Add(200 * time.Millisecond)
				crashIn(first, now, uint64(i), "p")
				first.Tick(now)
			}
			hold := first.Digest(now)
			if len(hold) != 1 || !second.Merge(now, hold[0]) || len(second.Holds(now)) != 1 {
				t.Fatalf("the hold was not passed on: %v", hold)
			}
			if returned := second.Refutes(now, hold[0]); returned != nil {
				t.Errorf("a hold that is in force was refuted: %v", returned)
			}
			now = now.Add(5 * time.Second)
			end(first, now)
			now = now.Add(time.Second)
			stale := second.Digest(now)[0]
			first.Merge(now, stale)
			returned := first.Refutes(now, stale)
			if returned == nil {
				t.Fatal("the end of the hold was not returned")
			}
			if size := proto.Size(returned); size > maxBytes {
				t.Errorf("the end of the hold has %d bytes, at most %d may", size, maxBytes)
			}
			if !second.Merge(now, returned) || len(second.Holds(now)) > 0 {
				t.Error("the returned record does not end the hold")
			}
			if again := first.Refutes(now, second.Digest(now)[0]); again != nil {
				t.Errorf("the end of the hold was returned to a router that knows it: %v", again)
			}
		})
	}
}

// TestLiftRevivesNoEvidence guards against a sound request that is held as soon as an operator
// lifts the hold on the request that crashed engines at the same time. Crashes after the lift
// must count.
func TestLiftRevivesNoEvidence(t *testing.T) {
	for _, lifted := range []string{RequestKey("deadly", true), "deadly-part"} {
		sound := RequestKey("sound", true)
		d, now := NewDetector("r1"), start
		for i := range 5 {
			now = now.Add(300 * time.Millisecond)
			crashIn(d, now, uint64(i), lifted)
			if i > 0 && i < 4 {
				crashIn(d, now, uint64(i), sound)
			}
		}
		d.Tick(now)
		if holds := d.Holds(now); len(holds) != 1 || holds[0].Part != lifted {
			t.Fatalf("%v are held, want %s", holds, lifted)
		}
		now = now.Add(time.Second)
		if !d.Lift(now, lifted) {
			t.Fatalf("%s was not lifted", lifted)
		}
		d.Tick(now.Add(roundInterval))
		if holds := d.Holds(now); len(holds) > 0 {
			t.Errorf("after the lift of %s, %v are held", lifted, holds)
		}
		for i := range 5 {
			now = now.Add(300 * time.Millisecond)
			crashIn(d, now, uint64(100+i), sound)
			d.Tick(now)
		}
		if holds := d.Holds(now); len(holds) != 1 || holds[0].Part != sound {
			t.Errorf("after five crashes that the lift of %s does not explain, %v are held, want %s", lifted, holds, sound)
		}
	}
}

// TestDecisionsAreSentFirst guards against a hold that other routers learn late, because crashes
// under parts that are held already use up the limit of bytes.
func TestDecisionsAreSentFirst(t *testing.T) {
	d, now := NewDetector("r1"), start
	hold := func(part string, target uint64) {
		for i := range uint64(8) {
			now = now.Add(300 * time.Millisecond)
			crashIn(d, now, target+i, part)
		}
		d.Tick(now)
		if d.Admit(now, []string{part}, never) == nil {
			t.Fatalf("%s is not held", part)
		}
	}
	hold("known", 0)
	for range updateRounds {
		d.Updates(now, maxUpdateBytes, maxUpdateBytes)
	}
	crashIn(d, now, 10, "known")
	hold("new", 20)
	for i := range 2 * updateRounds {
		want := "new"
		if i >= updateRounds {
			want = "known"
		}
		if updates := d.Updates(now, maxUpdateBytes, maxUpdateBytes); len(updates) != 1 || updates[0].Part != want {
			t.Errorf("round %d: %v, want %s", i, updates, want)
		}
	}
}

// FuzzMerge merges arbitrary records. They must neither end the process nor exceed the
// bounds.
func FuzzMerge(f *testing.F) {
	seed, err := proto.Marshal(&pb.PartRecord{
		Part: "p", CrashedTargets: []uint64{1, 2}, CrashAgesMs: []uint32{1, 4_000_000_000}, SentAgesMs: []uint32{5, 0},
		AnsweredAgeMs: new(uint32(7)), Hold: &pb.PartHold{Strikes: 1 << 31, LeftMs: 1 << 31, Router: "r"},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed, seed)
	f.Fuzz(func(t *testing.T, first, second []byte) {
		d := NewDetector("r")
		for _, raw := range [][]byte{first, second} {
			m := &pb.PartRecord{}
			if proto.Unmarshal(raw, m) != nil {
				continue
			}
			d.Merge(start, m)
		}
		d.Tick(start)
		for _, r := range d.records {
			if len(r.crashes) > maxCrashes || len(r.part) > maxPartBytes || r.hold.until.Sub(start) > maxHold {
				t.Errorf("a record exceeds its bounds: %+v", r)
			}
		}
		d.Updates(start, maxUpdateBytes, maxUpdateBytes)
		d.Digest(start)
	})
}

// TestUnreadablePartKeepsUpdates guards against one request that ends the exchange of all
// evidence: an id that is not valid UTF-8 cannot be sent in a message.
func TestUnreadablePartKeepsUpdates(t *testing.T) {
	d := NewDetector("r")
	crashIn(d, start, 1, "\xff\xfe", "readable")
	updates := d.Updates(start, maxUpdateBytes, maxUpdateBytes)
	if len(updates) != 2 {
		t.Fatalf("%d updates, want two", len(updates))
	}
	if _, err := proto.Marshal(&pb.Quarantine{Records: updates}); err != nil {
		t.Errorf("the message can't be encoded: %v", err)
	}
}

// TestHoldOfRouterWithLongName checks that a decision of a router with a long id is accepted,
// and that the largest record fits in one message.
func TestHoldOfRouterWithLongName(t *testing.T) {
	long := strings.Repeat("n", maxRouterBytes)
	d := NewDetector(long)
	part := strings.Repeat("p", maxPartBytes)
	now := start
	for i := range 2 * maxCrashes {
		now = now.Add(200 * time.Millisecond)
		crashIn(d, now, 1<<63+uint64(i), part)
	}
	d.Tick(now)
	updates := d.Updates(now, maxUpdateBytes, maxUpdateBytes)
	if len(updates) != 1 {
		t.Fatalf("%d updates, want one", len(updates))
	}
	other := NewDetector("r")
	if !other.Merge(now, updates[0]) || other.Admit(now, []string{part}, never) == nil {
		t.Errorf("the decision of %s was not accepted", long)
	}
}

// TestRequestIsHeldAndNotItsParts guards against a sound part that is held because one request
// with it crashes engines, although others with the part are rarely answered.
func TestRequestIsHeldAndNotItsParts(t *testing.T) {
	d := NewDetector("r")
	bad := RequestKey("deadly", true)
	now := start
	d.Observe(now.Add(-time.Minute), Trial{Parts: []string{"rare"}, Outcome: Answered})
	for i := range 6 {
		now = now.Add(300 * time.Millisecond)
		crashIn(d, now, uint64(i), "rare", bad)
		d.Tick(now)
	}
	if h := d.Admit(now, []string{"rare", bad}, never); h == nil || !h.IsRequest() {
		t.Errorf("the request is not held: %v", h)
	}
	if h := d.Admit(now, []string{"rare", RequestKey("other", true)}, never); h != nil {
		t.Errorf("another request with the part is refused: %v", h)
	}
}

// TestPartIsHeldWhereCallersRepeat guards against a part that crashes engines and is hidden by
// the requests with it, which callers send again until each of them is held.
func TestPartIsHeldWhereCallersRepeat(t *testing.T) {
	d := NewDetector("r")
	now := start
	for i := range 12 {
		now = now.Add(300 * time.Millisecond)
		crashIn(d, now, uint64(i), "bad", RequestKey(fmt.Sprint(i/3), true))
		d.Tick(now)
	}
	if h := d.Admit(now, []string{"bad", RequestKey("new", true)}, never); h == nil || h.IsRequest() {
		t.Errorf("the part is not held: %v", h)
	}
}

// TestRequestWithAnAnswerIsNotHeld guards against a sound request that is polled, and held
// because engines ended under some of its attempts.
func TestRequestWithAnAnswerIsNotHeld(t *testing.T) {
	d := NewDetector("r")
	polled := RequestKey("polled", false)
	now := start
	for i := range 12 {
		now = now.Add(300 * time.Millisecond)
		crashIn(d, now, uint64(i), polled)
		if i%2 == 1 {
			d.Observe(now, Trial{Parts: []string{polled}, Target: 99, Sent: now, Outcome: Answered})
		}
		d.Tick(now)
		if h := d.Admit(now, []string{polled}, never); h != nil {
			t.Fatalf("held after %d crashes: %v", i+1, h)
		}
	}
}

// TestManyInterruptedRequestsKeepEvidence checks that requests which met one crash, of which an
// engine leaves many, do not displace the evidence against parts and other requests.
func TestManyInterruptedRequestsKeepEvidence(t *testing.T) {
	d := NewDetector("r")
	bad := RequestKey("deadly", true)
	for i := range 2 {
		now := start.Add(time.Duration(i) * 300 * time.Millisecond)
		crashIn(d, now, uint64(i), "part")
		crashIn(d, now, uint64(10+i), bad)
	}
	for i := range 3 * maxRecords {
		crashIn(d, start.Add(time.Second), uint64(100+i), RequestKey(fmt.Sprint(i), false))
	}
	if len(d.records) > maxRecords || d.requests > maxRecords {
		t.Errorf("%d records, %d of them of requests, at most %d may be kept", len(d.records), d.requests, maxRecords)
	}
	for _, key := range []string{"part", bad} {
		if d.MayRepeat([]string{key}) {
			t.Errorf("the evidence against %s is lost", key)
		}
	}
}

// TestRequestWithManyPartsIsHeld guards against a request whose key is cut off because its
// prompt has more parts than are examined.
func TestRequestWithManyPartsIsHeld(t *testing.T) {
	d := NewDetector("r")
	var keys []string
	for i := range 2 * maxParts {
		keys = append(keys, fmt.Sprint("part-", i))
	}
	d.Observe(start.Add(-time.Minute), Trial{Parts: keys, Outcome: Answered})
	bad := RequestKey("deadly", true)
	now := start
	for i := range 4 {
		now = now.Add(300 * time.Millisecond)
		crashIn(d, now, uint64(i), append(keys, bad)...)
		d.Tick(now)
	}
	if h := d.Admit(now, append(keys, bad), never); h == nil || !h.IsRequest() {
		t.Errorf("the request is not held: %v", h)
	}
}
