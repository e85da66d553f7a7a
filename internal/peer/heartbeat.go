package peer

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/peer/pb"
	"github.com/pollenpier/pollenpier/internal/service"
)

// Heartbeat implements service.HeartbeatSender.
func (c *Client) Heartbeat(ctx context.Context, address string, req service.HeartbeatRequest) (service.HeartbeatResponse, error) {
	resp, err := c.stub(ctx, address).Heartbeat(ctx, toHeartbeat(req))
	if err != nil {
		return service.HeartbeatResponse{}, errors.Wrapf(err, "heartbeat to %s", address)
	}
	return fromHeartbeatResponse(resp), nil
}

// Heartbeat implements pb.DRPCPeerServer. It passes a peer's heartbeat to the handler and returns its answer.
func (s *Server) Heartbeat(ctx context.Context, req *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error) {
	resp, err := s.handler.Heartbeat(ctx, fromHeartbeat(req))
	if err != nil {
		return nil, err
	}
	return toHeartbeatResponse(resp), nil
}

func toHeartbeat(req service.HeartbeatRequest) *pb.HeartbeatRequest {
	m := &pb.HeartbeatRequest{
		Instance:       string(req.Instance),
		Zone:           string(req.Zone),
		Address:        req.Address,
		Group:          req.Group,
		RosterVersion:  req.RosterVersion,
		ControlOffset:  uint64(req.ControlOffset),
		ConfigVersion:  req.ConfigVersion,
		FreshnessAgeUs: toMicros(req.FreshnessAge),
		AuthorityAgeUs: toMicros(req.AuthorityAge),
		Leaving:        req.Leaving,
	}
	for _, claim := range req.Claims {
		m.Claims = append(m.Claims, &pb.Claim{Name: string(claim.Name), Term: uint64(claim.Term), Release: claim.Release})
	}
	return m
}

func fromHeartbeat(m *pb.HeartbeatRequest) service.HeartbeatRequest {
	req := service.HeartbeatRequest{
		Instance:      entity.InstanceID(m.GetInstance()),
		Zone:          entity.Zone(m.GetZone()),
		Address:       m.GetAddress(),
		Group:         m.GetGroup(),
		RosterVersion: m.GetRosterVersion(),
		ControlOffset: entity.Offset(m.GetControlOffset()),
		ConfigVersion: m.GetConfigVersion(),
		FreshnessAge:  fromMicros(m.GetFreshnessAgeUs()),
		AuthorityAge:  fromMicros(m.GetAuthorityAgeUs()),
		Leaving:       m.GetLeaving(),
	}
	for _, claim := range m.GetClaims() {
		req.Claims = append(req.Claims, service.LeaseClaim{
			Name: service.LeaseName(claim.GetName()), Term: entity.Term(claim.GetTerm()), Release: claim.GetRelease(),
		})
	}
	return req
}

func toHeartbeatResponse(resp service.HeartbeatResponse) *pb.HeartbeatResponse {
	m := &pb.HeartbeatResponse{
		Instance:       string(resp.Instance),
		Voter:          resp.Voter,
		RosterVersion:  resp.RosterVersion,
		ControlOffset:  uint64(resp.ControlOffset),
		ConfigVersion:  resp.ConfigVersion,
		FreshnessAgeUs: toMicros(resp.FreshnessAge),
		AuthorityAgeUs: toMicros(resp.AuthorityAge),
		Delegate:       string(resp.Delegate),
		Leaving:        resp.Leaving,
	}
	for _, r := range resp.Results {
		m.Results = append(m.Results, &pb.ClaimResult{
			Name: string(r.Name), Granted: r.Granted, Holder: string(r.Holder), Term: uint64(r.Term),
		})
	}
	return m
}

func fromHeartbeatResponse(m *pb.HeartbeatResponse) service.HeartbeatResponse {
	resp := service.HeartbeatResponse{
		Instance:      entity.InstanceID(m.GetInstance()),
		Voter:         m.GetVoter(),
		RosterVersion: m.GetRosterVersion(),
		ControlOffset: entity.Offset(m.GetControlOffset()),
		ConfigVersion: m.GetConfigVersion(),
		FreshnessAge:  fromMicros(m.GetFreshnessAgeUs()),
		AuthorityAge:  fromMicros(m.GetAuthorityAgeUs()),
		Delegate:      entity.InstanceID(m.GetDelegate()),
		Leaving:       m.GetLeaving(),
	}
	for _, r := range m.GetResults() {
		resp.Results = append(resp.Results, service.LeaseResult{
			Name: service.LeaseName(r.GetName()), Granted: r.GetGranted(),
			Holder: entity.InstanceID(r.GetHolder()), Term: entity.Term(r.GetTerm()),
		})
	}
	return resp
}
