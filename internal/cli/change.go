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
	// operationIDBytes is the part of the content's hash that names an
	// operation.
	operationIDBytes = 16
)

// changeFlags are the flags of commands that change the configuration.
type changeFlags struct {
	operationID string
	operator    string
	wait        time.Duration
}

func (f *changeFlags) addFlags(cmd *cobra.Command) {
	fs := cmd.Flags()
	fs.StringVar(&f.operationID, "operation-id", "", "id of this operation; without it the id is made from the change's content, so that the same command sent again is the same operation")
	fs.StringVar(&f.operator, "operator", defaultOperatorName(), "who makes the change, for the history")
	fs.DurationVar(&f.wait, "wait", defaultChangeWait, "how long to wait until the change is in force everywhere; 0 does not wait")
}

// submit sends one change and prints the answer. The exit code tells accepted
// and in force, accepted only, and refused apart.
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
	var refused *admin.StatusError
	if errors.As(err, &refused) && protojson.Unmarshal(refused.Raw, answer) == nil && answer.Result != nil {
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

// contentID names an operation by its content, the revision replaced included.
func contentID(change *pb.ConfigChange) string {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(change)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(data)
	return "content-" + hex.EncodeToString(sum[:operationIDBytes])
}

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

func rejectedChangeError(r *pb.ChangeResult) error {
	switch r.Status {
	case pb.ChangeStatus_CHANGE_STATUS_CONFLICT:
		when := time.UnixMilli(r.PresentTimeUnixMs).UTC().Format(time.RFC3339)
		return withExitCode(ExitConflict, fmt.Errorf("conflict: the present revision is %d, by %s at %s; read it, then replace that revision", r.PresentRevision, r.PresentOperator, when))
	case pb.ChangeStatus_CHANGE_STATUS_OPERATION_REUSED:
		return withExitCode(ExitConflict, errors.New("this operation id was used before with other content"))
	default:
		return withExitCode(ExitUsage, fmt.Errorf("the change was refused: %s", r.Message))
	}
}
