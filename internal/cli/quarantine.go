package cli

import (
	"fmt"
	"io"
	"net/url"
	"time"

	"github.com/spf13/cobra"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const heldPartsPath = "/admin/v1/quarantine"

func newQuarantine() *cobra.Command {
	o := &operatorFlags{}
	cmd := &cobra.Command{
		Use:   "quarantine",
		Short: "List and lift the holds on requests and parts of prompts that crash engines",
	}
	o.addFlags(cmd)
	cmd.AddCommand(newQuarantineList(o), newQuarantineLift(o))
	return cmd
}

func newQuarantineList(o *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "Print the parts and requests that a router holds, since when and on what evidence",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			held := &pb.HeldParts{}
			return o.get(cmd, heldPartsPath, nil, held, func(w io.Writer) { writeHeldParts(w, held) })
		},
	}
}

func newQuarantineLift(o *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "lift PART",
		Short: "End the hold on a part or request at all routers",
		Long: "End the hold on a part or request at all routers. The evidence against it is discarded;\n" +
			"if it crashes engines again, it is held again.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			ctx, cancel, client, err := o.client(cmd)
			if err != nil {
				return err
			}
			defer cancel()
			held := &pb.HeldParts{}
			if err := client.Post(ctx, heldPartsPath+"/lift", url.Values{"part": args}, nil, held); err != nil {
				return adminCallError(err)
			}
			return o.print(cmd.OutOrStdout(), held, func(w io.Writer) { writeHeldParts(w, held) })
		},
	}
}

func writeHeldParts(w io.Writer, held *pb.HeldParts) {
	fmt.Fprintf(w, "router\t%s, %d held\n\n", held.Router, len(held.Parts))
	fmt.Fprintln(w, "PART\tSINCE\tPROBE IN\tDECIDED BY\tDECISIONS\tENGINES ENDED\tLAST\tANSWERED BEFORE")
	for _, p := range held.Parts {
		fmt.Fprintf(w, "%s\t%s ago\t%s\t%s\t%d\t%d\t%s ago\t%t\n", p.Part, milliseconds(p.SinceMs), milliseconds(p.LeftMs),
			p.DecidedBy, p.Strikes, p.Crashes, milliseconds(p.LastCrashMs), p.AnsweredBefore)
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
