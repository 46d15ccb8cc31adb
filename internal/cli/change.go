package cli

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/admin"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	defaultChangeWait = 10 * time.Second
	// operationIDBytes is the length of the prefix of the content hash that
	// serves as operation id.
	operationIDBytes = 16
)

// changeFlags holds the flags of commands that change the configuration.
type changeFlags struct {
	operationID string
	operator    string
	wait        time.Duration
}

func (f *changeFlags) addFlags(cmd *cobra.Command) {
	fs := cmd.Flags()
	fs.StringVar(&f.operationID, "operation-id", "", "id of this operation; by default the id is derived from the content of the change, so that a repeated command is the same operation")
	fs.StringVar(&f.operator, "operator", defaultOperatorName(), "name recorded in the history as the author of the change")
	fs.DurationVar(&f.wait, "wait", defaultChangeWait, "how long to wait until the change is in force on all routers; 0 does not wait")
}

// submit sends one change and prints the reply. The exit code is ExitOK for a change
// that is in force on all routers (or accepted, if f.wait is 0), ExitNotInForce for a
// change that is accepted but not yet in force, and ExitConflict or ExitUsage for a
// rejected change.
func (f *changeFlags) submit(cmd *cobra.Command, o *operatorFlags, change *pb.ConfigChange) error {
	change.Operator = f.operator
	change.OperationId = f.operationID
	if change.OperationId == "" {
		change.OperationId = contentID(change)
	}
	o.timeout = max(o.timeout, f.wait+defaultOperatorTimeout)
	ctx, cancel, client, err := o.client(cmd)
	if err != nil {
		return err
	}
	defer cancel()
	answer := &pb.ChangeAnswer{}
	query := url.Values{"wait_ms": {strconv.FormatInt(f.wait.Milliseconds(), 10)}}
	err = client.Post(ctx, "/admin/v1/changes", query, change, answer)
	var statusErr *admin.StatusError
	if errors.As(err, &statusErr) && protojson.Unmarshal(statusErr.Raw, answer) == nil && answer.Result != nil {
		return rejectedChangeError(answer.Result)
	}
	if err != nil {
		return adminCallError(err)
	}
	if err := o.print(cmd.OutOrStdout(), answer, func(w io.Writer) { writeChangeRow(w, change, answer) }); err != nil {
		return err
	}
	if f.wait > 0 && !answer.InForce {
		return withExitCode(ExitNotInForce, fmt.Errorf("accepted as revision %d, but not yet in force at %v", answer.Result.Revision, answer.Waiting))
	}
	return nil
}

// contentID derives an operation id from the content of a change, which includes the
// operator and the replaced revision. It returns "" if the change cannot be encoded.
func contentID(change *pb.ConfigChange) string {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(change)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(data)
	return "content-" + hex.EncodeToString(sum[:operationIDBytes])
}

// objectName returns the kind and the name of the object that a change replaces.
func objectName(change *pb.ConfigChange) string {
	if c := change.GetContract(); c != nil {
		return "contract " + c.Customer
	}
	return "target " + change.GetIntent().GetTarget()
}

func writeChangeRow(w io.Writer, change *pb.ConfigChange, answer *pb.ChangeAnswer) {
	state := "accepted"
	if answer.InForce {
		state = "in force"
	}
	if answer.Result.Resent {
		state += " (accepted before)"
	}
	fmt.Fprintf(w, "%s\trevision %d\t%s\n", objectName(change), answer.Result.Revision, state)
}

// rejectedChangeError returns the error, with its exit code, for a change that the
// control replicas rejected.
func rejectedChangeError(r *pb.ChangeResult) error {
	switch r.Status {
	case pb.ChangeStatus_CHANGE_STATUS_CONFLICT:
		when := time.UnixMilli(r.PresentTimeUnixMs).UTC().Format(time.RFC3339)
		return withExitCode(ExitConflict, fmt.Errorf("conflict: the present revision is %d, by %s at %s; read it, then replace that revision", r.PresentRevision, r.PresentOperator, when))
	case pb.ChangeStatus_CHANGE_STATUS_OPERATION_REUSED:
		return withExitCode(ExitConflict, errors.New("the operation id was already used for a different change"))
	default:
		return withExitCode(ExitUsage, fmt.Errorf("the change was rejected: %s", r.Message))
	}
}
