package placement

import "time"

// DefaultSpread is the default of Chooser.Spread.
const DefaultSpread = 4

// DefaultTakeover is the default of Chooser.Takeover.
const DefaultTakeover = 10 * time.Minute

// Engine is the state of one eligible engine as known to the router that selects.
type Engine struct {
	ID          string
	Hash        EngineHash
	Incarnation uint64
	// InFlight counts the requests in flight at the engine.
	InFlight int
	// Excess counts further requests that the engine may have in flight. They count
	// against the load bound, but do not raise the mean.
	Excess int
	// Capacity is the number of requests in flight up to which the chooser adds
	// another one.
	Capacity int
	// Blocked engines count in the mean but are never selected.
	Blocked bool
	// Joined is when the engine was first seen; zero if that was long ago.
	Joined time.Time
}

// Reason is why an engine was selected. Its value is sent in messages as a number.
type Reason int

// Reasons for a selection.
const (
	// ReasonCached: according to the directory the engine has the chat's prefix
	// cached.
	ReasonCached Reason = iota + 1
	// ReasonTopScore: the engine was selected by its rendezvous score.
	ReasonTopScore
	// ReasonOverflow: engines that are preferred are at the load bound or full.
	ReasonOverflow
)

// String returns the reason in words.
func (w Reason) String() string {
	switch w {
	case ReasonCached:
		return "holds the chat's prefix"
	case ReasonTopScore:
		return "highest rendezvous score"
	case ReasonOverflow:
		return "the engines before it are at the load bound"
	default:
		return "none"
	}
}

// Choice is the result of a selection.
type Choice struct {
	// Index is the position of the selected engine in the list; -1 if every engine is
	// at the bound or full.
	Index  int
	Reason Reason
	// Limit is the load bound that was applied, in requests in flight.
	Limit int
	// PassedOver is the index of the preferred engine that was not selected because it
	// is at the bound or full; -1 if there is none.
	PassedOver int
}

// Chooser selects engines for chats. It is not safe for concurrent use.
type Chooser struct {
	// Factor is the factor of the load bound, see LoadLimit.
	Factor float64
	// Spread is the number of a chat's highest scoring engines of which the least
	// loaded one is selected, if no engine with free capacity is known to have the
	// chat's prefix cached (power of d choices).
	Spread int
	// Takeover is the slow start of a joining engine: the time over which its share of
	// the chats for which it scores highest, and whose prefix no engine is known to
	// have cached, grows from zero to all.
	Takeover time.Duration
	// Directory may be nil; then engines are selected by rendezvous score alone.
	Directory *Directory

	// best is reused between selections to avoid allocations.
	best []scored
}

// Choose selects one of the engines, all of which are eligible, for a chat. An engine
// is passed over if one more request would exceed its capacity or the load bound over
// the engines.
func (c *Chooser) Choose(now time.Time, k Key, engines []Engine) Choice {
	limit := c.loadLimit(engines)
	i, passedOver := c.findCacheHolder(k, engines, limit)
	if i >= 0 {
		return Choice{Index: i, Reason: ReasonCached, Limit: limit, PassedOver: passedOver}
	}
	choice := c.chooseByScore(now, k, engines, limit)
	choice.Limit = limit
	if passedOver >= 0 {
		choice.PassedOver = passedOver
	}
	return choice
}

// LeastLoaded returns the engine with the fewest requests in flight that has capacity
// for one more, the one with the highest score among equals.
func (c *Chooser) LeastLoaded(k Key, engines []Engine) Choice {
	limit := c.loadLimit(engines)
	best := -1
	for i := range engines {
		e := &engines[i]
		if !hasCapacity(e, limit) {
			continue
		}
		if best < 0 || lessLoaded(k, e, &engines[best]) {
			best = i
		}
	}
	if best < 0 {
		return Choice{Index: -1, Limit: limit, PassedOver: -1}
	}
	return Choice{Index: best, Reason: ReasonTopScore, Limit: limit, PassedOver: -1}
}

