package cli

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/wigeonwood/wigeonwood/internal/contractfile"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

func newContract() *cobra.Command {
	o := &operatorFlags{}
	cmd := &cobra.Command{Use: "contract", Short: "Read and change customers' contracts"}
	o.addFlags(cmd)
	cmd.AddCommand(
		newContractApply(o),
		newContractGet(o),
		newContractList(o),
		newContractHistory(o),
		newContractKey(),
	)
	return cmd
}

func newContractApply(o *operatorFlags) *cobra.Command {
	var path string
	flags := &changeFlags{}
	cmd := &cobra.Command{
		Use:   "apply -f FILE",
		Short: "Apply the contracts of a YAML file; - reads standard input",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			docs, err := readContracts(cmd, path)
			if err != nil {
				return err
			}
			if len(docs) > 1 && flags.operationID != "" {
				return usageError("--operation-id names one operation, but %s holds %d contracts", path, len(docs))
			}
			for _, doc := range docs {
				change := &pb.ConfigChange{
					Replaces: doc.Replaces,
					Object:   &pb.ConfigChange_Contract{Contract: doc.Contract},
				}
				if err := flags.submit(cmd, o, change); err != nil {
					return fmt.Errorf("contract %s: %w", doc.Contract.Customer, err)
				}
			}
			return nil
		},
	}
	cmd.Flags().StringVarP(&path, "file", "f", "", "contract file")
	_ = cmd.MarkFlagRequired("file")
	flags.addFlags(cmd)
	return cmd
}

func readContracts(cmd *cobra.Command, path string) ([]contractfile.Document, error) {
	in := cmd.InOrStdin()
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, withExitCode(ExitUsage, err)
		}
		defer file.Close()
		in = file
	}
	docs, err := contractfile.Parse(in)
	if err != nil {
		return nil, withExitCode(ExitUsage, fmt.Errorf("%s:\n%w", path, err))
	}
	return docs, nil
}

func newContractGet(o *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "get CUSTOMER",
		Short: "Print one contract as a file that can be edited and applied",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			reply := &pb.QueryReply{}
			ctx, cancel, client, err := o.client(cmd)
			if err != nil {
				return err
			}
			defer cancel()
			if err := client.Get(ctx, "/admin/v1/contracts", url.Values{"customer": {args[0]}}, reply); err != nil {
				return adminCallError(err)
			}
			if len(reply.Contracts) == 0 {
				return withExitCode(ExitNotFound, fmt.Errorf("there is no contract for customer %s", args[0]))
			}
			if o.output == outputJSON {
				return printJSON(cmd.OutOrStdout(), reply.Contracts[0])
			}
			return contractfile.Write(cmd.OutOrStdout(), reply.Contracts[0])
		},
	}
}

func newContractList(o *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List all contracts",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			reply := &pb.QueryReply{}
			return o.get(cmd, "/admin/v1/contracts", nil, reply, func(w io.Writer) {
				fmt.Fprintln(w, "CUSTOMER\tREVISION\tWEIGHT\tREQUESTS/S\tTOKENS/S\tCONCURRENCY\tKEYS")
				for _, c := range reply.Contracts {
					l := c.GetLimits()
					fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%s\t%d\n", c.Customer, c.Revision, c.Weight,
						formatLimit(l.GetRequestsPerSecond()), formatLimit(l.GetTokensPerSecond()), formatLimit(float64(l.GetConcurrency())), len(c.KeyHashes))
				}
			})
		},
	}
}

func formatLimit(limit float64) string {
	if limit == 0 {
		return "unlimited"
	}
	return strconv.FormatFloat(limit, 'f', -1, 64)
}

func newContractHistory(o *operatorFlags) *cobra.Command {
	var limit int
	cmd := &cobra.Command{
		Use:   "history [CUSTOMER]",
		Short: "List accepted changes, newest first",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			query := url.Values{"limit": {strconv.Itoa(limit)}}
			if len(args) == 1 {
				query.Set("name", args[0])
			}
			reply := &pb.QueryReply{}
			return o.get(cmd, "/admin/v1/history", query, reply, func(w io.Writer) { writeHistory(w, reply.History) })
		},
	}
	cmd.Flags().IntVar(&limit, "limit", 50, "most changes to list")
	return cmd
}

func writeHistory(w io.Writer, history []*pb.ChangeRecord) {
	fmt.Fprintln(w, "REVISION\tTIME\tOPERATOR\tOBJECT\tREPLACES\tOPERATION")
	for _, r := range history {
		when := time.UnixMilli(r.TimeUnixMs).UTC().Format(time.RFC3339)
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%d\t%s\n", r.Revision, when, r.Operator, objectName(r.GetChange()), r.GetChange().GetReplaces(), r.OperationId)
	}
}

const newKeyBytes = 24

func newContractKey() *cobra.Command {
	return &cobra.Command{
		Use:   "key [KEY]",
		Short: "Make a bearer key, or take one, and print it with the hash for the contract",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			key := ""
			if len(args) == 1 {
				key = args[0]
			} else {
				random := make([]byte, newKeyBytes)
				_, _ = rand.Read(random)
				key = hex.EncodeToString(random)
			}
			sum := sha256.Sum256([]byte(key))
			fmt.Fprintf(cmd.OutOrStdout(), "key:  %s\nhash: %s\n", key, hex.EncodeToString(sum[:]))
			return nil
		},
	}
}
