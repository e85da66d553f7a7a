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

// Handler answers decoded calls.
type Handler interface {
	service.Dispatcher
	service.OutcomeStore
	service.RampStateStore
	LeaseTokens(ctx context.Context, req service.TokenRequest) (service.TokenResponse, error)
	Heartbeat(ctx context.Context, req service.HeartbeatRequest) (service.HeartbeatResponse, error)
	// State returns the replayed state of a stream of the log.
	State(ctx context.Context, stream platformapi.Stream) (service.StateAnswer, error)
	// Records returns records of a stream that are kept in memory.
	Records(ctx context.Context, stream platformapi.Stream, from entity.Offset, limit int) (service.RecordsAnswer, error)
}

// Server answers the calls of other instances.
type Server struct {
	handler Handler
	clock   Clock
	pb.DRPCPeerUnimplementedServer
}

// NewServer returns a server that passes decoded calls to the handler.
func NewServer(handler Handler, clock Clock) *Server {
	return &Server{handler: handler, clock: clock}
}

// Serve answers calls on the listener until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener, onError func(error)) error {
	mux := drpcmux.New()
	if err := pb.DRPCRegisterPeer(mux, s); err != nil {
		return errors.Wrap(err, "register peer protocol")
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions(), Log: onError})
	return server.Serve(ctx, listener)
}

// Forward dispatches one forwarded request and streams the answer back.
func (s *Server) Forward(stream pb.DRPCPeer_ForwardStream) error {
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
	req.Body = &requestBody{stream: stream, rest: head.GetBody(), complete: head.GetComplete()}
	ctx := withTraceparent(stream.Context(), head.GetTraceparent())
	ctx, cancel := context.WithTimeout(ctx, remainingUntil(req.Deadline, now))
	defer cancel()
	resp := s.handler.Dispatch(ctx, req)
	if resp.Outcome.Kind != entity.OutcomeAnswered {
		return stream.Send(toRefusal(req.ID, resp))
	}
	defer func() { _ = resp.Body.Close() }()
	return sendAnswer(stream, req.ID, resp)
}

// sendAnswer sends the answer's head and body. A body that fails ends the stream without the end marker.
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
			return sendBrokenAnswer(stream, head, err)
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

// sendBrokenAnswer reports an answer that broke before anything of it was forwarded.
func sendBrokenAnswer(stream pb.DRPCPeer_ForwardStream, head *pb.ForwardAnswer, cause error) error {
	outcome := entity.Unknown(entity.ReasonTruncated, cause.Error())
	return stream.Send(toRefusal(head.GetRequestId(), service.Response{Outcome: outcome}))
}

// requestBody reads the data frames of a request. It returns io.EOF only after the end marker.
type requestBody struct {
	stream   pb.DRPCPeer_ForwardStream
	rest     []byte
	complete bool
	failed   error
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
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
			b.rest = f.Data
		case *pb.ForwardRequest_End:
			b.complete = true
		default:
			b.failed = errors.New("unexpected head inside a request body")
		}
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}
