package filter

import (
	"errors"
	"fmt"
)

// ErrInvariant marks a state that the chain must never reach. It ends the
// request and not the process: nothing was sent, and the other requests of the
// router are not concerned.
var ErrInvariant = errors.New("invariant violated")

// checkDispatch asserts, before a try is handed to the client of targets, that a
// non-idempotent request was not sent before and that one with a key is
// claimed.
func checkDispatch(x *Exchange) error {
	switch {
	case x.Grant == nil:
		return fmt.Errorf("%w: dispatch without a grant", ErrInvariant)
	case x.Idempotent:
		return nil
	case x.Token.Spent():
		return fmt.Errorf("%w: second dispatch of a non-idempotent request", ErrInvariant)
	case x.Key != "" && !x.claimed:
		return fmt.Errorf("%w: dispatch without a claim", ErrInvariant)
	}
	return nil
}
