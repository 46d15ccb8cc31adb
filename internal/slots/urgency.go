package slots

import "time"

// goalTTL is how long a latency objective counts after the last request that had it.
const goalTTL = 5 * time.Second

// urgentGoals holds, by priority, the latency objectives of a service's recent requests.
type urgentGoals map[int]recentGoal

type recentGoal struct {
	goal time.Duration
	at   time.Time
}

// recordGoal records the latency objective of a request. Of the objectives of one priority,
// the shortest is kept. Overdue requests are admitted to a short queue whatever their
// objective.
func (a *Admitter) recordGoal(now time.Time, r Request) {
	if r.Goal == 0 || r.Overdue {
		return
	}
	goals := a.goals[r.Service]
	if goals == nil {
		goals = make(urgentGoals)
		a.goals[r.Service] = goals
	}
	known, ok := goals[r.Priority]
	if !ok || now.Sub(known.at) >= goalTTL || r.Goal <= known.goal {
		goals[r.Priority] = recentGoal{goal: r.Goal, at: now}
	}
}

// urgentGoal returns the latency objective by which a request is admitted: its own, or the
// shortest one of the more urgent requests of its service. Otherwise a less urgent request
// with a longer objective would fill the queue in which the more urgent ones no longer meet
// theirs, and these would be rejected first.
func (a *Admitter) urgentGoal(now time.Time, r Request) time.Duration {
	goal := r.Goal
	for priority, known := range a.goals[r.Service] {
		if now.Sub(known.at) >= goalTTL {
			delete(a.goals[r.Service], priority)
			continue
		}
		if priority < r.Priority {
			goal = min(goal, known.goal)
		}
	}
	return goal
}
