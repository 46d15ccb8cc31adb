package scheduler

import (
	"fmt"

	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/pool"
)

const (
	// growGroupsAbove and shrinkGroupsBelow are the mean numbers of engines per
	// group above and below which the number of groups doubles or halves. The
	// gap between them is a hysteresis.
	growGroupsAbove   = 64
	shrinkGroupsBelow = 24
	// maxGroups bounds the number of target groups.
	maxGroups = 4096
)

// layout is the assignment of targets to groups. The engines of the fleet are
// spread over as few groups as their number permits, since the load bound is
// exact only within a group. Each service is a separate group.
type layout struct {
	// groupsByLane lists the groups that serve a model or service.
	groupsByLane map[string][]string
	// targetsByGroup lists the targets of each group.
	targetsByGroup map[string][]*pb.TargetStatus
	groupOf        map[string]string
	engineGroups   int
}

// newLayout assigns targets, which must be sorted by id, to groups. previous is
// the number of engine groups in the previous layout.
func newLayout(targets []*pb.TargetStatus, previous int) *layout {
	l := &layout{
		groupsByLane:   make(map[string][]string),
		targetsByGroup: make(map[string][]*pb.TargetStatus),
		groupOf:        make(map[string]string),
	}
	engines := 0
	for _, t := range targets {
		if t.Service == "" {
			engines++
		}
	}
	l.engineGroups = groupCount(engines, previous)
	names := make([]string, l.engineGroups)
	for i := range names {
		names[i] = fmt.Sprintf("engines/%d", i)
	}
	seen := make(map[[2]string]bool)
	for _, t := range targets {
		l.add(t, groupName(t, names), seen)
	}
	return l
}

func (l *layout) add(t *pb.TargetStatus, group string, seen map[[2]string]bool) {
	l.groupOf[t.Id] = group
	l.targetsByGroup[group] = append(l.targetsByGroup[group], t)
	for _, lane := range pool.Lanes(t.Models, t.Service) {
		if key := [2]string{lane, group}; !seen[key] {
			seen[key] = true
			l.groupsByLane[lane] = append(l.groupsByLane[lane], group)
		}
	}
}

func groupName(t *pb.TargetStatus, engineGroups []string) string {
	if t.Service != "" {
		return "service/" + t.Service
	}
	return fleet.Owner(t.Id, engineGroups)
}

// groupCount returns the number of groups for n engines, a power of two. It
// differs from the previous number only if the mean group size has left the range
// from shrinkGroupsBelow to growGroupsAbove.
func groupCount(n, previous int) int {
	count := max(previous, 1)
	for n > growGroupsAbove*count && count < maxGroups/2 {
		count *= 2
	}
	for count > 1 && n < shrinkGroupsBelow*count {
		count /= 2
	}
	return count
}

// group returns the group that serves a request, or "" if there is none. A chat
// keeps its group while the set of groups does not change.
func (l *layout) group(d filter.Demand) string {
	groups := l.groupsByLane[pool.LaneName(d.Model, d.Service)]
	if len(groups) == 0 {
		return ""
	}
	key := d.Chat
	if key == "" {
		key = d.RequestID
	}
	return fleet.Owner(key, groups)
}
