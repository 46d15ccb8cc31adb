package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// updateRounds is the number of rounds in which a router sends a record that has
	// changed. In each round it sends the record to a few routers, so that nearly all
	// routers receive it in the number of rounds that grows with the logarithm of their
	// number; digests reach the others.
	updateRounds = 3
	// liftRounds is updateRounds for the end of a hold. Nothing else tells a router that its
	// hold is over, and it refuses sound requests until then, while routers of builds without
	// the quarantine pass nothing on.
	liftRounds = 6
	// maxUpdateBytes bounds the records in one message.
	maxUpdateBytes = 1100
	// maxSingles bounds the records of single crashes that are sent in one round.
	maxSingles = 12
	// maxSentTargets bounds the targets whose failures are sent with the counts. If more
	// targets fail, the failure rate counts in favour of each request.
	maxSentTargets = 8
	// maxRouterBytes bounds the id of the router that decided.
	maxRouterBytes = 255
	// sameTime is the difference up to which two times are taken for the same event.
	// Ages from other routers are late by the network latency.
	sameTime = 500 * time.Millisecond
	// maxAge bounds the ages that are accepted from other routers.
	maxAge = holdRetention + maxHold
)

// touch marks a record as changed, so that it is sent to other routers.
func (d *Detector) touch(now time.Time, r *record) {
	r.changed = now
	r.sends = updateRounds
	if r.refuted() && r.counted(nil) == 0 {
		r.sends = liftRounds
	}
	if held := r.held(); held != r.sentHeld || !r.hold.renewed.Equal(r.sentRenewed) {
		r.decided, r.sentHeld, r.sentRenewed = true, held, r.hold.renewed
	}
}

