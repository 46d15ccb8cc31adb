package instance

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/member"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// BenchmarkFirstHeartbeats measures the cost of heartbeats at a replica right after the start
// of a fleet. Each heartbeat then announces a target that the replica doesn't know, and the
// reply names a router.
func BenchmarkFirstHeartbeats(b *testing.B) {
	for _, targets := range []int{300, 1000, 3000} {
		b.Run(fmt.Sprint("targets=", targets), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				conn, err := net.ListenPacket("udp", "127.0.0.1:0")
				if err != nil {
					b.Fatal(err)
				}
				members, err := member.Start(member.Config{
					Self:   &pb.RouterStatus{Id: "replica", Incarnation: 1, PeerAddr: conn.LocalAddr().String()},
					Conn:   conn,
					Token:  "secret",
					Budget: budget.New(budget.Config{}),
					Logger: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}},
				})
				if err != nil {
					b.Fatal(err)
				}
				b.StartTimer()
				for i := range targets {
					err := members.Announce(&pb.TargetStatus{
						Id: fmt.Sprint("target-", i), Kind: pb.TargetKind_TARGET_KIND_SERVICE, Addr: "10.0.0.1:80", Incarnation: 1, Sequence: 1, Service: "s",
					}, time.Now())
					if err != nil {
						b.Fatal(err)
					}
					pickHeartbeatRouter(members.Routers(), "dc", rand.IntN)
				}
				b.StopTimer()
				members.Close()
				b.StartTimer()
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*targets), "us/heartbeat")
		})
	}
}
