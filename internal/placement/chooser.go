package placement

import "time"

// DefaultSpread is the default of Chooser.Spread.
const DefaultSpread = 4

// DefaultSlowStart is the default of Chooser.Takeover.
const DefaultSlowStart = 10 * time.Minute

// Engine is the state of one eligible engine as known to the router that selects.
type Engine struct {
	ID string
	// Hash is HashEngine(ID).
	Hash        EngineHash
	Incarnation uint64
	// InFlight counts the requests in flight at the engine.
	InFlight int
	// Excess counts requests that the engine may have in flight in addition to
	// InFlight, such as those that another router admitted. They count against the load
	// bound, but do not raise the mean.
	Excess int
	// Capacity is the number of requests that the engine may have in flight. At this
	// number the engine is full and is not selected.
	Capacity int
	// Blocked is set if the engine counts in the mean but must not be selected.
	Blocked bool
	// Joined is the time at which the engine was first seen, the begin of its slow
	// start. It is zero for an engine without a slow start.
	Joined time.Time
}

// Reason is the reason for which an engine was selected. Routers send each other the
// values as numbers, so the values must not change.
type Reason int

// Reasons for a selection.
const (
	// ReasonCached: according to the directory the engine has the chat's prefix
	// cached.
	ReasonCached Reason = iota + 1
	// ReasonTopScore: the engine is the least loaded one of the engines with the
	// highest rendezvous scores, and none was passed over by score. LeastLoaded also
	// returns this reason for the least loaded engine, although there the score only
	// breaks ties.
	ReasonTopScore
	// ReasonOverflow: the engine was selected by its rendezvous score, and an engine
	// was passed over because it is at the load bound, full or blocked; or only engines
	// in slow start have capacity.
	ReasonOverflow
)

// String returns a text for log lines and explanations. The text of ReasonOverflow names
// the load bound only; the reason has the further causes given there.
func (r Reason) String() string {
	switch r {
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
	// PassedOver is the index of an engine that would have been preferred but is at
	// the bound, full or blocked: the most recent holder of the prefix in the directory,
	// or else the engine with the highest rendezvous score. It is -1 if there is none.
	PassedOver int
}

// Chooser selects engines for chats. It is not safe for concurrent use.
type Chooser struct {
	// Factor is the factor of the load bound, see LoadLimit.
	Factor float64
	// Spread is the number of engines with the highest scores for a chat from which
	// the least loaded one is selected, if no engine with capacity is known to have the
	// chat's prefix cached (power of d choices).
	Spread int
	// SlowStart is the slow-start period of a joining engine. In this period, the share
	// of chats for which the engine can be selected by score grows linearly from none to
	// all. Chats whose prefix is known to be cached by an engine with capacity are not
	// affected.
	SlowStart time.Duration
	// Directory may be nil; then engines are selected by rendezvous score alone.
	Directory *Directory

	// best holds the highest scoring engines of a selection. It is reused to avoid
	// allocations.
	best []scored
}

// Choose selects one of the engines for a chat. An engine is passed over if one more
// request would exceed its capacity or the load bound over all given engines.
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

// LeastLoaded selects the engine with the fewest requests in flight, of those that have
// capacity for one more. Of engines with equal numbers, the one with the highest score
// for k is selected. The directory and the slow start are not taken into account.
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

// lessLoaded reports whether a precedes b in the order of LeastLoaded.
func lessLoaded(k Key, a, b *Engine) bool {
	if a.InFlight != b.InFlight {
		return a.InFlight < b.InFlight
	}
	return score(k, a.Hash) > score(k, b.Hash)
}

// loadLimit returns the load bound for one more request on the engines.
func (c *Chooser) loadLimit(engines []Engine) int {
	total := 1
	for i := range engines {
		total += engines[i].InFlight
	}
	return LoadLimit(c.Factor, total, len(engines))
}

// hasCapacity reports whether the engine may receive one more request under the load
// bound limit.
func hasCapacity(e *Engine, limit int) bool {
	return !e.Blocked && e.InFlight+e.Excess < limit && e.InFlight < e.Capacity
}

// findCacheHolder returns the indexes of two engines that have the chat's prefix cached
// according to the directory and still run in the incarnation that cached it: the most
// recent holder with capacity, and the most recent holder before it without capacity.
// Each index is -1 if there is none.
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
// capacity. A joining engine participates for a growing share of the chats; for the other
// chats it is selected only if no participating engine has capacity.
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

// insertBest inserts an engine into best, which holds the limit engines with the highest
// scores in descending order.
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

// participates reports whether an engine takes part in the selection for the chat for
// which its score is s. A joining engine takes part for a share of the chats that grows
// linearly with the time since it joined. A hash of the score decides, so that this share
// does not depend on whether the score is high or low.
func (c *Chooser) participates(now time.Time, e *Engine, s uint64) bool {
	if c.SlowStart <= 0 || e.Joined.IsZero() {
		return true
	}
	age := now.Sub(e.Joined)
	if age >= c.SlowStart {
		return true
	}
	share := float64(age) / float64(c.SlowStart)
	return float64(mix(s)>>11)/(1<<53) < share
}
