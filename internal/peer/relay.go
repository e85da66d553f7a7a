package peer

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/peer/pb"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/internal/service"
)

// ErrNotAvailable means that the peer was reached but does not have the requested state or records.
var ErrNotAvailable = errors.New("not available at the peer")

// FetchState implements service.StateSource.
func (c *Client) FetchState(ctx context.Context, address string) ([]byte, entity.Offset, error) {
	return c.fetch(ctx, address, platformapi.StreamControl)
}

// FetchConfigState implements service.ConfigStateSource.
func (c *Client) FetchConfigState(ctx context.Context, address string) ([]byte, entity.Offset, error) {
	return c.fetch(ctx, address, platformapi.StreamConfig)
}

func (c *Client) fetch(ctx context.Context, address string, stream platformapi.Stream) ([]byte, entity.Offset, error) {
	resp, err := c.stub(ctx, address).FetchState(ctx, &pb.FetchStateRequest{Stream: string(stream)})
	if err != nil {
		return nil, 0, errors.Wrapf(err, "fetch state of stream %s from %s", stream, address)
	}
	if !resp.GetAvailable() {
		return nil, 0, errors.Wrapf(ErrNotAvailable, "state of stream %s at %s", stream, address)
	}
	return resp.GetState(), entity.Offset(resp.GetOffset()), nil
}

// Records implements service.RecordSource.
func (c *Client) Records(
	ctx context.Context, address string, stream platformapi.Stream, from entity.Offset, limit int,
) (service.RelayedBatch, error) {
	resp, err := c.stub(ctx, address).Records(ctx, &pb.RecordsRequest{
		Stream: string(stream), From: uint64(from), Limit: uint32(max(0, limit)),
	})
	if err != nil {
		return service.RelayedBatch{}, errors.Wrapf(err, "records of stream %s from %s", stream, address)
	}
	if !resp.GetAvailable() {
		return service.RelayedBatch{}, errors.Wrapf(ErrNotAvailable, "offset %d of stream %s at %s", from, stream, address)
	}
	return fromRecords(resp), nil
}

func fromRecords(m *pb.RecordsResponse) service.RelayedBatch {
	batch := service.RelayedBatch{
		Batch: platformapi.Batch{First: entity.Offset(m.GetFirst()), Next: entity.Offset(m.GetNext())},
		Age:   fromMicros(m.GetFreshnessAgeUs()),
	}
	for _, r := range m.GetRecords() {
		batch.Records = append(batch.Records, platformapi.Record{
			Offset: entity.Offset(r.GetOffset()),
			Draft:  platformapi.Draft{Writer: r.GetWriter(), Sequence: r.GetSequence(), Payload: r.GetPayload()},
		})
	}
	return batch
}

// FetchState implements pb.DRPCPeerServer. It returns the replayed state of a stream.
func (s *Server) FetchState(ctx context.Context, req *pb.FetchStateRequest) (*pb.FetchStateResponse, error) {
	answer, err := s.handler.State(ctx, platformapi.Stream(req.GetStream()))
	if err != nil {
		return nil, err
	}
	return &pb.FetchStateResponse{Available: answer.Available, Offset: uint64(answer.Offset), State: answer.State}, nil
}

// Records implements pb.DRPCPeerServer. It returns the records of a stream that this instance keeps in memory.
func (s *Server) Records(ctx context.Context, req *pb.RecordsRequest) (*pb.RecordsResponse, error) {
	answer, err := s.handler.Records(ctx, platformapi.Stream(req.GetStream()), entity.Offset(req.GetFrom()), int(req.GetLimit()))
	if err != nil {
		return nil, err
	}
	m := &pb.RecordsResponse{
		Available: answer.Available, First: uint64(answer.First), Next: uint64(answer.Next),
		FreshnessAgeUs: toMicros(answer.Age),
	}
	for _, r := range answer.Records {
		m.Records = append(m.Records, &pb.LogRecord{
			Offset: uint64(r.Offset), Writer: r.Writer, Sequence: r.Sequence, Payload: r.Payload,
		})
	}
	return m, nil
}
