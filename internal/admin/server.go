// Package admin is the operators' HTTP interface: its server at each instance
// and the client that the command line uses. It has its own listener and asks
// for the operators' token.
package admin

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/phuslu/log"

	"github.com/wigeonwood/wigeonwood/internal/burn"
	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	maxBodyBytes = 1 << 20
	// maxWait bounds how long a change may wait to be in force.
	maxWait = 60 * time.Second
)

// Control reaches the control replicas.
type Control interface {
	Submit(ctx context.Context, cmd *pb.Command) (*pb.SubmitReply, error)
	InForce(ctx context.Context, revision uint64) (*pb.InForceReply, error)
	Query(ctx context.Context, req *pb.QueryRequest) (*pb.QueryReply, error)
	ReplicaChange(ctx context.Context, req *pb.ReplicaChangeRequest) (*pb.ReplicaChangeReply, error)
}

// Config wires a server.
type Config struct {
	Token   string
	Version string
	View    fleet.View
	Lease   filter.ConfigView
	Control Control
	// Explain finds a finished request anywhere in the fleet; nil means that
	// no router that answered remembers it.
	Explain func(ctx context.Context, requestID string) (found *pb.ExplainReply, silent []string)
	// Burn collects the burn report; an empty customer means all.
	Burn func(ctx context.Context, customer string) *burn.Report
	// Metrics serves the metrics page.
	Metrics http.Handler
	Logger  *log.Logger
}

type server struct {
	Config
}

// NewHandler makes the admin interface.
func NewHandler(cfg Config) http.Handler {
	s := &server{Config: cfg}
	root := mux.NewRouter()
	root.Use(s.authorize)
	root.Handle("/metrics", cfg.Metrics).Methods(http.MethodGet)
	r := root.PathPrefix("/admin/v1").Subrouter()
	r.HandleFunc("/status", s.getStatus).Methods(http.MethodGet)
	r.HandleFunc("/changes", s.applyChange).Methods(http.MethodPost)
	r.HandleFunc("/contracts", s.getContracts).Methods(http.MethodGet)
	r.HandleFunc("/history", s.getHistory).Methods(http.MethodGet)
	r.HandleFunc("/targets", s.getTargets).Methods(http.MethodGet)
	r.HandleFunc("/replicas", s.getReplicas).Methods(http.MethodGet)
	r.HandleFunc("/replicas", s.changeReplica).Methods(http.MethodPost)
	s.registerReports(r)
	r.HandleFunc("/explain/target/{id}", s.explainTarget).Methods(http.MethodGet)
	r.HandleFunc("/explain/revision/{number}", s.explainRevision).Methods(http.MethodGet)
	return root
}

// NewReportsHandler makes the part of the admin interface that needs neither contracts
// nor orders: the burn report and explanations of requests. Of cfg it uses Token,
// Explain, Burn and Logger.
func NewReportsHandler(cfg Config) http.Handler {
	s := &server{Config: cfg}
	root := mux.NewRouter()
	root.Use(s.authorize)
	s.registerReports(root.PathPrefix("/admin/v1").Subrouter())
	return root
}

func (s *server) registerReports(r *mux.Router) {
	r.HandleFunc("/burn", s.getBurn).Methods(http.MethodGet)
	r.HandleFunc("/explain/request/{id}", s.explainRequest).Methods(http.MethodGet)
}

func (s *server) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || subtle.ConstantTimeCompare([]byte(token), []byte(s.Token)) != 1 {
			writeError(w, http.StatusUnauthorized, "wrong-token", "the admin token is missing or wrong", nil)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, r)
	})
}

func (s *server) getStatus(w http.ResponseWriter, r *http.Request) {
	self := s.View.Self()
	revision, until, ok := s.Lease.Lease()
	out := &pb.AdminStatus{
		Instance:    self.Id,
		DataCentre:  self.DataCentre,
		Version:     s.Version,
		Leased:      ok,
		Revision:    revision,
		LeaseLeftMs: max(0, time.Until(until).Milliseconds()),
		Routers:     s.View.Routers(),
		Targets:     uint32(len(s.View.Targets())),
	}
	s.addControlStatus(r.Context(), out)
	writeProto(w, http.StatusOK, out)
}

// controlTimeout bounds the wait for the control replicas in a status answer.
const controlTimeout = 2 * time.Second

func (s *server) addControlStatus(ctx context.Context, out *pb.AdminStatus) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	replicas, err := s.Control.Query(ctx, &pb.QueryRequest{What: pb.QueryRequest_WHAT_REPLICAS})
	if err != nil {
		out.ControlError = err.Error()
		return
	}
	out.Replicas = replicas.Replicas
	routers, err := s.Control.Query(ctx, &pb.QueryRequest{What: pb.QueryRequest_WHAT_ROUTERS})
	if err != nil {
		out.ControlError = err.Error()
		return
	}
	out.Holds = routers.Routers
}

func (s *server) getTargets(w http.ResponseWriter, r *http.Request) {
	list := &pb.TargetList{}
	for _, t := range s.View.Targets() {
		list.Targets = append(list.Targets, &pb.TargetRow{Status: t, Intent: s.Lease.Intent(t.Id)})
	}
	writeProto(w, http.StatusOK, list)
}

func (s *server) getReplicas(w http.ResponseWriter, r *http.Request) {
	s.forwardQuery(w, r, &pb.QueryRequest{What: pb.QueryRequest_WHAT_REPLICAS})
}

func (s *server) changeReplica(w http.ResponseWriter, r *http.Request) {
	req := &pb.ReplicaChangeRequest{}
	if !readProto(w, r, req) {
		return
	}
	reply, err := s.Control.ReplicaChange(r.Context(), req)
	if err != nil {
		writeControlError(w, err)
		return
	}
	writeProto(w, http.StatusOK, reply)
}

func (s *server) forwardQuery(w http.ResponseWriter, r *http.Request, req *pb.QueryRequest) {
	reply, err := s.Control.Query(r.Context(), req)
	if err != nil {
		writeControlError(w, err)
		return
	}
	writeProto(w, http.StatusOK, reply)
}

func (s *server) getBurn(w http.ResponseWriter, r *http.Request) {
	report := s.Burn(r.Context(), r.URL.Query().Get("customer"))
	writeJSON(w, http.StatusOK, report)
}
