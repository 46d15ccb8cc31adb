package cli

import (
	"fmt"
	"io"
	"net/url"
	"strings"

	"github.com/spf13/cobra"

	"github.com/wigeonwood/wigeonwood/internal/burn"
)

func newReport() *cobra.Command {
	o := &operatorFlags{}
	cmd := &cobra.Command{Use: "report", Short: "Reports over the whole fleet"}
	o.addFlags(cmd)
	cmd.AddCommand(newReportBurn(o), newReportLosses())
	return cmd
}

func newReportBurn(o *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "burn [CUSTOMER]",
		Short: "Print how fast each contract's error budgets are used up",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			query := url.Values{}
			if len(args) == 1 {
				query.Set("customer", args[0])
			}
			report := &burn.Report{}
			return o.get(cmd, "/admin/v1/burn", query, report, func(w io.Writer) { writeBurnReport(w, report) })
		},
	}
}

const percent = 100

func writeBurnReport(w io.Writer, report *burn.Report) {
	header := []string{"CUSTOMER", "OBJECTIVE", "TARGET"}
	for _, window := range burn.Windows {
		header = append(header, "BURN "+window.String())
	}
	fmt.Fprintln(w, strings.Join(append(header, "BUDGET LEFT"), "\t"))
	for _, c := range report.Customers {
		for _, o := range c.Objectives {
			cells := []string{c.Customer, o.Name, fmt.Sprintf("%g%%", o.TargetShare*percent)}
			for _, window := range o.Windows {
				cells = append(cells, fmt.Sprintf("%.2f (%d of %d)", window.Burn, window.Bad, window.Total))
			}
			cells = append(cells, fmt.Sprintf("%.1f%%", o.BudgetLeft*percent))
			fmt.Fprintln(w, strings.Join(cells, "\t"))
		}
	}
	fmt.Fprintln(w)
	for _, c := range report.Customers {
		fmt.Fprintf(w, "%s\tfirst token p50 %.1f ms, p95 %.1f ms, p99 %.1f ms\n", c.Customer, c.FirstTokenP50, c.FirstTokenP95, c.FirstTokenP99)
		for _, culprit := range c.Culprits {
			fmt.Fprintf(w, "\t%d bad at step %q, target %q\n", culprit.Bad, culprit.Step, culprit.Target)
		}
	}
	fmt.Fprintf(w, "\nrouters counted: %s\n", strings.Join(report.Routers, ", "))
	for _, note := range report.Notes {
		fmt.Fprintf(w, "note: %s\n", note)
	}
}
