// Package errs attaches to an error the step at which it arose and the peer it
// concerns, so that logs and answers can name both.
package errs

import (
	"errors"

	"github.com/ansel1/merry/v2"
)

type key int

const (
	stepKey key = iota
	peerKey
)

// New makes an error that carries step and peer; peer may be empty.
func New(step, peer, message string) error {
	return merry.Wrap(errors.New(message), merry.WithValue(stepKey, step), merry.WithValue(peerKey, peer), merry.NoCaptureStack())
}

// Wrap adds step and peer to err; it returns nil for nil. A step or peer that
// err already carries stays, since the innermost one is where it arose.
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

// Step returns the step that err carries, or "".
func Step(err error) string {
	s, _ := merry.Value(err, stepKey).(string)
	return s
}

// Peer returns the peer that err carries, or "".
func Peer(err error) string {
	s, _ := merry.Value(err, peerKey).(string)
	return s
}
