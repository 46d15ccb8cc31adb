package cli

import (
	"io"
	"net/netip"

	"github.com/spf13/cobra"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

func newReplica() *cobra.Command {
	o := &operatorFlags{}
	cmd := &cobra.Command{Use: "replica", Short: "List, add and remove control replicas"}
	o.addFlags(cmd)
	cmd.AddCommand(newReplicaList(o), newReplicaAdd(o), newReplicaRemove(o))
	return cmd
}

func newReplicaList(o *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the control replicas",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			reply := &pb.QueryReply{}
			return o.get(cmd, "/admin/v1/replicas", nil, reply, func(w io.Writer) { writeReplicas(w, reply.Replicas) })
		},
	}
}

func newReplicaAdd(o *operatorFlags) *cobra.Command {
	req := &pb.ReplicaChangeRequest{Kind: pb.ReplicaChangeRequest_KIND_ADD}
	cmd := &cobra.Command{
		Use:   "add ID ADDRESS",
		Short: "Admit a started replica by its id and peer address; it votes once it has synced the log",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := netip.ParseAddrPort(args[1]); err != nil {
				return usageError("%q is not IP:port", args[1])
			}
			req.Id, req.Addr = args[0], args[1]
			return changeReplica(cmd, o, req)
		},
	}
	cmd.Flags().StringVar(&req.DataCentre, "data-centre", "", "data centre of the replica")
	return cmd
}

func newReplicaRemove(o *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "remove ID",
		Short: "Remove a replica for good",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return changeReplica(cmd, o, &pb.ReplicaChangeRequest{Kind: pb.ReplicaChangeRequest_KIND_REMOVE, Id: args[0]})
		},
	}
}

func changeReplica(cmd *cobra.Command, o *operatorFlags, req *pb.ReplicaChangeRequest) error {
	ctx, cancel, client, err := o.client(cmd)
	if err != nil {
		return err
	}
	defer cancel()
	reply := &pb.ReplicaChangeReply{}
	if err := client.Post(ctx, "/admin/v1/replicas", nil, req, reply); err != nil {
		return adminCallError(err)
	}
	return o.print(cmd.OutOrStdout(), reply, func(w io.Writer) { writeReplicas(w, reply.Replicas) })
}
