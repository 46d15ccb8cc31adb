package fleet

import (
	"sync"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// maxConcurrentCalls is the maximum number of concurrent calls of the function
// passed to ForEach.
const maxConcurrentCalls = 32

// ForEach calls fn once for each router and returns when all calls have returned.
// At most maxConcurrentCalls run concurrently. The first argument of fn is the
// index of the router.
func ForEach(routers []*pb.RouterStatus, fn func(i int, r *pb.RouterStatus)) {
	semaphore := make(chan struct{}, maxConcurrentCalls)
	var calls sync.WaitGroup
	for i, r := range routers {
		semaphore <- struct{}{}
		calls.Go(func() {
			defer func() { <-semaphore }()
			fn(i, r)
		})
	}
	calls.Wait()
}
