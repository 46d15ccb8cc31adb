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

// layout is the assignment of targets to groups. The load bound is exact only
// within a group, so the engines of the fleet form as few groups as their number
// permits. Each service is a group of its own.
type layout struct {
	// groupsByLane holds the names of the groups that serve a model or service,
	// by lane name, see pool.LaneName.
	groupsByLane map[string][]string
	// targetsByGroup holds the targets of each group.
	targetsByGroup map[string][]*pb.TargetStatus
	// groupOf holds the name of the group of each target.
	groupOf map[string]string
	// engineGroups is the number of groups of engines.
	engineGroups int
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

// groupCount returns the number of groups for n engines, a power of two. The number
// differs from the previous one only if the mean number of engines in a group is
// outside the range from shrinkGroupsBelow to growGroupsAbove.
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

// group returns the group that serves a request, or "" if no group serves the model
// or service. Rendezvous hashing of the chat selects the group, so that a chat
// keeps its group while the set of groups does not change. For a request without a
// chat, the request id takes the place of the chat.
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
