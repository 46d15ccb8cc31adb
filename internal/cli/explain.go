package cli

import (
	"fmt"
	"io"
	"net/url"
	"time"

	"github.com/spf13/cobra"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

func newExplain() *cobra.Command {
	o := &operatorFlags{}
	cmd := &cobra.Command{
		Use:   "explain REQUEST-ID",
		Short: "Print what each step decided for a finished request, and why",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			reply := &pb.ExplainReply{}
			return o.get(cmd, "/admin/v1/explain/request/"+url.PathEscape(args[0]), nil, reply, func(w io.Writer) { writeRequestExplanation(w, reply) })
		},
	}
	o.addFlags(cmd)
	cmd.AddCommand(newExplainTarget(o), newExplainRevision(o))
	return cmd
}

func newExplainTarget(o *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "target ID",
		Short: "Print what is known and wanted of a target",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			row := &pb.TargetRow{}
			return o.get(cmd, "/admin/v1/explain/target/"+url.PathEscape(args[0]), nil, row, func(w io.Writer) { writeTargetExplanation(w, row) })
		},
	}
}

func newExplainRevision(o *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "revision NUMBER",
		Short: "Print who made a change and which routers hold it",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			out := &pb.RevisionExplained{}
			return o.get(cmd, "/admin/v1/explain/revision/"+url.PathEscape(args[0]), nil, out, func(w io.Writer) { writeRevisionExplanation(w, out) })
		},
	}
}

func writeRequestExplanation(w io.Writer, r *pb.ExplainReply) {
	fmt.Fprintf(w, "request\t%s at router %s\n", r.RequestId, r.Router)
	fmt.Fprintf(w, "customer\t%s, class %s, configuration revision %d\n", r.Customer, r.Class, r.Revision)
	if r.Service != "" {
		fmt.Fprintf(w, "service\t%s\n", r.Service)
	} else {
		fmt.Fprintf(w, "chat\t%s of model %s\n", r.Chat, r.Model)
	}
	fmt.Fprintf(w, "received\t%s\n", time.UnixMilli(r.StartUnixMs).UTC().Format(time.RFC3339Nano))
	fmt.Fprintf(w, "answer\tstatus %d, outcome %s, whole %t, after %s\n", r.Status, r.Outcome, r.Whole, time.Duration(r.TotalUs)*time.Microsecond)
	if r.FirstTokenUs > 0 {
		fmt.Fprintf(w, "first token\t%s\n", time.Duration(r.FirstTokenUs)*time.Microsecond)
	}
	if r.Target != "" {
		fmt.Fprintf(w, "target\t%s, %d tries\n", r.Target, r.Tries)
	}
	fmt.Fprintln(w, "\nSTEP\tTARGET\tDECISION")
	for _, reason := range r.Reasons {
		fmt.Fprintf(w, "%s\t%s\t%s\n", reason.Step, reason.Target, reason.Text)
	}
}

func writeTargetExplanation(w io.Writer, row *pb.TargetRow) {
	if row.Status == nil {
		fmt.Fprintln(w, "status\tno announcement within the target's lease")
	} else {
		writeTargets(w, []*pb.TargetRow{row})
		fmt.Fprintf(w, "\nincarnation\t%d, announcement %d\n", row.Status.Incarnation, row.Status.Sequence)
		fmt.Fprintf(w, "fencing\tthe target checks order numbers: %t\n", row.Status.ChecksFencing)
	}
	if row.Intent == nil {
		fmt.Fprintln(w, "intent\tnone: the target serves")
		return
	}
	fmt.Fprintf(w, "intent\t%s, revision %d\n", row.Intent.Desired, row.Intent.Revision)
}

func writeRevisionExplanation(w io.Writer, out *pb.RevisionExplained) {
	writeHistory(w, []*pb.ChangeRecord{out.Record})
	fmt.Fprintln(w, "\nROUTER\tHOLDS\tREVISION\tSINCE\tLEASE LEFT")
	for _, h := range out.Holds {
		fmt.Fprintf(w, "%s\t%t\t%d\t%s ago\t%s\n", h.Router, h.Revision >= out.Record.Revision, h.Revision,
			time.Duration(h.HeldMs)*time.Millisecond, time.Duration(h.LeaseLeftMs)*time.Millisecond)
	}
}
