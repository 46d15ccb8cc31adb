// Package admin implements the HTTP interface for operators: the handler that
// each instance serves and the client that the command line uses. The interface
// has a listener of its own and requires the operators' bearer token. The package
// stores nothing: it forwards changes and queries to the control replicas and
// reads the rest from the local router.
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
	// maxWait bounds the time that a request may wait for a change to be in force.
	maxWait = 60 * time.Second
)

// Control calls the control replicas. control.Client implements it.
type Control interface {
	// Submit commits a command. It retries until ctx ends.
	Submit(ctx context.Context, cmd *pb.Command) (*pb.SubmitReply, error)
	// InForce waits until a revision is in force on all routers. If ctx ends before
	// that, the reply names the routers that are still pending.
	InForce(ctx context.Context, revision uint64) (*pb.InForceReply, error)
	// Query reads the state of the leading replica.
	Query(ctx context.Context, req *pb.QueryRequest) (*pb.QueryReply, error)
	// ReplicaChange adds or removes a control replica. It does not retry after an
	// unknown outcome.
	ReplicaChange(ctx context.Context, req *pb.ReplicaChangeRequest) (*pb.ReplicaChangeReply, error)
}

// Config holds the dependencies of the handlers.
type Config struct {
	Token      string
	Version    string
	View       fleet.View
	ConfigView filter.ConfigView
	Control    Control
	// Evacuations returns the set of evacuated data centres in this instance's view, nil
	// if there never was one.
	Evacuations func() *pb.Evacuations
	// Explain searches all routers for a finished request. It returns nil if no
	// router that replied has a record of the request, and the ids of the routers
	// that did not reply.
	Explain func(ctx context.Context, requestID string) (found *pb.ExplainReply, unreachable []string)
	// Burn returns the burn-rate report of one customer, or of all customers if
	// customer is empty.
	Burn func(ctx context.Context, customer string) *burn.Report
	// Quarantine lists and lifts holds on parts of prompts; nil at an instance that
	// has none.
	Quarantine Quarantine
	// Metrics serves /metrics.
	Metrics http.Handler
	Logger  *log.Logger
}

type server struct {
	Config
}

// NewHandler returns the handler of the full admin interface. It uses all fields of cfg.
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
	r.HandleFunc("/evacuations", s.getEvacuations).Methods(http.MethodGet)
	r.HandleFunc("/evacuations", s.setEvacuation).Methods(http.MethodPost)
	s.registerReports(r)
	r.HandleFunc("/explain/target/{id}", s.explainTarget).Methods(http.MethodGet)
	r.HandleFunc("/explain/revision/{number}", s.explainRevision).Methods(http.MethodGet)
	return root
}

// NewReportsHandler returns the handler of the part of the admin interface that
// needs neither contracts nor orders: the burn-rate report, the explanations of
// requests, and the holds on parts of prompts. It uses only the fields Token, Explain, Burn
// and Quarantine of cfg.
func NewReportsHandler(cfg Config) http.Handler {
	s := &server{Config: cfg}
	root := mux.NewRouter()
	root.Use(s.authorize)
	r := root.PathPrefix("/admin/v1").Subrouter()
	s.registerReports(r)
	s.registerQuarantine(r)
	return root
}

func (s *server) registerReports(r *mux.Router) {
	r.HandleFunc("/burn", s.getBurn).Methods(http.MethodGet)
	r.HandleFunc("/explain/request/{id}", s.explainRequest).Methods(http.MethodGet)
}

// authorize rejects requests without the operators' token and bounds the body size of
// all other requests.
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
	revision, until, ok := s.ConfigView.Lease()
	out := &pb.AdminStatus{
		Instance:    self.Id,
		DataCentre:  self.DataCentre,
		Version:     s.Version,
		Leased:      ok,
		Revision:    revision,
		LeaseLeftMs: max(0, time.Until(until).Milliseconds()),
		Routers:     s.View.Routers(),
		Targets:     uint32(len(s.View.Targets())),
		Evacuations: s.Evacuations(),
	}
	s.addControlStatus(r.Context(), out)
	writeProto(w, http.StatusOK, out)
}

// controlTimeout bounds the queries to the control replicas for one status response.
// If the timeout expires, the response lacks the replicas or the revisions of routers
// and names the error instead.
const controlTimeout = 2 * time.Second

// addControlStatus adds the control replicas and the revision that each router holds,
// or the error of the query that failed.
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
		list.Targets = append(list.Targets, &pb.TargetRow{Status: t, Intent: s.ConfigView.Intent(t.Id)})
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

// forwardQuery sends req to the control replicas and writes their reply.
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
