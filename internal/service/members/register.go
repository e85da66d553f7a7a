package members

import (
	"context"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/pollenpier/pollenpier/internal/fleetpb"
	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// register registers this instance in the store and reads the list of instances.
func (s *Service) register(t *kernel.Turn) {
	t.Go(func(ctx context.Context) kernel.Message {
		ctx, cancel := context.WithTimeout(ctx, registerTimeout)
		defer cancel()
		raw, err := proto.Marshal(s.self())
		if err != nil {
			return listed{err: err}
		}
		if err := s.store.Register(ctx, collectionName, s.instance.PeerAddress, raw); err != nil {
			return listed{err: err}
		}
		values, err := s.store.ListRegistered(ctx, collectionName)
		if err != nil {
			return listed{err: err}
		}
		members := make([]*fleetpb.Member, 0, len(values))
		for _, value := range values {
			member := &fleetpb.Member{}
			if err := proto.Unmarshal(value, member); err == nil {
				members = append(members, member)
			}
		}
		return listed{members: members}
	})
}

func (s *Service) self() *fleetpb.Member {
	return &fleetpb.Member{Id: string(s.instance.ID), Zone: string(s.instance.Zone), Address: s.instance.PeerAddress}
}

func (s *Service) listed(t *kernel.Turn, m listed) {
	if m.err != nil {
		telemetry.EventMemberFailed.Log(s.log, zap.Error(m.err))
		t.After(registerRetry, retryRegister{})
		return
	}
	s.listRead = true
	for _, member := range m.members {
		s.addPeer(member, t.Now())
	}
	telemetry.EventMembersRead.Log(s.log, zap.Int("instances", len(m.members)))
}
