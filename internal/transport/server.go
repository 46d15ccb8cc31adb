package transport

import (
	"context"
	"crypto/subtle"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// maxConcurrentCalls bounds the calls that this process serves concurrently.
	maxConcurrentCalls = 4096
	// requestReadTimeout bounds the time to read the request of a call.
	requestReadTimeout = 5 * time.Second
	// maxCallTimeout bounds the timeout that a caller may request.
	maxCallTimeout = 60 * time.Second
)

// handler decodes the payload of a request and returns the reply's message.
type handler func(ctx context.Context, payload []byte) (proto.Message, error)

// Server serves the calls of other instances.
type Server struct {
	token     string
	log       *log.Logger
	meter     Meter
	handlers  map[string]handler
	semaphore chan struct{}

	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
	listener net.Listener
	closed   bool
	done     sync.WaitGroup
}

// NewServer creates a Server that accepts calls with this token.
func NewServer(token string, logger *log.Logger) *Server {
	return &Server{
		token:     token,
		log:       logger,
		meter:     noopMeter{},
		handlers:  make(map[string]handler),
		semaphore: make(chan struct{}, maxConcurrentCalls),
		sessions:  make(map[*yamux.Session]struct{}),
	}
}

// SetMeter sets the meter that counts the bytes of served calls. It must be called
// before Serve.
func (s *Server) SetMeter(m Meter) { s.meter = m }

// message constrains a type to be *T and a protobuf message.
type message[T any] interface {
	*T
	proto.Message
}

// Handle registers fn as the handler of a method. It must be called before Serve.
func Handle[Req any, PReq message[Req], Resp proto.Message](s *Server, method string, fn func(context.Context, PReq) (Resp, error)) {
	s.handlers[method] = func(ctx context.Context, payload []byte) (proto.Message, error) {
		req := PReq(new(Req))
		if err := proto.Unmarshal(payload, req); err != nil {
			return nil, err
		}
		return fn(ctx, req)
	}
}

// Serve accepts sessions on l until Close is called. It then returns nil.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return l.Close()
	}
	s.listener = l
	s.mu.Unlock()
	for {
		conn, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			s.log.Warn().Err(err).Str("step", "accept").Msg("accepting a peer connection failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.startSession(conn)
	}
}

// acceptRetryDelay is the wait after a failed Accept, so that a lasting error, such as
// too many open files, does not cause a busy loop.
const acceptRetryDelay = 50 * time.Millisecond

func (s *Server) startSession(conn net.Conn) {
	session, err := yamux.Server(conn, sessionConfig())
	if err != nil {
		conn.Close()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		session.Close()
		return
	}
	s.sessions[session] = struct{}{}
	s.done.Go(func() { s.serveSession(session) })
}

// serveSession serves the calls of one session until the session ends.
func (s *Server) serveSession(session *yamux.Session) {
	defer func() {
		session.Close()
		s.mu.Lock()
		delete(s.sessions, session)
		s.mu.Unlock()
	}()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		select {
		case s.semaphore <- struct{}{}:
		default:
			// At maxConcurrentCalls the call fails at once instead of waiting.
			stream.Close()
			continue
		}
		s.done.Go(func() {
			defer func() { <-s.semaphore }()
			s.serveStream(stream)
		})
	}
}

// serveStream reads one call, runs its handler and sends the reply.
func (s *Server) serveStream(stream *yamux.Stream) {
	defer stream.Close()
	_ = stream.SetDeadline(time.Now().Add(requestReadTimeout))
	header := &pb.CallHeader{}
	n, err := readFrame(stream, header)
	if err != nil {
		return
	}
	timeout := min(time.Duration(header.TimeoutMs)*time.Millisecond, maxCallTimeout)
	_ = stream.SetDeadline(time.Now().Add(timeout + requestReadTimeout))
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	reply := s.dispatch(ctx, header)
	sent, err := writeFrame(stream, reply)
	// The method name of an unauthorized call is not trusted, so the call is not
	// counted.
	if reply.Status != pb.CallStatus_CALL_STATUS_UNAUTHORIZED {
		s.meter.Received(header.Method, n)
		s.meter.Sent(header.Method, sent)
	}
	if err != nil {
		s.log.Debug().Err(err).Str("step", "reply").Str("peer", stream.RemoteAddr().String()).Msg("sending the reply failed")
	}
}

// dispatch checks the token of a call and runs the handler of its method.
func (s *Server) dispatch(ctx context.Context, header *pb.CallHeader) *pb.CallReply {
	if subtle.ConstantTimeCompare([]byte(header.Token), []byte(s.token)) != 1 {
		return &pb.CallReply{Status: pb.CallStatus_CALL_STATUS_UNAUTHORIZED, Message: "wrong peer token"}
	}
	h, ok := s.handlers[header.Method]
	if !ok {
		return &pb.CallReply{Status: pb.CallStatus_CALL_STATUS_NO_METHOD, Message: "no such method: " + header.Method}
	}
	resp, err := h(ctx, header.Payload)
	if err != nil {
		return errorReply(err)
	}
	payload, err := proto.Marshal(resp)
	if err != nil {
		return errorReply(err)
	}
	return &pb.CallReply{Payload: payload}
}

// Close stops accepting connections, closes all sessions and waits for running
// handlers.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.listener != nil {
		s.listener.Close()
	}
	for session := range s.sessions {
		session.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
}
