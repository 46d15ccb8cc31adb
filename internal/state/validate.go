package state

import (
	"fmt"
	"math"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// validateChange checks what does not depend on the state of the machine. Like
// the other validate functions, it returns the reason for a rejection, or "" if
// the input is valid.
func validateChange(c *pb.ConfigChange) string {
	if reason := validateName("operation id", c.GetOperationId()); reason != "" {
		return reason
	}
	if reason := validateName("operator", c.Operator); reason != "" {
		return reason
	}
	if size := proto.Size(c); size > MaxObjectBytes {
		return fmt.Sprintf("the change has %d bytes, over the bound of %d", size, MaxObjectBytes)
	}
	switch o := c.Object.(type) {
	case *pb.ConfigChange_Contract:
		return validateContract(o.Contract)
	case *pb.ConfigChange_Intent:
		return validateIntent(o.Intent)
	}
	return "the change names no object"
}

func validateName(field, name string) string {
	switch {
	case name == "":
		return field + " is missing"
	case len(name) > MaxNameBytes:
		return fmt.Sprintf("%s has %d bytes, over the bound of %d", field, len(name), MaxNameBytes)
	case !utf8.ValidString(name):
		return field + " is not valid UTF-8"
	}
	return ""
}

func validateContract(k *pb.Contract) string {
	if reason := validateName("customer", k.GetCustomer()); reason != "" {
		return reason
	}
	if len(k.KeyHashes) > MaxKeysPerContract {
		return fmt.Sprintf("%d bearer keys are over the bound of %d", len(k.KeyHashes), MaxKeysPerContract)
	}
	for _, sum := range k.KeyHashes {
		if len(sum) != DigestBytes {
			return "a key hash is not a SHA-256 sum"
		}
	}
	l := k.Limits
	if !validRate(l.GetRequestsPerSecond()) || !validRate(l.GetTokensPerSecond()) {
		return "a limit is negative or not a number"
	}
	o := k.Objectives
	if !validShare(o.GetFirstTokenShare()) || !validShare(o.GetAnsweredShare()) || !validShare(o.GetNotRefusedShare()) {
		return "an objective's share is not between 0 and 1"
	}
	return ""
}

func validRate(v float64) bool  { return v >= 0 && !math.IsInf(v, 0) }
func validShare(v float64) bool { return v >= 0 && v <= 1 }

func validateIntent(i *pb.TargetIntent) string {
	if reason := validateName("target", i.GetTarget()); reason != "" {
		return reason
	}
	switch i.Desired {
	case pb.DesiredState_DESIRED_STATE_SERVE, pb.DesiredState_DESIRED_STATE_DRAIN, pb.DesiredState_DESIRED_STATE_STOP:
		return ""
	}
	return "the intent names no desired state"
}

// validClaimant reports whether the fields that identify a ledger key and its
// claimant are valid.
func validClaimant(customer, key, router string) bool {
	return validateName("customer", customer) == "" &&
		validateName("router", router) == "" &&
		key != "" && len(key) <= MaxIdempotencyKeyBytes
}
