package peer

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/decide/outcome"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/peer/pb"
)

// ErrNotStored means that the peer was reached but did not store the outcome records.
var ErrNotStored = errors.New("peer did not store the outcome records")

// CopyOutcomes implements service.OutcomeCopier.
func (c *Client) CopyOutcomes(
	ctx context.Context, address string, backend entity.BackendID, term entity.Term, entries []outcome.Record,
) error {
	resp, err := c.stub(ctx, address).CopyOutcome(ctx, &pb.CopyOutcomeRequest{
		Backend: string(backend), Term: uint64(term), Entries: toOutcomes(entries),
	})
	if err != nil {
		return errors.Wrapf(err, "copy outcomes to %s", address)
	}
	if !resp.GetStored() {
		return errors.Wrapf(ErrNotStored, "at %s", address)
	}
	return nil
}

// CollectOutcomes implements service.OutcomeCopier.
func (c *Client) CollectOutcomes(
	ctx context.Context, address string, name entity.ServiceName, partitions []entity.Partition,
) ([]outcome.Record, time.Duration, error) {
	req := &pb.CollectOutcomesRequest{Service: string(name)}
	for _, p := range partitions {
		req.Partitions = append(req.Partitions, uint32(p))
	}
	resp, err := c.stub(ctx, address).CollectOutcomes(ctx, req)
	if err != nil {
		return nil, 0, errors.Wrapf(err, "collect outcomes from %s", address)
	}
	return fromOutcomes(resp.GetEntries()), fromMicros(resp.GetMemoryAgeUs()), nil
}

// CopyOutcome implements pb.DRPCPeerServer. It stores outcome records of another primary.
func (s *Server) CopyOutcome(_ context.Context, req *pb.CopyOutcomeRequest) (*pb.CopyOutcomeResponse, error) {
	stored := s.handler.StoreOutcomes(
		entity.BackendID(req.GetBackend()), entity.Term(req.GetTerm()), fromOutcomes(req.GetEntries()))
	return &pb.CopyOutcomeResponse{Stored: stored}, nil
}

// CollectOutcomes implements pb.DRPCPeerServer. It returns all outcome records of the requested partitions.
func (s *Server) CollectOutcomes(_ context.Context, req *pb.CollectOutcomesRequest) (*pb.CollectOutcomesResponse, error) {
	partitions := make([]entity.Partition, 0, len(req.GetPartitions()))
	for _, p := range req.GetPartitions() {
		partitions = append(partitions, entity.Partition(p))
	}
	entries, age := s.handler.KnownOutcomes(entity.ServiceName(req.GetService()), partitions)
	return &pb.CollectOutcomesResponse{Entries: toOutcomes(entries), MemoryAgeUs: toMicros(age)}, nil
}

func toOutcomes(entries []outcome.Record) []*pb.OutcomeEntry {
	list := make([]*pb.OutcomeEntry, 0, len(entries))
	for i := range entries {
		list = append(list, toOutcome(&entries[i]))
	}
	return list
}

func toOutcome(r *outcome.Record) *pb.OutcomeEntry {
	m := &pb.OutcomeEntry{
		Customer:       string(r.Key.Customer),
		Service:        string(r.Key.Service),
		IdempotencyKey: r.Key.IdempotencyKey,
		Fingerprint:    r.Fingerprint,
		Partition:      uint32(r.Partition),
		State:          uint32(r.State),
		AgeUs:          r.Age.Microseconds(),
		ConfirmedUs:    r.Confirmed.Microseconds(),
		Epoch:          uint64(r.Version.Epoch),
		Term:           uint64(r.Version.Term),
		Sequence:       r.Version.Sequence,
	}
	if r.Answer != nil {
		m.Status = int32(r.Answer.Status)
		m.Headers = toHeaders(r.Answer.Header)
		m.Body = r.Answer.Body
	}
	return m
}

func fromOutcomes(list []*pb.OutcomeEntry) []outcome.Record {
	entries := make([]outcome.Record, 0, len(list))
	for _, m := range list {
		entries = append(entries, fromOutcome(m))
	}
	return entries
}

func fromOutcome(m *pb.OutcomeEntry) outcome.Record {
	r := outcome.Record{
		Key: outcome.Key{
			Customer:       entity.CustomerID(m.GetCustomer()),
			Service:        entity.ServiceName(m.GetService()),
			IdempotencyKey: m.GetIdempotencyKey(),
		},
		Fingerprint: m.GetFingerprint(),
		Partition:   entity.Partition(m.GetPartition()),
		State:       outcome.State(m.GetState()),
		Age:         time.Duration(m.GetAgeUs()) * time.Microsecond,
		Confirmed:   time.Duration(m.GetConfirmedUs()) * time.Microsecond,
		Version: outcome.Version{
			Epoch: entity.Epoch(m.GetEpoch()), Term: entity.Term(m.GetTerm()), Sequence: m.GetSequence(),
		},
	}
	if m.GetStatus() != 0 {
		r.Answer = &outcome.Answer{Status: int(m.GetStatus()), Header: fromHeaders(m.GetHeaders()), Body: m.GetBody()}
	}
	return r
}
