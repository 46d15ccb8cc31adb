package fleet

import (
	"sync"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// maxConcurrentCalls bounds the routers that ForEach works on at the same time.
const maxConcurrentCalls = 32

// ForEach runs fn once for each router, several at a time, and returns when all
// have ended. The first argument of fn is the router's index.
func ForEach(routers []*pb.RouterStatus, fn func(i int, r *pb.RouterStatus)) {
	slots := make(chan struct{}, maxConcurrentCalls)
	var calls sync.WaitGroup
	for i, r := range routers {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			fn(i, r)
		})
	}
	calls.Wait()
}
