package peer

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/decide/admission"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/peer/pb"
	"github.com/pollenpier/pollenpier/internal/service"
)

// LeaseTokens implements service.TokenLeaser.
func (c *Client) LeaseTokens(ctx context.Context, address string, req service.TokenRequest) (service.TokenResponse, error) {
	resp, err := c.stub(ctx, address).LeaseTokens(ctx, toTokenRequest(req))
	if err != nil {
		return service.TokenResponse{}, errors.Wrapf(err, "lease tokens from %s", address)
	}
	return fromTokenResponse(resp), nil
}

// LeaseTokens implements pb.DRPCPeerServer. It passes a request for tokens to the handler and returns its answer.
func (s *Server) LeaseTokens(ctx context.Context, req *pb.LeaseTokensRequest) (*pb.LeaseTokensResponse, error) {
	resp, err := s.handler.LeaseTokens(ctx, fromTokenRequest(req))
	if err != nil {
		return nil, err
	}
	return toTokenResponse(resp), nil
}

func toTokenRequest(req service.TokenRequest) *pb.LeaseTokensRequest {
	m := &pb.LeaseTokensRequest{Instance: string(req.Instance), Shard: req.Shard, Sequence: req.Sequence}
	for _, d := range req.Demands {
		demand := &pb.TokenDemand{Customer: string(d.Customer), Want: d.Want}
		for _, r := range d.Reports {
			demand.Reports = append(demand.Reports, &pb.TokenReport{Sequence: r.Sequence, Spent: r.Spent, Closed: r.Closed})
		}
		m.Demands = append(m.Demands, demand)
	}
	return m
}

func fromTokenRequest(m *pb.LeaseTokensRequest) service.TokenRequest {
	req := service.TokenRequest{
		Instance: entity.InstanceID(m.GetInstance()), Shard: m.GetShard(), Sequence: m.GetSequence(),
	}
	for _, d := range m.GetDemands() {
		demand := admission.Demand{Customer: entity.CustomerID(d.GetCustomer()), Want: d.GetWant()}
		for _, r := range d.GetReports() {
			demand.Reports = append(demand.Reports, admission.Report{
				Sequence: r.GetSequence(), Spent: r.GetSpent(), Closed: r.GetClosed(),
			})
		}
		req.Demands = append(req.Demands, demand)
	}
	return req
}

func toTokenResponse(resp service.TokenResponse) *pb.LeaseTokensResponse {
	m := &pb.LeaseTokensResponse{Holder: resp.Holder, Ask: string(resp.Redirect)}
	for _, g := range resp.Grants {
		m.Grants = append(m.Grants, &pb.TokenGrant{
			Customer: string(g.Customer), Tokens: g.Tokens, RetryUs: g.RetryAfter.Microseconds(),
		})
	}
	return m
}

func fromTokenResponse(m *pb.LeaseTokensResponse) service.TokenResponse {
	resp := service.TokenResponse{Holder: m.GetHolder(), Redirect: entity.InstanceID(m.GetAsk())}
	for _, g := range m.GetGrants() {
		resp.Grants = append(resp.Grants, admission.Grant{
			Customer: entity.CustomerID(g.GetCustomer()), Tokens: g.GetTokens(), RetryAfter: max(0, fromMicros(g.GetRetryUs())),
		})
	}
	return resp
}
