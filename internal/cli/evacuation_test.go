package cli

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/admin"
	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/replica"
	"github.com/wigeonwood/wigeonwood/internal/state"
)

// evacuationFleet is a fleet of one instance, whose log applies commands at once.
type evacuationFleet struct {
	fleet.View
	filter.ConfigView
	admin.Control
	machine *state.Machine
	index   uint64
	self    *pb.RouterStatus
}

func (f *evacuationFleet) Self() *pb.RouterStatus           { return f.self }
func (f *evacuationFleet) Routers() []*pb.RouterStatus      { return []*pb.RouterStatus{f.self} }
func (f *evacuationFleet) Targets() []*pb.TargetStatus      { return nil }
func (f *evacuationFleet) Lease() (uint64, time.Time, bool) { return 1, time.Now(), true }

func (f *evacuationFleet) Query(context.Context, *pb.QueryRequest) (*pb.QueryReply, error) {
	return &pb.QueryReply{}, nil
}

func (f *evacuationFleet) Submit(_ context.Context, cmd *pb.Command) (*pb.SubmitReply, error) {
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, err
	}
	f.index++
	reply := &pb.SubmitReply{Result: &pb.CommandResult{}}
	out := f.machine.Apply(replica.Entry{Position: replica.Position{Term: 1, Index: f.index}, TimeMs: 1700000000000, Data: data})
	return reply, proto.Unmarshal(out, reply.Result)
}

// Runs the commands against the admin interface of an instance. A repeated order must succeed
// without a change, an invalid one must fail, and so must any order while a replica of an
// earlier build would ignore it.
func TestEvacuationCommands(t *testing.T) {
	f := &evacuationFleet{machine: state.New(), self: &pb.RouterStatus{Id: "r1", Replica: true, SupportsEvacuation: true}}
	server := httptest.NewServer(admin.NewHandler(admin.Config{
		Token: "secret", View: f, ConfigView: f, Control: f, Evacuations: f.machine.Evacuations,
		Metrics: http.NotFoundHandler(), Logger: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}},
	}))
	defer server.Close()
	run := func(args ...string) (string, error) {
		root := newRoot()
		var out bytes.Buffer
		root.SetOut(&out)
		root.SetErr(&out)
		root.SetArgs(append(args, "--admin-token=secret", "--server="+server.Listener.Addr().String()))
		err := root.Execute()
		return out.String(), err
	}
	for _, c := range []struct {
		args []string
		want string
		fail bool
	}{
		{args: []string{"evacuation", "list"}, want: "EVACUATED DATA CENTRE"},
		{args: []string{"evacuation", "start", "dc 1", "--operator=ann"}, want: "changed true, revision 1"},
		{args: []string{"evacuation", "start", "dc 1"}, want: "changed false, revision 1"},
		{args: []string{"evacuation", "list"}, want: "dc 1                   2023-11-14T22:13:20Z  ann"},
		{args: []string{"status"}, want: "dc 1                   2023-11-14T22:13:20Z  ann"},
		{args: []string{"evacuation", "start", "a/b"}, want: "slash", fail: true},
		{args: []string{"evacuation", "end", "dc 1"}, want: "changed true, revision 2"},
		{args: []string{"evacuation", "start"}, fail: true},
	} {
		out, err := run(c.args...)
		if (err != nil) != c.fail || err == nil && !strings.Contains(out, c.want) || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v: %v, want %q:\n%s", c.args, err, c.want, out)
		}
	}
	f.self = &pb.RouterStatus{Id: "old", Replica: true}
	if _, err := run("evacuation", "start", "dc 2"); err == nil || !strings.Contains(err.Error(), "old") || state.Evacuated(f.machine.Evacuations(), "dc 2") {
		t.Errorf("with a replica of an earlier build: %v", err)
	}
}
