package filter

import (
	"bytes"
	"io"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/balance"
)

const (
	// maxFailureBytes bounds the body of a failure that is kept while other targets are tried.
	maxFailureBytes = 16 << 10
	// failureReadTime bounds the time to read that body: targets send it with the header, and
	// the next try waits for it.
	failureReadTime = 50 * time.Millisecond
)

// failure is the answer of a target that failed a request. It is kept while other targets are
// tried, since they may have no place for the request, decline it or break off. The zero value
// holds none.
type failure struct {
	answer *Answer
	choice balance.Choice
	grant  *Grant
}

// keepFailure keeps the answer of the current try in place of an earlier one. The whole body is
// read first, so that the target is done with the request and nothing can be lost any more. An
// answer that is too long or too slow is discarded.
func (d *dispatch) keepFailure() {
	a := d.x.Answer
	defer d.dropAnswer()
	if !a.Framed && a.Length < 0 || a.Length > maxFailureBytes {
		return
	}
	limit := time.AfterFunc(failureReadTime, func() { a.Body.Close() })
	body, err := io.ReadAll(io.LimitReader(a.Body, maxFailureBytes+1))
	if !limit.Stop() || err != nil || len(body) > maxFailureBytes {
		return
	}
	kept := *a
	kept.Body = io.NopCloser(bytes.NewReader(body))
	d.failure = failure{answer: &kept, choice: d.choice, grant: d.x.Grant}
}

// answerWithFailure makes the failure that was kept the answer, after the further tries have
// brought none. It returns false if there is no failure.
func (d *dispatch) answerWithFailure() bool {
	f := d.failure
	if f.answer == nil {
		return false
	}
	d.failure = failure{}
	d.x.Answer, d.choice, d.x.Grant = f.answer, f.choice, f.grant
	d.x.AddReason(StepDispatch, f.choice.Target.Id, "no other target answers; the caller gets the failure of this one")
	return true
}
