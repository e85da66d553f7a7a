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
	// inlineLimit is the size in bytes of the largest body that is sent in the head frame. One frame instead of three saves two
	// writes per direction for the usual small request.
	inlineLimit = 16 << 10
	// chunkSize is the size of a data frame in bytes.
	chunkSize = 32 << 10
)

// errTruncated means that an answer's body ended before its end frame.
var errTruncated = errors.Wrap(io.ErrUnexpectedEOF, "forwarded answer ended without its end marker")

// Forward sends a request to the instance at address, which dispatches it, and returns the answer. The caller must close the
// answer's body.
//
// The outcome is "not run" only if the request body could not be read, the connection could not be opened or was closed before a
// byte of the request was sent, or the peer reported it. It is unknown if the connection was lost later.
func (c *Client) Forward(ctx context.Context, address string, req *service.Request) service.Response {
	head := toHead(req, req.Deadline-c.clock.Now(), traceparentOf(ctx))
	if err := inlineBody(head, req); err != nil {
		return service.Response{Outcome: entity.NotRun(entity.ReasonCanceled, err.Error())}
	}
	ctx, cancel := context.WithTimeout(ctx, req.Deadline-c.clock.Now())
	ctx, call := withSentCall(ctx)
	stream, err := c.stub(ctx, address).Forward(ctx)
	if err != nil {
		cancel()
		return service.Response{Outcome: entity.NotRun(entity.ReasonUnreachable, err.Error())}
	}
	if err := stream.Send(&pb.ForwardRequest{Frame: &pb.ForwardRequest_Head{Head: head}}); err != nil {
		cancel()
		if call.sentNothing() {
			return service.Response{Outcome: entity.NotRun(entity.ReasonUnreachable, err.Error())}
		}
		return service.Response{Outcome: entity.Unknown(entity.ReasonBroken, err.Error())}
	}
	if !head.GetComplete() {
		// Runs in the background, since the peer may refuse the request before a slow caller has sent its body.
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

// sendBody sends the body in data frames, followed by an end frame. If reading the body fails, it cancels the call, so that the
// receiver never takes the body for complete.
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
			// A failed send also makes Recv fail, where the error is handled.
			_ = stream.Send(&pb.ForwardRequest{Frame: &pb.ForwardRequest_End{End: true}})
			return
		}
		if err != nil {
			cancel()
			return
		}
	}
}

// receiveAnswer waits for the first frame of the answer. finish is called when the stream is no longer needed.
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

// answerBody reads the body of an answer from its frames. It returns io.EOF only if the body is complete, and errTruncated if the
// stream ends before.
type answerBody struct {
	stream    pb.DRPCPeer_ForwardClient
	remainder []byte
	complete  bool
	failed    error
	finish    func()
	closed    atomic.Bool
}

func newAnswerBody(stream pb.DRPCPeer_ForwardClient, head *pb.ForwardAnswer, finish func()) *answerBody {
	b := &answerBody{stream: stream, remainder: head.GetBody(), complete: head.GetComplete(), finish: finish}
	if b.complete {
		b.release()
	}
	return b
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	for len(b.remainder) == 0 {
		if b.failed != nil {
			return 0, b.failed
		}
		if b.complete {
			return 0, io.EOF
		}
		b.next()
	}
	n := copy(p, b.remainder)
	b.remainder = b.remainder[n:]
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
		b.remainder = f.Data
	case *pb.ForwardResponse_End:
		b.complete = true
		b.release()
	default:
		b.failed = errTruncated
		b.release()
	}
}

// Close implements io.Closer. It cancels the call if the answer is not complete.
func (b *answerBody) Close() error {
	b.release()
	return nil
}

// release calls finish, at most once.
func (b *answerBody) release() {
	if b.closed.CompareAndSwap(false, true) {
		b.finish()
	}
}

// traceparentOf returns the W3C trace context of ctx as a traceparent header, empty if there is none.
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

// remainingUntil returns the time from now until deadline, zero if it has passed.
func remainingUntil(deadline, now time.Duration) time.Duration { return max(0, deadline-now) }