func lessLoaded(k Key, a, b *Engine) bool {
	if a.InFlight != b.InFlight {
		return a.InFlight < b.InFlight
	}
	return score(k, a.Hash) > score(k, b.Hash)
}

func (c *Chooser) loadLimit(engines []Engine) int {
	total := 1
	for i := range engines {
		total += engines[i].InFlight
	}
	return LoadLimit(c.Factor, total, len(engines))
}

// hasCapacity reports whether the engine may receive one more request.
func hasCapacity(e *Engine, limit int) bool {
	return !e.Blocked && e.InFlight+e.Excess < limit && e.InFlight < e.Capacity
}

// findCacheHolder returns the first holder in the directory that is eligible, has
// capacity and still runs in the incarnation that cached the prefix, and the first
// such holder without capacity; each is -1 if there is none.
func (c *Chooser) findCacheHolder(k Key, engines []Engine, limit int) (holder, passedOver int) {
	passedOver = -1
	if c.Directory == nil || k == 0 {
		return -1, passedOver
	}
	for _, h := range c.Directory.Holders(k) {
		if h.Engine == "" {
			continue
		}
		for i := range engines {
			e := &engines[i]
			if e.ID != h.Engine || e.Incarnation != h.Incarnation {
				continue
			}
			if hasCapacity(e, limit) {
				return i, passedOver
			}
			if passedOver < 0 {
				passedOver = i
			}
		}
	}
	return -1, passedOver
}

// chooseByScore selects the least loaded of the Spread highest scoring engines with
// capacity. A joining engine participates for a growing share of the chats; for the
// other chats it is selected only if no other engine has capacity.
func (c *Chooser) chooseByScore(now time.Time, k Key, engines []Engine, limit int) Choice {
	c.best = c.best[:0]
	spread := max(c.Spread, 1)
	passedOver, passedScore := -1, uint64(0)
	fallback, fallbackScore := -1, uint64(0)
	for i := range engines {
		e := &engines[i]
		s := score(k, e.Hash)
		if !c.participates(now, e, s) {
			if hasCapacity(e, limit) && (fallback < 0 || s > fallbackScore) {
				fallback, fallbackScore = i, s
			}
			continue
		}
		if !hasCapacity(e, limit) {
			if passedOver < 0 || s > passedScore {
				passedOver, passedScore = i, s
			}
			continue
		}
		c.insertBest(scored{index: i, score: s}, spread)
	}
	if len(c.best) == 0 {
		return Choice{Index: fallback, Reason: ReasonOverflow, PassedOver: passedOver}
	}
	chosen := c.best[0]
	for _, other := range c.best[1:] {
		if engines[other.index].InFlight < engines[chosen.index].InFlight {
			chosen = other
		}
	}
	reason := ReasonTopScore
	if passedOver >= 0 {
		reason = ReasonOverflow
	}
	return Choice{Index: chosen.index, Reason: reason, PassedOver: passedOver}
}

// scored is an engine with its score for a chat.
type scored struct {
	index int
	score uint64
}

// insertBest inserts an engine into best, which holds at most limit engines in
// descending order of score.
func (c *Chooser) insertBest(s scored, limit int) {
	if len(c.best) == limit && s.score <= c.best[limit-1].score {
		return
	}
	if len(c.best) < limit {
		c.best = append(c.best, s)
	} else {
		c.best[limit-1] = s
	}
	for i := len(c.best) - 1; i > 0 && c.best[i].score > c.best[i-1].score; i-- {
		c.best[i], c.best[i-1] = c.best[i-1], c.best[i]
	}
}

// participates reports whether an engine can be selected for the chat with score s.
// The share of chats for which a joining engine participates grows linearly with the
// time since it joined.
func (c *Chooser) participates(now time.Time, e *Engine, s uint64) bool {
	if c.Takeover <= 0 || e.Joined.IsZero() {
		return true
	}
	age := now.Sub(e.Joined)
	if age >= c.Takeover {
		return true
	}
	share := float64(age) / float64(c.Takeover)
	return float64(mix(s)>>11)/(1<<53) < share
}
