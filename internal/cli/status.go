package cli

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

func newStatus() *cobra.Command {
	o := &operatorFlags{}
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Print the state of the fleet as one instance sees it",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			status := &pb.AdminStatus{}
			return o.get(cmd, "/admin/v1/status", nil, status, func(w io.Writer) { writeStatus(w, status) })
		},
	}
	o.addFlags(cmd)
	return cmd
}

func writeStatus(w io.Writer, s *pb.AdminStatus) {
	fmt.Fprintf(w, "instance\t%s in %s, version %s\n", s.Instance, s.DataCentre, s.Version)
	lease := "no configuration lease"
	if s.Leased {
		lease = fmt.Sprintf("configuration revision %d, lease ends in %s", s.Revision, time.Duration(s.LeaseLeftMs)*time.Millisecond)
	}
	fmt.Fprintf(w, "lease\t%s\n", lease)
	fmt.Fprintf(w, "targets\t%d\n", s.Targets)
	if s.ControlError != "" {
		fmt.Fprintf(w, "control\t%s\n", s.ControlError)
	}
	if len(s.Evacuations.GetEvacuated()) > 0 {
		fmt.Fprintln(w)
		writeEvacuations(w, s.Evacuations)
	}
	fmt.Fprintln(w)
	writeReplicas(w, s.Replicas)
	fmt.Fprintln(w)
	writeRouters(w, s)
}

func writeRouters(w io.Writer, s *pb.AdminStatus) {
	holds := make(map[string]*pb.RouterHold, len(s.Holds))
	for _, h := range s.Holds {
		holds[h.Router] = h
	}
	fmt.Fprintln(w, "ROUTER\tADDRESS\tDATA CENTRE\tSTATE\tREVISION")
	for _, r := range s.Routers {
		revision := "unknown"
		if h := holds[r.Id]; h != nil {
			revision = fmt.Sprint(h.Revision)
		}
		state := strings.ToLower(strings.TrimPrefix(r.State.String(), "ROUTER_STATE_"))
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", r.Id, r.CallerAddr, r.DataCentre, state, revision)
	}
}
