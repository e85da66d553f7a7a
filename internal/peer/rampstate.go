package peer

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/peer/pb"
	"github.com/pollenpier/pollenpier/internal/service"
)

// SendRampState implements service.RampStateSender.
func (c *Client) SendRampState(ctx context.Context, address string, w service.RampState) error {
	_, err := c.stub(ctx, address).HandOver(ctx, &pb.HandOverRequest{
		Backend: string(w.Backend), StartId: w.StartID, Limit: uint32(max(0, w.Limit)),
	})
	if err != nil {
		return errors.Wrapf(err, "hand over to %s", address)
	}
	return nil
}

// HandOver keeps what another primary has measured.
func (s *Server) HandOver(_ context.Context, req *pb.HandOverRequest) (*pb.HandOverResponse, error) {
	s.handler.StoreRampState(service.RampState{
		Backend: entity.BackendID(req.GetBackend()), StartID: req.GetStartId(), Limit: int(req.GetLimit()),
	})
	return &pb.HandOverResponse{}, nil
}
