package admission_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/ownership"
	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/service/admission"
)

// releaseLease takes the lease of the token shard from all instances.
func (c *cluster) releaseLease(t *testing.T) {
	t.Helper()
	for _, n := range c.nodes {
		v := &service.LeaseView{}
		n.leases.view.Publish(v)
		require.NoError(t, n.kernel.Deliver(context.Background(), service.Admission, service.LeaseChanged{View: v}))
	}
}

// settle waits until all instances have handled the messages that were sent to them before.
func (c *cluster) settle(t *testing.T) {
	t.Helper()
	answers := make(chan service.TokenResponse, len(c.nodes))
	c.send(t, service.TokensQuery{Reply: answers})
	for range c.nodes {
		<-answers
	}
}

// Guards against a customer within its rate that is refused as over its rate while the token lease changes hands.
func TestChangeOfTokenServerDoesNotCountAsOverRate(t *testing.T) {
	const maxWait = 50 * time.Millisecond
	c := newCluster(t, 3, admission.Settings{MaxWait: maxWait})
	c.configure(t, 1000, 1000)
	c.grantLease(t, 0, 1)
	staying := c.nodes[2].admission
	require.Eventually(t, func() bool {
		return staying.Admit(context.Background(), "c").Outcome.Kind == entity.OutcomeAnswered
	}, 20*time.Second, time.Millisecond)
	c.releaseLease(t)
	time.Sleep(250 * time.Millisecond) // until the tokens of the previous server have expired
	answered := make(chan service.AdmitResult, 1)
	go func() { answered <- staying.Admit(context.Background(), "c") }()
	time.Sleep(4 * maxWait)
	c.grantLease(t, 1, 2)
	r := <-answered
	require.Equal(t, entity.Answered(), r.Outcome)
}

// Guards against requests that wait although the token server has been lost for too long, or because the customer has more
// requests than can wait, and against an instance that does not find the next token server after that.
func TestLongOutageOfTokenServerIsRefusedAtOnce(t *testing.T) {
	const maxOutage = 200 * time.Millisecond
	c := newCluster(t, 2, admission.Settings{MaxOutage: maxOutage})
	c.configure(t, 0.5, 2)
	c.settle(t)
	n := c.nodes[1].admission
	results := make(chan service.AdmitResult, 8)
	for range cap(results) {
		go func() { results <- n.Admit(context.Background(), "c") }()
	}
	for range cap(results) {
		require.Equal(t, entity.ReasonUnreachable, (<-results).Outcome.Reason)
	}
	began := c.clock.Now()
	for range 100 {
		require.Equal(t, entity.ReasonUnreachable, n.Admit(context.Background(), "c").Outcome.Reason)
	}
	require.Less(t, c.clock.Now()-began, 100*maxOutage)
	c.grantLease(t, 0, 1)
	require.Eventually(t, func() bool {
		return n.Admit(context.Background(), "c").Outcome.Kind == entity.OutcomeAnswered
	}, 20*time.Second, time.Millisecond)
}

// Guards against an instance that never finds the next token server, because a peer named one that has left the roster since.
func TestRedirectToAnInstanceThatLeftIsDropped(t *testing.T) {
	c := newCluster(t, 3, admission.Settings{MaxWait: 50 * time.Millisecond, MaxOutage: 50 * time.Millisecond})
	c.configure(t, 1000, 1000)
	c.settle(t)
	leaving, next, staying := c.nodes[0], c.nodes[1], c.nodes[2]
	name := service.TokenLease(0)
	staying.leases.view.Publish(&service.LeaseView{Holders: map[service.LeaseName]entity.InstanceID{name: next.id}})
	next.leases.view.Publish(&service.LeaseView{Holders: map[service.LeaseName]entity.InstanceID{name: leaving.id}})
	view := &ownership.View{}
	for _, n := range []*node{next, staying} {
		view.Members = append(view.Members, ownership.Member{ID: n.id, Zone: zone, Address: string(n.id)})
	}
	c.send(t, service.OwnershipChanged{View: view})
	// The next holder is asked before it has the lease and names the one that has left.
	require.Equal(t, entity.OutcomeNotRun, staying.admission.Admit(context.Background(), "c").Outcome.Kind)
	c.grantLease(t, 1, 1)
	require.Eventually(t, func() bool {
		return staying.admission.Admit(context.Background(), "c").Outcome.Kind == entity.OutcomeAnswered
	}, 10*time.Second, time.Millisecond)
}
