package scheduler

import (
	"fmt"

	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/pool"
)

const (
	// growGroupsAbove and shrinkGroupsBelow are mean numbers of engines in a
	// group at which the number of groups doubles and halves.
	growGroupsAbove   = 64
	shrinkGroupsBelow = 24
	// maxGroups bounds the groups of the fleet.
	maxGroups = 4096
)

// layout says which targets form which group. The engines of the fleet are
// spread over as few groups as their number allows, since the load bound is
// exact within a group; each service is a group of its own.
type layout struct {
	// groupsByLane lists the groups that serve a model or service.
	groupsByLane map[string][]string
	// targetsByGroup are those of each group.
	targetsByGroup map[string][]*pb.TargetStatus
	groupOf        map[string]string
	engineGroups   int
}

// newLayout arranges targets, which are sorted by id; before is the number of
// groups of engines so far.
func newLayout(targets []*pb.TargetStatus, before int) *layout {
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
	l.engineGroups = groupCount(engines, before)
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

// groupCount is the number of groups for n engines, a power of two. It changes
// only when the groups have become clearly too large or too small.
func groupCount(n, before int) int {
	count := max(before, 1)
	for n > growGroupsAbove*count && count < maxGroups/2 {
		count *= 2
	}
	for count > 1 && n < shrinkGroupsBelow*count {
		count /= 2
	}
	return count
}

// group returns the group that serves a request, "" if there is none. A chat
// keeps its group while the groups stay.
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
