package cli

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

func newTarget() *cobra.Command {
	o := &operatorFlags{}
	cmd := &cobra.Command{Use: "target", Short: "List, start, drain and stop targets"}
	o.addFlags(cmd)
	cmd.AddCommand(
		newTargetList(o),
		newTargetIntent(o, "start", "Let a target take new work", pb.DesiredState_DESIRED_STATE_SERVE),
		newTargetIntent(o, "drain", "Give a target no new work; work in flight ends by itself", pb.DesiredState_DESIRED_STATE_DRAIN),
		newTargetIntent(o, "stop", "Give a target no new work and order it to stop", pb.DesiredState_DESIRED_STATE_STOP),
	)
	return cmd
}

func newTargetList(o *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the targets that the asked instance knows",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			list := &pb.TargetList{}
			return o.get(cmd, "/admin/v1/targets", nil, list, func(w io.Writer) { writeTargets(w, list.Targets) })
		},
	}
}

func writeTargets(w io.Writer, rows []*pb.TargetRow) {
	fmt.Fprintln(w, "TARGET\tKIND\tADDRESS\tDATA CENTRE\tSERVES\tCAPACITY\tRUNNING\tWAITING\tSTATE")
	for _, row := range rows {
		t := row.Status
		serves := strings.Join(t.GetModels(), ",")
		if t.GetService() != "" {
			serves = t.GetService()
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", t.GetId(), formatKind(t.GetKind()), t.GetAddr(), t.GetDataCentre(), serves,
			t.GetCapacity(), t.GetLoad().GetRunning(), t.GetLoad().GetWaiting(), targetState(row))
	}
}

func formatKind(k pb.TargetKind) string {
	return strings.ToLower(strings.TrimPrefix(k.String(), "TARGET_KIND_"))
}

func targetState(row *pb.TargetRow) string {
	switch {
	case row.GetStatus().GetLeaving():
		return "leaving"
	case row.GetIntent().GetDesired() == pb.DesiredState_DESIRED_STATE_DRAIN:
		return "draining"
	case row.GetIntent().GetDesired() == pb.DesiredState_DESIRED_STATE_STOP:
		return "stopping"
	default:
		return "serving"
	}
}

func newTargetIntent(o *operatorFlags, verb, short string, desired pb.DesiredState) *cobra.Command {
	flags := &changeFlags{}
	var replaces uint64
	var models []string
	var role string
	cmd := &cobra.Command{
		Use:   verb + " TARGET",
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			change := &pb.ConfigChange{
				Replaces: replaces,
				Object: &pb.ConfigChange_Intent{Intent: &pb.TargetIntent{
					Target:  args[0],
					Desired: desired,
					Models:  models,
					Role:    role,
				}},
			}
			return flags.submit(cmd, o, change)
		},
	}
	cmd.Flags().Uint64Var(&replaces, "replaces", 0, "revision of the target's intent that this change replaces; 0 for the first")
	if desired == pb.DesiredState_DESIRED_STATE_SERVE {
		cmd.Flags().StringSliceVar(&models, "models", nil, "models that the target is ordered to load")
		cmd.Flags().StringVar(&role, "role", "", "role that the target is ordered to take")
	}
	flags.addFlags(cmd)
	return cmd
}
