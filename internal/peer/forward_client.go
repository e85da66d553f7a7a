package peer

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/propagation"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/peer/pb"
	"github.com/pollenpier/pollenpier/internal/service"
)

const (
	// inlineLimit is the largest body that travels in the head frame, in bytes. One frame instead of three saves two
	// writes per direction for the usual small request.
	inlineLimit = 16 << 10
	// chunkSize is the size of a data frame in bytes.
	chunkSize = 32 << 10
)

// errTruncated is the error of a body whose end marker did not arrive.
var errTruncated = errors.Wrap(io.ErrUnexpectedEOF, "forwarded answer ended without its end marker")

// Forward sends a request to the instance at address, which dispatches it.
//
// The outcome is "not run" only if the connection could not be made or the peer said so; a stream that broke after the head
// was sent leaves the outcome unknown.
func (c *Client) Forward(ctx context.Context, address string, req *service.Request) service.Response {
	head := toHead(req, req.Deadline-c.clock.Now(), traceparentOf(ctx))
	if err := inlineBody(head, req); err != nil {
		return service.Response{Outcome: entity.NotRun(entity.ReasonCanceled, err.Error())}
	}
	ctx, cancel := context.WithTimeout(ctx, req.Deadline-c.clock.Now())
	stream, err := c.stub(ctx, address).Forward(ctx)
	if err != nil {
		cancel()
		return service.Response{Outcome: entity.NotRun(entity.ReasonUnreachable, err.Error())}
	}
	if err := stream.Send(&pb.ForwardRequest{Frame: &pb.ForwardRequest_Head{Head: head}}); err != nil {
		cancel()
		return service.Response{Outcome: entity.Unknown(entity.ReasonBroken, err.Error())}
	}
	if !head.GetComplete() {
		// Not waited for: the caller of a refused request may still be slow to send its body.
		go sendBody(stream, req.Body, cancel)
	}
	return receiveAnswer(stream, req.ID, cancel)
}

// inlineBody puts the body into the head if its length is known and small.
func inlineBody(head *pb.ForwardHead, req *service.Request) error {
	if req.Length < 0 || req.Length > inlineLimit {
		return nil
	}
	head.Complete = true
	if req.Length == 0 || req.Body == nil {
		return nil
	}
	head.Body = make([]byte, req.Length)
	if _, err := io.ReadFull(req.Body, head.GetBody()); err != nil {
		return errors.Wrap(err, "read request body")
	}
	return nil
}

// sendBody sends the body in data frames and an end frame. A body that fails is cut by cancelling the call, so that it
// never looks whole at the receiver.
func sendBody(stream pb.DRPCPeer_ForwardClient, body io.Reader, cancel context.CancelFunc) {
	buf := make([]byte, chunkSize)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if stream.Send(&pb.ForwardRequest{Frame: &pb.ForwardRequest_Data{Data: buf[:n]}}) != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			// A failed send shows at the receiving side of the stream.
			_ = stream.Send(&pb.ForwardRequest{Frame: &pb.ForwardRequest_End{End: true}})
			return
		}
		if err != nil {
			cancel()
			return
		}
	}
}

// receiveAnswer waits for the first frame of the answer. Finish is called once the stream is no longer needed.
func receiveAnswer(stream pb.DRPCPeer_ForwardClient, id string, finish func()) service.Response {
	frame, err := stream.Recv()
	if err != nil {
		finish()
		return service.Response{Outcome: entity.Unknown(entity.ReasonBroken, err.Error())}
	}
	switch f := frame.GetFrame().(type) {
	case *pb.ForwardResponse_Refusal:
		finish()
		if f.Refusal.GetRequestId() != id {
			return mismatch()
		}
		return fromRefusal(f.Refusal)
	case *pb.ForwardResponse_Answer:
		if f.Answer.GetRequestId() != id {
			finish()
			return mismatch()
		}
		return service.Response{
			Outcome: entity.Answered(),
			Status:  int(f.Answer.GetStatus()),
			Header:  fromHeaders(f.Answer.GetHeaders()),
			Length:  f.Answer.GetBodyLength(),
			Body:    newAnswerBody(stream, f.Answer, finish),
		}
	default:
		finish()
		return service.Response{Outcome: entity.Unknown(entity.ReasonBroken, "peer sent data before the answer's head")}
	}
}

func mismatch() service.Response {
	return service.Response{Outcome: entity.Unknown(entity.ReasonMismatch, "peer answered another request")}
}

// answerBody reads the data frames of an answer. It returns io.EOF only after the end marker.
type answerBody struct {
	stream   pb.DRPCPeer_ForwardClient
	rest     []byte
	complete bool
	failed   error
	finish   func()
	closed   atomic.Bool
}

func newAnswerBody(stream pb.DRPCPeer_ForwardClient, head *pb.ForwardAnswer, finish func()) *answerBody {
	b := &answerBody{stream: stream, rest: head.GetBody(), complete: head.GetComplete(), finish: finish}
	if b.complete {
		b.release()
	}
	return b
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.failed != nil {
			return 0, b.failed
		}
		if b.complete {
			return 0, io.EOF
		}
		b.next()
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// next receives one frame.
func (b *answerBody) next() {
	frame, err := b.stream.Recv()
	if err != nil {
		b.failed = errors.Join(errTruncated, err)
		b.release()
		return
	}
	switch f := frame.GetFrame().(type) {
	case *pb.ForwardResponse_Data:
		b.rest = f.Data
	case *pb.ForwardResponse_End:
		b.complete = true
		b.release()
	default:
		b.failed = errTruncated
		b.release()
	}
}

// Close implements io.Closer. It cancels the call if the answer has not ended.
func (b *answerBody) Close() error {
	b.release()
	return nil
}

// release ends the stream once.
func (b *answerBody) release() {
	if b.closed.CompareAndSwap(false, true) {
		b.finish()
	}
}

// traceparentOf returns the W3C trace context of ctx, empty if there is none.
func traceparentOf(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier.Get("traceparent")
}

// withTraceparent returns ctx with the W3C trace context of a received call.
func withTraceparent(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	carrier := propagation.MapCarrier{"traceparent": traceparent}
	return propagation.TraceContext{}.Extract(ctx, carrier)
}

// remainingUntil converts a deadline on the monotonic clock to a duration that is never negative.
func remainingUntil(deadline, now time.Duration) time.Duration { return max(0, deadline-now) }
