package cli

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const evacuationsPath = "/admin/v1/evacuations"

func newEvacuation() *cobra.Command {
	o := &operatorFlags{}
	cmd := &cobra.Command{
		Use:   "evacuation",
		Short: "Start, end and list evacuations: the targets of an evacuated data centre get no new requests",
	}
	o.addFlags(cmd)
	cmd.AddCommand(newEvacuationOrder(o, "start", "Send no more requests to the targets of a data centre", true),
		newEvacuationOrder(o, "end", "Send requests to the targets of a data centre again", false), newEvacuationList(o))
	return cmd
}

func newEvacuationOrder(o *operatorFlags, use, short string, evacuated bool) *cobra.Command {
	operator := ""
	cmd := &cobra.Command{
		Use:   use + " DATA-CENTRE",
		Short: short,
		Long:  short + ". The command may be repeated: an order that is already carried out changes nothing.",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel, client, err := o.client(cmd)
			if err != nil {
				return err
			}
			defer cancel()
			order := &pb.SetEvacuation{DataCentre: args[0], Evacuated: evacuated, Operator: operator}
			result := &pb.SetEvacuationResult{}
			if err := client.Post(ctx, evacuationsPath, nil, order, result); err != nil {
				return adminCallError(err)
			}
			return o.print(cmd.OutOrStdout(), result, func(w io.Writer) {
				fmt.Fprintf(w, "%s\tevacuated %t, changed %t, revision %d\n", args[0], evacuated, result.Changed, result.Revision)
			})
		},
	}
	cmd.Flags().StringVar(&operator, "operator", defaultOperatorName(), "name recorded as the author of the order")
	return cmd
}

func newEvacuationList(o *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "Print the evacuated data centres, since when and by whom",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			set := &pb.Evacuations{}
			return o.get(cmd, evacuationsPath, nil, set, func(w io.Writer) { writeEvacuations(w, set) })
		},
	}
}

func writeEvacuations(w io.Writer, set *pb.Evacuations) {
	fmt.Fprintln(w, "EVACUATED DATA CENTRE\tSINCE\tOPERATOR")
	for _, e := range set.GetEvacuated() {
		fmt.Fprintf(w, "%s\t%s\t%s\n", e.DataCentre, time.UnixMilli(e.SinceUnixMs).UTC().Format(time.RFC3339), e.Operator)
	}
}
