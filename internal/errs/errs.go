// Package errs attaches to an error the processing step at which the error occurred and
// the peer that it concerns, so that logs and responses can name both. Wrapped errors
// still work with errors.Is and errors.As. The package captures no stack traces.
package errs

import (
	"errors"

	"github.com/ansel1/merry/v2"
)

// key is the type of the keys under which merry stores the values.
type key int

const (
	stepKey key = iota
	peerKey
)

// New returns an error with message, step and peer. The peer may be empty.
func New(step, peer, message string) error {
	return merry.Wrap(errors.New(message), merry.WithValue(stepKey, step), merry.WithValue(peerKey, peer), merry.NoCaptureStack())
}

// Wrap adds step and peer to err, or returns nil if err is nil. It keeps a step or
// peer that err already has, since the innermost one names where the error
// occurred.
func Wrap(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	opts := []merry.Wrapper{merry.NoCaptureStack()}
	if Step(err) == "" {
		opts = append(opts, merry.WithValue(stepKey, step))
	}
	if Peer(err) == "" {
		opts = append(opts, merry.WithValue(peerKey, peer))
	}
	return merry.Wrap(err, opts...)
}

// Step returns the step attached to err, or "".
func Step(err error) string {
	s, _ := merry.Value(err, stepKey).(string)
	return s
}

// Peer returns the peer attached to err, or "".
func Peer(err error) string {
	s, _ := merry.Value(err, peerKey).(string)
	return s
}
