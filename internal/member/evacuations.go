package member

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// SetEvacuations announces the revision of the evacuations at this router. It travels in
// this router's own messages and is not queued as a gossip update: all routers announce a
// new revision at the same time, and one update per router would delay all other updates.
// A revision that is not higher than the announced one is ignored.
func (m *Members) SetEvacuations(revision uint64) {
	m.do(func(c *core, _ time.Time) { c.setEvacuations(revision) })
}

func (c *core) setEvacuations(revision uint64) {
	if revision <= c.self.status.Evacuations {
		return
	}
	c.self.status = withEvacuations(c.self.status, revision)
	c.routerChanges++
}

// recordEvacuations records the revision in a message for the router that sent the message.
func (c *core) recordEvacuations(id string, revision uint64) {
	e := c.routers[id]
	if e == nil || e.state == dead || revision <= e.status.Evacuations {
		return
	}
	e.status = withEvacuations(e.status, revision)
	c.routerChanges++
}

// withEvacuations returns a copy of the status with the given revision. The original is not
// modified, because readers may hold it.
func withEvacuations(status *pb.RouterStatus, revision uint64) *pb.RouterStatus {
	next := proto.CloneOf(status)
	next.Evacuations = revision
	return next
}
