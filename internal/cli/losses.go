package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/wigeonwood/wigeonwood/internal/losses"
)

func newReportLosses() *cobra.Command {
	asJSON := false
	cmd := &cobra.Command{
		Use:   "losses [FILE...]",
		Short: "Add up, from routers' log lines, the requests that were lost or late, by second, service, step and cause",
		Long: "Add up, from routers' log lines, the requests that were refused, failed, cut or late, by second, service, step and cause.\n" +
			"Reads standard input if no file is given. Contacts no instance.",
		RunE: func(cmd *cobra.Command, files []string) error {
			report, err := sumLosses(cmd.InOrStdin(), files)
			if err != nil {
				return err
			}
			if asJSON {
				return writeLossesJSON(cmd.OutOrStdout(), report)
			}
			return writeLossesTable(cmd.OutOrStdout(), report)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print a JSON line for each row")
	return cmd
}

// sumLosses aggregates the logs in files, or the log in stdin if files is empty.
func sumLosses(stdin io.Reader, files []string) (losses.Report, error) {
	aggregator := losses.New()
	if len(files) == 0 {
		if err := aggregator.ReadLog(stdin); err != nil {
			return losses.Report{}, fmt.Errorf("reading standard input: %w", err)
		}
	}
	for _, name := range files {
		if err := readLogFile(aggregator, name); err != nil {
			return losses.Report{}, err
		}
	}
	return aggregator.Report(), nil
}

// readLogFile adds the requests logged in the named file to aggregator.
func readLogFile(aggregator *losses.Aggregator, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := aggregator.ReadLog(f); err != nil {
		return fmt.Errorf("reading %s: %w", name, err)
	}
	return nil
}

func writeLossesJSON(w io.Writer, report losses.Report) error {
	out := json.NewEncoder(w)
	for _, row := range report.Rows {
		if err := out.Encode(row); err != nil {
			return err
		}
	}
	return nil
}

func writeLossesTable(w io.Writer, report losses.Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SECOND\tREQUESTS\tSERVICE\tKIND\tSTEP\tCAUSE")
	for _, row := range report.Rows {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\n", row.Second.Format("15:04:05"), row.Requests, row.Service, row.Kind, row.Step, row.Cause)
	}
	fmt.Fprintf(table, "%d of %d requests were lost or late\n", report.Lost, report.Requests)
	if report.Malformed > 0 {
		fmt.Fprintf(table, "%d lines could not be read\n", report.Malformed)
	}
	if report.Omitted > 0 {
		fmt.Fprintf(table, "%d requests are in no row: there are too many kinds of loss\n", report.Omitted)
	}
	return table.Flush()
}
