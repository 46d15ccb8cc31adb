package member

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// newsFactor times the binary logarithm of the fleet's size is how often
	// a router passes on one piece of news.
	newsFactor = 1
	// maxNewsBytes is the size after which no more news is added.
	maxNewsBytes = 600
	// deltaOverheadBytes are the tag and length of one delta.
	deltaOverheadBytes = 3
)

func (c *core) newsLimit() int {
	return newsFactor * int(math.Ceil(math.Log2(float64(len(c.routers)+2))))
}

// sendWithNews sends m with as much news as fits. News waits while the budget
// is short, except that a target leaves, which goes out in the drain class.
func (c *core) sendWithNews(now time.Time, to string, class budget.Class, m *pb.Gossip) bool {
	base := proto.Size(m) + headerBytes + packetOverheadBytes
	routers, targets := len(m.Routers), len(m.Targets)
	picked, urgent := c.addNews(m)
	withNews := max(class, budget.Load)
	if urgent {
		withNews = budget.Drain
	}
	if len(picked) > 0 && c.send(now, to, withNews, m) {
		c.news.passed(picked, c.newsLimit())
		c.pace.sent(base)
		return true
	}
	m.Routers, m.Targets = m.Routers[:routers], m.Targets[:targets]
	if c.send(now, to, class, m) {
		c.pace.sent(base)
		return true
	}
	return false
}

// addNews fills m with news, the least passed on first. One item may take more
// than maxNewsBytes, so that large statuses pass too.
func (c *core) addNews(m *pb.Gossip) (picked []*newsItem, urgent bool) {
	if len(c.news.items) == 0 {
		return nil, false
	}
	room := maxMessageBytes - proto.Size(m)
	added := 0
	for _, item := range c.news.ordered() {
		if added >= maxNewsBytes {
			break
		}
		size, leaving := c.addItem(m, item, room-added)
		if size == 0 {
			continue
		}
		added += size
		picked = append(picked, item)
		urgent = urgent || leaving
	}
	return picked, urgent
}

// addItem adds one piece of news if it fits; it returns the bytes it takes.
func (c *core) addItem(m *pb.Gossip, item *newsItem, room int) (size int, leaving bool) {
	if item.key.kind == targetNews {
		return c.addTargetNews(m, item.key, room)
	}
	return c.addRouterNews(m, item.key, room), false
}

func (c *core) addTargetNews(m *pb.Gossip, key newsKey, room int) (size int, leaving bool) {
	d := c.targetDelta(key.id)
	if d == nil {
		c.news.drop(key)
		return 0, false
	}
	size = proto.Size(d) + deltaOverheadBytes
	if size > room {
		return 0, false
	}
	m.Targets = append(m.Targets, d)
	return size, d.Status.Leaving
}

func (c *core) addRouterNews(m *pb.Gossip, key newsKey, room int) (size int) {
	e := c.routers[key.id]
	if key.id == c.self.status.Id {
		e = c.self
	}
	if e == nil {
		c.news.drop(key)
		return 0
	}
	d := e.delta()
	size = proto.Size(d) + deltaOverheadBytes
	if size > room {
		return 0
	}
	m.Routers = append(m.Routers, d)
	return size
}
