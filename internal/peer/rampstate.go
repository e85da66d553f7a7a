package peer

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/peer/pb"
	"github.com/pollenpier/pollenpier/internal/service"
)

// SendRampState implements service.RampStateSender.
func (c *Client) SendRampState(ctx context.Context, address string, state service.RampState) error {
	_, err := c.stub(ctx, address).HandOver(ctx, &pb.HandOverRequest{
		Backend: string(state.Backend), StartId: state.StartID, Limit: uint32(max(0, state.Limit)),
	})
	if err != nil {
		return errors.Wrapf(err, "send ramp state to %s", address)
	}
	return nil
}

// HandOver implements pb.DRPCPeerServer. It stores the ramp state that another primary has measured.
func (s *Server) HandOver(_ context.Context, req *pb.HandOverRequest) (*pb.HandOverResponse, error) {
	s.handler.StoreRampState(service.RampState{
		Backend: entity.BackendID(req.GetBackend()), StartID: req.GetStartId(), Limit: int(req.GetLimit()),
	})
	return &pb.HandOverResponse{}, nil
}