// Updates returns the records to send in this round: those that changed recently, the most
// important ones first, up to maxBytes. While there are new decisions, it returns those
// alone; else held parts and then those with most evidence, up to maxOtherBytes.
func (d *Detector) Updates(now time.Time, maxBytes, maxOtherBytes int) []*pb.PartRecord {
	var due []*record
	news := false
	for _, r := range d.records {
		if r.sends > 0 && !r.isSingle() {
			news = news || r.decided
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(x, y *record) int {
		return cmp.Or(
			cmp.Compare(y.hold.strikes, x.hold.strikes),
			cmp.Compare(len(y.crashes), len(x.crashes)),
			cmp.Compare(y.sends, x.sends),
			cmp.Compare(x.part, y.part),
		)
	})
	if news {
		// Further crashes under held parts, with their long lists, must not delay a decision.
		due = slices.DeleteFunc(due, func(r *record) bool { return !r.decided })
	} else {
		maxBytes = maxOtherBytes
	}
	messages, sent := encodeUpTo(now, due, maxBytes)
	for _, r := range due[:sent] {
		r.sends--
		r.decided = r.decided && r.sends > 0
	}
	return messages
}

// Singles returns the records of requests that met one crash, each once after a change, up to
// maxSingles of the latest. They go to the routers that collect the evidence against them.
func (d *Detector) Singles(now time.Time) []*pb.PartRecord {
	var due []*record
	for _, r := range d.records {
		if r.sends > 0 && r.isSingle() {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(x, y *record) int {
		return cmp.Or(y.changed.Compare(x.changed), cmp.Compare(x.part, y.part))
	})
	var messages []*pb.PartRecord
	for _, r := range due[:min(len(due), maxSingles)] {
		r.sends = 0
		messages = append(messages, r.encode(now))
	}
	return messages
}

// Digest returns records with a decision, up to maxUpdateBytes. Successive calls go through
// all of them in turn.
func (d *Detector) Digest(now time.Time) []*pb.PartRecord {
	var decided []*record
	for _, r := range d.records {
		if r.hold.strikes > 0 {
			decided = append(decided, r)
		}
	}
	slices.SortFunc(decided, func(x, y *record) int {
		return cmp.Or(
			compareBool(x.part <= d.digestFrom, y.part <= d.digestFrom),
			cmp.Compare(x.part, y.part),
		)
	})
	messages, sent := encodeUpTo(now, decided, maxUpdateBytes)
	if sent > 0 {
		d.digestFrom = decided[sent-1].part
	}
	return messages
}

func encodeUpTo(now time.Time, records []*record, maxBytes int) (messages []*pb.PartRecord, sent int) {
	size := 0
	for _, r := range records {
		m := r.encode(now)
		size += proto.Size(m)
		if size > maxBytes {
			break
		}
		messages = append(messages, m)
	}
	return messages, len(messages)
}

func (r *record) encode(now time.Time) *pb.PartRecord {
	m := &pb.PartRecord{Part: r.part, AnsweredAgeMs: optionalAge(now, r.lastAnswered), LiftedAgeMs: optionalAge(now, r.liftedAt)}
	refuted, from := r.refuted(), r.evidenceFrom()
	for _, c := range r.crashes {
		if refuted && !c.at.After(from) {
			// The end of a hold must be small, because it is sent more often.
			continue
		}
		m.CrashedTargets = append(m.CrashedTargets, c.target)
		m.CrashAgesMs = append(m.CrashAgesMs, ageMs(now, c.at))
		m.SentAgesMs = append(m.SentAgesMs, ageMs(now, c.sent))
		if !r.isRequest() {
			m.CrashedRequests = append(m.CrashedRequests, c.request)
		}
	}
	if r.hold.strikes > 0 {
		m.Hold = &pb.PartHold{
			Strikes:      r.hold.strikes,
			SinceAgeMs:   ageMs(now, r.hold.since),
			RenewedAgeMs: ageMs(now, r.hold.renewed),
			LeftMs:       uint32(max(0, r.hold.until.Sub(now).Milliseconds())),
			Router:       r.hold.by,
		}
	}
	return m
}

func optionalAge(now, t time.Time) *uint32 {
	if t.IsZero() {
		return nil
	}
	return new(ageMs(now, t))
}

func ageMs(now, t time.Time) uint32 {
	return uint32(min(max(0, now.Sub(t)), maxAge).Milliseconds())
}

// Merge applies a record of another router. Records with invalid fields are ignored; the
// result says whether the record was valid.
func (d *Detector) Merge(now time.Time, m *pb.PartRecord) bool {
	if !validRecord(m) {
		return false
	}
	r := d.records[m.Part]
	if r == nil {
		r = d.addRecord(now, m.Part)
	}
	wasHeld := r.held()
	changed := r.mergeCrashes(now, m)
	if changed {
		d.raiseFailureRate(now, r)
	}
	changed = r.mergeHold(now, m.Hold) || changed
	changed = r.mergeAnswer(now, m, d.answered.get(m.Part)) || changed
	if lifted := timeAt(now, m.LiftedAgeMs); lifted.Sub(r.liftedAt) > sameTime {
		r.liftedAt = lifted
		changed = true
	}
	if changed {
		d.touch(now, r)
	}
	switch held := r.held(); {
	case held && !wasHeld:
		d.addEvent(now, Learned, r)
	case wasHeld && !held && r.liftedAt.After(r.hold.renewed):
		d.addEvent(now, LiftedByOperator, r)
	case wasHeld && !held:
		d.addEvent(now, LiftedByAnswer, r)
	}
	return true
}

// Refutes returns this router's record of a part if the sender of m holds the part and this
// router knows that the hold has ended, nil otherwise. It must be called after Merge.
func (d *Detector) Refutes(now time.Time, m *pb.PartRecord) *pb.PartRecord {
	r := d.records[m.GetPart()]
	if r == nil || !r.refuted() {
		return nil
	}
	theirs := record{lastAnswered: timeAt(now, m.AnsweredAgeMs), liftedAt: timeAt(now, m.LiftedAgeMs)}
	theirs.mergeHold(now, m.Hold)
	if !theirs.held() {
		return nil
	}
	return r.encode(now)
}

// MergeCounts applies another router's counts of requests and of those that failed.
func (d *Detector) MergeCounts(now time.Time, router string, m *pb.Quarantine) {
	if len(m.FailedTargets) != len(m.FailuresAtTargets) || len(m.FailedTargets) > maxSentTargets {
		return
	}
	failuresAt := make(map[uint64]int, len(m.FailedTargets))
	for i, target := range m.FailedTargets {
		failuresAt[target] = int(min(m.FailuresAtTargets[i], maxPeerTrials))
	}
	d.baseline.merge(now, router, counts{int(m.Trials), int(m.Failures)}, failuresAt)
	d.plain.merge(now, router, counts{int(m.PlainTrials), int(m.PlainFailures)}, failuresAt)
}

// SetCounts sets this router's counts of requests and of those that failed in a message.
func (d *Detector) SetCounts(now time.Time, m *pb.Quarantine) {
	shared, plain := d.baseline.own(now), d.plain.own(now)
	m.Trials, m.Failures = uint32(shared.trials), uint32(shared.failures)
	m.PlainTrials, m.PlainFailures = uint32(plain.trials), uint32(plain.failures)
	failuresAt := make(map[uint64]int)
	for _, w := range []window{d.baseline.current, d.baseline.previous, d.plain.current, d.plain.previous} {
		for target, n := range w.failuresAt {
			failuresAt[target] += n
		}
	}
	targets := slices.SortedFunc(maps.Keys(failuresAt), func(x, y uint64) int {
		return cmp.Or(cmp.Compare(failuresAt[y], failuresAt[x]), cmp.Compare(x, y))
	})
	for _, target := range targets[:min(len(targets), maxSentTargets)] {
		m.FailedTargets = append(m.FailedTargets, target)
		m.FailuresAtTargets = append(m.FailuresAtTargets, uint32(failuresAt[target]))
	}
}

func validRecord(m *pb.PartRecord) bool {
	return m.GetPart() != "" && len(m.Part) <= maxPartBytes &&
		len(m.CrashedTargets) == len(m.CrashAgesMs) && len(m.CrashedTargets) == len(m.SentAgesMs) && len(m.CrashedTargets) <= maxCrashes &&
		(len(m.CrashedRequests) == 0 || len(m.CrashedRequests) == len(m.CrashedTargets)) &&
		len(m.GetHold().GetRouter()) <= maxRouterBytes
}

func (r *record) mergeCrashes(now time.Time, m *pb.PartRecord) (changed bool) {
	for i, target := range m.CrashedTargets {
		c := crash{target: target, sent: timeAt(now, &m.SentAgesMs[i]), at: timeAt(now, &m.CrashAgesMs[i]), request: noRequest}
		if len(m.CrashedRequests) > 0 {
			c.request = m.CrashedRequests[i]
		}
		added := r.addCrash(c)
		changed = changed || added
	}
	return changed
}

// mergeHold keeps the hold that was renewed last.
func (r *record) mergeHold(now time.Time, m *pb.PartHold) (changed bool) {
	renewed := now.Add(-milliseconds(m.GetRenewedAgeMs()))
	if m.GetStrikes() == 0 || renewed.Sub(r.hold.renewed) <= sameTime {
		return false
	}
	r.hold = hold{
		since:   now.Add(-milliseconds(m.SinceAgeMs)),
		renewed: renewed,
		until:   now.Add(min(maxHold, milliseconds(m.LeftMs))),
		strikes: m.Strikes,
		by:      m.Router,
	}
	return true
}

// mergeAnswer keeps the last answer, of those that the message names and that this router
// saw itself. It reports a change if the answer refutes evidence.
func (r *record) mergeAnswer(now time.Time, m *pb.PartRecord, local time.Time) (changed bool) {
	answered := timeAt(now, m.AnsweredAgeMs)
	if local.After(answered) {
		answered = local
	}
	if answered.Sub(r.lastAnswered) <= sameTime {
		return false
	}
	first, counted, held := r.lastAnswered.IsZero(), r.counted(nil), r.held()
	r.lastAnswered = answered
	if r.counted(nil) == 0 {
		r.failureRate = 0
	}
	return first || r.counted(nil) != counted || r.held() != held
}

// timeAt returns the time of an age, zero if there is none.
func timeAt(now time.Time, ageMs *uint32) time.Time {
	if ageMs == nil {
		return time.Time{}
	}
	return now.Add(-milliseconds(*ageMs))
}

func milliseconds(n uint32) time.Duration {
	return min(time.Duration(n)*time.Millisecond, maxAge)
}
