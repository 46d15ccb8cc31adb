package errs

import (
	"errors"
	"io"
	"testing"
)

func TestWrapKeepsInnermost(t *testing.T) {
	err := Wrap(Wrap(io.EOF, "dial", "127.0.0.1:1"), "forward", "127.0.0.1:2")
	if Step(err) != "dial" || Peer(err) != "127.0.0.1:1" {
		t.Fatalf("step %q, peer %q", Step(err), Peer(err))
	}
	if !errors.Is(err, io.EOF) {
		t.Fatal("errors.Is does not find the wrapped error")
	}
	if Wrap(nil, "dial", "") != nil {
		t.Fatal("Wrap of nil returned an error")
	}
}
