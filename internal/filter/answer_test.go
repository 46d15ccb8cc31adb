package filter

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// TestAwaitBody guards against an answer that was begun although its body fails before the first
// byte, and against a first part or an end that AwaitBody has read and the reader loses.
func TestAwaitBody(t *testing.T) {
	errBroken := errors.New("broken")
	long := strings.Repeat("a", 3*firstReadBytes)
	for name, test := range map[string]struct {
		from  io.Reader
		await error
		want  string
		read  error
	}{
		"whole":                    {from: strings.NewReader("answer"), want: "answer"},
		"whole, end with data":     {from: iotest.DataErrReader(strings.NewReader("answer")), want: "answer"},
		"long":                     {from: strings.NewReader(long), want: long},
		"empty":                    {from: strings.NewReader("")},
		"fails before its body":    {from: iotest.ErrReader(errBroken), await: errBroken},
		"fails with its first":     {from: iotest.DataErrReader(io.MultiReader(strings.NewReader("ans"), iotest.ErrReader(errBroken))), want: "ans", read: errBroken},
		"fails in its second read": {from: io.MultiReader(strings.NewReader("ans"), iotest.ErrReader(errBroken)), want: "ans", read: errBroken},
	} {
		t.Run(name, func(t *testing.T) {
			a := &Answer{Body: io.NopCloser(test.from)}
			if err := a.AwaitBody(); !errors.Is(err, test.await) {
				t.Fatalf("AwaitBody: %v, want %v", err, test.await)
			}
			if test.await != nil {
				return
			}
			if err := a.AwaitBody(); err != nil {
				t.Errorf("AwaitBody again: %v", err)
			}
			got, err := io.ReadAll(a.Body)
			if !errors.Is(err, test.read) || err != nil && test.read == nil {
				t.Errorf("read: %v, want %v", err, test.read)
			}
			if string(got) != test.want {
				t.Errorf("read %d bytes, want %d", len(got), len(test.want))
			}
		})
	}
}
