package replica

import (
	"net"
	"runtime"
	"testing"
	"time"
)

// fatalRecorder is a testing.TB whose Fatal is recorded instead of failing the test.
type fatalRecorder struct {
	testing.TB
	fatal bool
}

func (f *fatalRecorder) Helper() {}

func (f *fatalRecorder) Fatal(...any) {
	f.fatal = true
	runtime.Goexit()
}

// TestInstanceOnTakenAddress guards against a test that hangs until the time limit of the
// package when the address of one of its instances is in use, which hides the reason.
func TestInstanceOnTakenAddress(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	addr := l.Addr().String()
	recorder := &fatalRecorder{TB: t}
	in := &instance{t: recorder, addr: addr, dir: t.TempDir(), founders: []string{addr}}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer in.stop()
		in.start()
	}()
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("the instance does not stop after its start has failed")
	}
	if !recorder.fatal {
		t.Fatal("the instance starts although its address is in use")
	}
}
