package peer

import (
	"context"
	"io"
	"net"

	"github.com/go-faster/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/peer/pb"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/internal/service"
)

// Handler handles the decoded calls of other instances. Its methods may be called concurrently.
type Handler interface {
	service.Dispatcher
	service.OutcomeStore
	service.RampStateStore
	LeaseTokens(ctx context.Context, req service.TokenRequest) (service.TokenResponse, error)
	Heartbeat(ctx context.Context, req service.HeartbeatRequest) (service.HeartbeatResponse, error)
	// State returns the replayed state of a stream of the log.
	State(ctx context.Context, stream platformapi.Stream) (service.StateAnswer, error)
	// Records returns at most limit records of a stream, beginning at offset from, that this instance keeps in memory.
	Records(ctx context.Context, stream platformapi.Stream, from entity.Offset, limit int) (service.RecordsAnswer, error)
}

// Server serves the calls of other instances.
type Server struct {
	handler  Handler
	clock    Clock
	forwards forwards
	pb.DRPCPeerUnimplementedServer
}

// NewServer returns a server that passes decoded calls to the handler.
func NewServer(handler Handler, clock Clock) *Server {
	return &Server{handler: handler, clock: clock}
}

// Serve serves calls on the listener until ctx is done. It passes errors of single connections to onError.
func (s *Server) Serve(ctx context.Context, listener net.Listener, onError func(error)) error {
	mux := drpcmux.New()
	if err := pb.DRPCRegisterPeer(mux, s); err != nil {
		return errors.Wrap(err, "register peer protocol")
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions(), Log: onError})
	return server.Serve(ctx, listener)
}

// Forward implements pb.DRPCPeerServer. It dispatches one forwarded request and sends the answer back.
func (s *Server) Forward(stream pb.DRPCPeer_ForwardStream) error {
	s.forwards.begin()
	err := s.forward(stream)
	s.forwards.end(err == nil)
	return err
}

func (s *Server) forward(stream pb.DRPCPeer_ForwardStream) error {
	frame, err := stream.Recv()
	if err != nil {
		return errors.Wrap(err, "receive head")
	}
	head := frame.GetHead()
	if head == nil {
		return errors.New("first frame is not a head")
	}
	now := s.clock.Now()
	req := fromHead(head, now)
	req.Body = &requestBody{stream: stream, remainder: head.GetBody(), complete: head.GetComplete()}
	ctx := withTraceparent(stream.Context(), head.GetTraceparent())
	ctx, cancel := context.WithTimeout(ctx, remainingUntil(req.Deadline, now))
	defer cancel()
	resp := s.handler.Dispatch(ctx, req)
	s.forwards.dispatched(resp)
	if resp.Outcome.Kind != entity.OutcomeAnswered {
		return stream.Send(toRefusal(req.ID, resp))
	}
	defer func() { _ = resp.Body.Close() }()
	return sendAnswer(stream, req.ID, resp)
}

// sendAnswer sends the answer's head and body. If reading the body fails, the stream ends without an end frame.
func sendAnswer(stream pb.DRPCPeer_ForwardStream, id string, resp service.Response) error {
	head := &pb.ForwardAnswer{
		RequestId:  id,
		Status:     int32(resp.Status),
		Headers:    toHeaders(resp.Header),
		BodyLength: resp.Length,
	}
	if resp.Length >= 0 && resp.Length <= inlineLimit {
		head.Complete = true
		head.Body = make([]byte, resp.Length)
		if _, err := io.ReadFull(resp.Body, head.GetBody()); err != nil {
			return sendTruncated(stream, head, err)
		}
	}
	if err := stream.Send(&pb.ForwardResponse{Frame: &pb.ForwardResponse_Answer{Answer: head}}); err != nil {
		return err
	}
	if head.GetComplete() {
		return nil
	}
	buf := make([]byte, chunkSize)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if err := stream.Send(&pb.ForwardResponse{Frame: &pb.ForwardResponse_Data{Data: buf[:n]}}); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return stream.Send(&pb.ForwardResponse{Frame: &pb.ForwardResponse_End{End: true}})
		}
		if err != nil {
			return errors.Wrap(err, "read answer body")
		}
	}
}

// sendTruncated sends a refusal for an answer that was truncated before any of it was forwarded.
func sendTruncated(stream pb.DRPCPeer_ForwardStream, head *pb.ForwardAnswer, cause error) error {
	outcome := entity.Unknown(entity.ReasonTruncated, cause.Error())
	return stream.Send(toRefusal(head.GetRequestId(), service.Response{Outcome: outcome}))
}

// requestBody reads the body of a request from its frames. It returns io.EOF only if the body is complete.
type requestBody struct {
	stream    pb.DRPCPeer_ForwardStream
	remainder []byte
	complete  bool
	failed    error
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	for len(b.remainder) == 0 {
		if b.failed != nil {
			return 0, b.failed
		}
		if b.complete {
			return 0, io.EOF
		}
		frame, err := b.stream.Recv()
		if err != nil {
			b.failed = errors.Join(io.ErrUnexpectedEOF, err)
			continue
		}
		switch f := frame.GetFrame().(type) {
		case *pb.ForwardRequest_Data:
			b.remainder = f.Data
		case *pb.ForwardRequest_End:
			b.complete = true
		default:
			b.failed = errors.New("unexpected head inside a request body")
		}
	}
	n := copy(p, b.remainder)
	b.remainder = b.remainder[n:]
	return n, nil
}
