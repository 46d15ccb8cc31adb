package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"github.com/wigeonwood/wigeonwood/internal/announce"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// Target is a stand-in that is announced and serves.
type Target struct {
	ID string
	// FillStatus fills what the kind of target announces.
	FillStatus func(*pb.TargetStatus)
	Handler    http.Handler

	DataCentre string
	Listener   net.Listener
	// Routers are addresses of routers' target listeners; Token is theirs.
	Routers []string
	Token   string
	Logger  *log.Logger
}

const readHeaderTimeout = 5 * time.Second

// Run serves and announces until ctx ends. It then leaves, finishes the
// requests in flight and returns.
func (t *Target) Run(ctx context.Context) error {
	incarnation := uint64(time.Now().UnixNano())
	announcer, err := announce.NewAnnouncer(announce.AnnouncerConfig{
		Routers: t.Routers,
		Token:   t.Token,
		Status:  func() *pb.TargetStatus { return t.status(incarnation) },
		Logger:  t.Logger,
	})
	if err != nil {
		return err
	}
	defer announcer.Close()
	server := &http.Server{Handler: t.Handler, ReadHeaderTimeout: readHeaderTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(t.Listener) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	return errors.Join(t.leave(announcer), server.Shutdown(context.Background()))
}

func (t *Target) status(incarnation uint64) *pb.TargetStatus {
	status := &pb.TargetStatus{
		Id:          t.ID,
		Addr:        t.Listener.Addr().String(),
		Incarnation: incarnation,
		DataCentre:  t.DataCentre,
	}
	t.FillStatus(status)
	return status
}

const leaveTimeout = 3 * time.Second

func (t *Target) leave(a *announce.Announcer) error {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	return a.Leave(ctx)
}

// FillStatus fills in what an engine announces.
func (e *Engine) FillStatus(s *pb.TargetStatus) {
	s.Kind = pb.TargetKind_TARGET_KIND_ENGINE
	s.Models = e.cfg.Models
	s.Capacity = uint32(e.cfg.Capacity)
	s.Load = e.Load()
	s.ChecksFencing = e.cfg.ChecksFencing
}

// StatusFunc fills in what a service announces under a service name.
func (s *Service) StatusFunc(name string) func(*pb.TargetStatus) {
	return func(status *pb.TargetStatus) {
		status.Kind = pb.TargetKind_TARGET_KIND_SERVICE
		status.Service = name
		status.Routes = s.Routes()
		status.Capacity = serviceCapacity
		status.Load = s.Load()
	}
}

// serviceCapacity is the number of calls that the stand-in service announces.
const serviceCapacity = 64
