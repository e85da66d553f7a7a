package admission

import (
	"math"
	"slices"
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// Client obtains tokens for the customers of one shard at one instance. It has at most one request in flight. It is not safe
// for concurrent use, except for the token pools.
type Client struct {
	instance entity.InstanceID
	shard    uint32
	sequence uint64
	accounts map[entity.CustomerID]*account
	// sentAt is the time of the request in flight; pending is its sequence, zero if there is none.
	sentAt  time.Duration
	pending uint64
}

// account is the state of one customer. Only the client replaces the batch of its pool.
type account struct {
	pool *TokenPool
	// live is the batch in the pool, or one that is not published yet.
	live *Batch
	// closed are reports of previous batches that no answered request has carried yet.
	closed    []closedReport
	requested bool // part of the request in flight
	rate      float64
	// countedAt is the time up to which the rate has been measured.
	countedAt time.Duration
}

type closedReport struct {
	Report
	until time.Duration // a later report has no effect, since the server has dropped the batch
	sent  uint64        // sequence of the last request that carried it
}

// NewClient returns a client. The sequence must be larger than any that the instance has used.
func NewClient(instance entity.InstanceID, shard uint32, sequence uint64) *Client {
	return &Client{instance: instance, shard: shard, sequence: sequence, accounts: map[entity.CustomerID]*account{}}
}

// Pool returns the token pool of a customer and creates it if it does not exist.
func (c *Client) Pool(customer entity.CustomerID) *TokenPool {
	a, ok := c.accounts[customer]
	if !ok {
		a = &account{pool: &TokenPool{}}
		c.accounts[customer] = a
	}
	return a.pool
}

// Withdraw withdraws the tokens of a customer whose limits were lowered or that was removed.
func (c *Client) Withdraw(customer entity.CustomerID) {
	if a, ok := c.accounts[customer]; ok {
		a.closeLive()
	}
}

// Forget removes a customer. Its tokens at the server expire.
func (c *Client) Forget(customer entity.CustomerID) {
	c.Withdraw(customer)
	delete(c.accounts, customer)
}

// Busy reports whether a request is in flight.
func (c *Client) Busy() bool { return c.pending != 0 }

// Request returns the request to send at time now. The keys of waiting are the customers that need tokens, and the values are
// the number of requests that wait for one. Request must not be called while another request is in flight.
func (c *Client) Request(now time.Duration, waiting map[entity.CustomerID]int) Request {
	c.sequence++
	c.pending, c.sentAt = c.sequence, now
	r := Request{Instance: c.instance, Shard: c.shard, Sequence: c.sequence}
	for customer, count := range waiting {
		a, ok := c.accounts[customer]
		if !ok {
			continue
		}
		a.requested = true
		r.Demands = append(r.Demands, Demand{
			Customer: customer,
			Want:     uint32(min(count+a.prefetchTokens(now), maxWant)),
			Reports:  a.reports(now, c.sequence),
		})
	}
	return r
}

// HandleResponse processes the response to the request with the given sequence and returns the new batch of each customer that
// got one. The caller serves waiting requests from a batch first and then calls Publish. A response to any other request than
// the one in flight is ignored.
func (c *Client) HandleResponse(now time.Duration, sequence uint64, r Response) map[entity.CustomerID]*Batch {
	if sequence != c.pending {
		return nil
	}
	if !r.Holder {
		c.HandleFailure(sequence)
		return nil
	}
	c.pending = 0
	batches := map[entity.CustomerID]*Batch{}
	for _, g := range r.Grants {
		a, ok := c.accounts[g.Customer]
		if !ok || !a.requested {
			continue
		}
		a.requested = false
		a.acknowledge(sequence)
		a.pool.retry.Store(int64(g.RetryAfter))
		until := c.sentAt + TokenTTL
		if g.Tokens == 0 || now >= until {
			continue
		}
		a.closeLive()
		a.live = newBatch(sequence, g.Tokens, until)
		batches[g.Customer] = a.live
	}
	c.closeUnanswered(sequence)
	return batches
}

// Publish puts the newest batch of the customer into its pool.
func (c *Client) Publish(customer entity.CustomerID) {
	if a, ok := c.accounts[customer]; ok {
		a.pool.batch.Store(a.live)
	}
}

// HandleFailure abandons the request with the given sequence. Its answer is ignored if it still arrives, and the tokens that it
// may contain are refunded with the next request.
func (c *Client) HandleFailure(sequence uint64) {
	if sequence != c.pending {
		return
	}
	c.pending = 0
	c.closeUnanswered(sequence)
}

// closeUnanswered closes the batches that the request may have returned for customers that have not received one.
func (c *Client) closeUnanswered(sequence uint64) {
	for _, a := range c.accounts {
		if !a.requested {
			continue
		}
		a.requested = false
		a.addClosed(Report{Sequence: sequence, Closed: true}, c.sentAt+2*serverTTL)
	}
}

func (a *account) closeLive() {
	if a.live != nil {
		a.addClosed(a.live.close(), a.live.until)
		a.live = nil
	}
}

func (a *account) addClosed(r Report, until time.Duration) {
	a.closed = append(a.closed, closedReport{Report: r, until: until})
}

// acknowledge drops the reports that an answered request has carried.
func (a *account) acknowledge(sequence uint64) {
	a.closed = slices.DeleteFunc(a.closed, func(r closedReport) bool { return r.sent == sequence })
}

func (a *account) reports(now time.Duration, sequence uint64) []Report {
	a.closed = slices.DeleteFunc(a.closed, func(r closedReport) bool { return now > r.until+serverTTL })
	var list []Report
	for i := range a.closed {
		a.closed[i].sent = sequence
		list = append(list, a.closed[i].Report)
	}
	if a.live != nil && now < a.live.until {
		list = append(list, a.live.report())
	}
	return list
}

// prefetchTokens returns the number of tokens that the recent demand needs during the prefetch time.
func (a *account) prefetchTokens(now time.Duration) int {
	elapsed := now - a.countedAt
	// Over shorter intervals, single requests would dominate the measurement.
	if elapsed >= prefetch/2 {
		measured := float64(a.pool.arrivals.Swap(0)) / elapsed.Seconds()
		a.countedAt = now
		const weight = 0.5
		a.rate = weight*measured + (1-weight)*a.rate
	}
	return int(math.Floor(a.rate * prefetch.Seconds()))
}
