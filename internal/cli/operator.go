package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/admin"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/settings"
)

// Values of the output flag.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// operatorFlags holds the flags that all commands that call the admin interface share.
type operatorFlags struct {
	server  string
	token   string
	output  string
	timeout time.Duration
}

const defaultOperatorTimeout = 15 * time.Second

func (o *operatorFlags) addFlags(cmd *cobra.Command) {
	fs := cmd.PersistentFlags()
	fs.StringVar(&o.server, "server", "127.0.0.1:8081", "admin address of any instance, IP:port")
	fs.StringVar(&o.token, "admin-token", "", "operators' token")
	fs.StringVarP(&o.output, "output", "o", outputTable, "output format: table or json")
	fs.DurationVar(&o.timeout, "timeout", defaultOperatorTimeout, "time limit of a call to the instance")
}

// client checks the shared flags and returns a client and a context that ends
// after the timeout.
func (o *operatorFlags) client(cmd *cobra.Command) (context.Context, context.CancelFunc, *admin.Client, error) {
	if _, err := netip.ParseAddrPort(o.server); err != nil {
		return nil, nil, nil, withExitCode(ExitUsage, settings.FlagError("server", "%q is not IP:port", o.server))
	}
	if o.output != outputTable && o.output != outputJSON {
		return nil, nil, nil, withExitCode(ExitUsage, settings.FlagError("output", "%q is not table or json", o.output))
	}
	if o.token == "" {
		return nil, nil, nil, withExitCode(ExitUsage, settings.FlagError("admin-token", "the operators' token is required"))
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), o.timeout)
	return ctx, cancel, &admin.Client{Addr: o.server, Token: o.token, HTTP: &http.Client{}}, nil
}

// get requests path, decodes the response into reply and prints reply as the output flag
// says: as JSON, or by calling writeTable.
func (o *operatorFlags) get(cmd *cobra.Command, path string, query url.Values, reply any, writeTable func(io.Writer)) error {
	ctx, cancel, client, err := o.client(cmd)
	if err != nil {
		return err
	}
	defer cancel()
	if err := client.Get(ctx, path, query, reply); err != nil {
		return adminCallError(err)
	}
	return o.print(cmd.OutOrStdout(), reply, writeTable)
}

// print writes reply as the output flag says: as JSON, or by calling writeTable.
func (o *operatorFlags) print(w io.Writer, reply any, writeTable func(io.Writer)) error {
	if o.output == outputJSON {
		return printJSON(w, reply)
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeTable(tw)
	return tw.Flush()
}

func printJSON(w io.Writer, out any) error {
	var data []byte
	var err error
	if m, ok := out.(proto.Message); ok {
		opts := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}
		data, err = opts.Marshal(m)
	} else {
		data, err = json.Marshal(out)
	}
	if err != nil {
		return withExitCode(ExitFailed, err)
	}
	_, err = fmt.Fprintln(w, string(data))
	return err
}

// adminCallError adds the exit code to the error of a failed admin call.
func adminCallError(err error) error {
	var statusErr *admin.StatusError
	switch {
	case errors.As(err, &statusErr) && statusErr.Status == http.StatusNotFound:
		return withExitCode(ExitNotFound, err)
	case errors.Is(err, admin.ErrUnreachable):
		return withExitCode(ExitUnreachable, err)
	default:
		return withExitCode(ExitFailed, err)
	}
}

// defaultOperatorName returns the name that the history records as the author
// of a change if the operator gives none.
func defaultOperatorName() string {
	if name := os.Getenv("USER"); name != "" {
		return name
	}
	return "operator"
}

func writeReplicas(w io.Writer, replicas []*pb.ReplicaInfo) {
	fmt.Fprintln(w, "REPLICA\tADDRESS\tDATA CENTRE\tROLE\tTERM\tMATCH\tCOMMIT")
	for _, r := range replicas {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\n", r.Id, r.Addr, r.DataCentre, replicaRole(r), r.Term, r.MatchIndex, r.CommitIndex)
	}
}

func replicaRole(r *pb.ReplicaInfo) string {
	switch {
	case r.Leader:
		return "leader"
	case r.Learner:
		return "learner"
	default:
		return "voter"
	}
}
