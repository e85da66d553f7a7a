package admission

import (
	"math"
	"slices"
	"time"

	"github.com/pollenpier/pollenpier/internal/entity"
)

// Client obtains tokens for the customers of one shard at one instance. It has at most one request under way. It is not
// safe for concurrent use, except for the wallets.
type Client struct {
	instance entity.InstanceID
	shard    uint32
	sequence uint64
	accounts map[entity.CustomerID]*account
	// sentAt is the time of the request under way; pending is its sequence, zero if there is none.
	sentAt  time.Duration
	pending uint64
}

// account is one customer's state. Its wallet's batch is replaced only by the client.
type account struct {
	wallet *TokenPool
	// live is the batch of the wallet, or one that is not published yet.
	live *Batch
	// closed are reports of former batches that no answered request has carried yet.
	closed []closedReport
	asked  bool // part of the request under way
	rate   float64
	// countedAt is the time up to which the rate has been measured.
	countedAt time.Duration
}

type closedReport struct {
	Report
	until time.Duration // a later report is useless: the server has dropped the batch
	sent  uint64        // sequence of the last request that carried it
}

// NewClient returns a client. The sequence must be larger than any that the instance has used.
func NewClient(instance entity.InstanceID, shard uint32, sequence uint64) *Client {
	return &Client{instance: instance, shard: shard, sequence: sequence, accounts: map[entity.CustomerID]*account{}}
}

// Pool returns the token pool of a customer, which it makes if it is new.
func (c *Client) Pool(customer entity.CustomerID) *TokenPool {
	a, ok := c.accounts[customer]
	if !ok {
		a = &account{wallet: &TokenPool{}}
		c.accounts[customer] = a
	}
	return a.wallet
}

// Withdraw takes back the tokens of a customer whose limits were lowered or that was removed.
func (c *Client) Withdraw(customer entity.CustomerID) {
	if a, ok := c.accounts[customer]; ok {
		a.closeLive()
	}
}

// Forget drops a customer. Its tokens at the server expire.
func (c *Client) Forget(customer entity.CustomerID) {
	c.Withdraw(customer)
	delete(c.accounts, customer)
}

// Busy reports whether a request is under way.
func (c *Client) Busy() bool { return c.pending != 0 }

// Request returns the request to send at time now for the customers that need tokens, each with the number of requests
// that wait for one. It must not be called while a request is under way.
func (c *Client) Request(now time.Duration, waiting map[entity.CustomerID]int) Request {
	c.sequence++
	c.pending, c.sentAt = c.sequence, now
	r := Request{Instance: c.instance, Shard: c.shard, Sequence: c.sequence}
	for customer, count := range waiting {
		a, ok := c.accounts[customer]
		if !ok {
			continue
		}
		a.asked = true
		r.Demands = append(r.Demands, Demand{
			Customer: customer,
			Want:     uint32(min(count+a.ahead(now), maxWant)),
			Reports:  a.reports(now, c.sequence),
		})
	}
	return r
}

// HandleResponse takes the response to the request with the given sequence and returns the new batch of each customer that got one.
// The caller serves waiting requests from a batch first and then calls Publish. A response that is not awaited is ignored.
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
		if !ok || !a.asked {
			continue
		}
		a.asked = false
		a.acknowledge(sequence)
		a.wallet.retry.Store(int64(g.RetryAfter))
		until := c.sentAt + TokenTTL
		if g.Tokens == 0 || now >= until {
			continue
		}
		a.closeLive()
		a.live = newBatch(sequence, g.Tokens, until)
		batches[g.Customer] = a.live
	}
	c.clearAsked(sequence)
	return batches
}

// Publish puts the customer's newest batch into its wallet.
func (c *Client) Publish(customer entity.CustomerID) {
	if a, ok := c.accounts[customer]; ok {
		a.wallet.batch.Store(a.live)
	}
}

// HandleFailure gives up the request with the given sequence. Its answer, if it comes, is ignored; the tokens that it may carry
// are given back with the next request.
func (c *Client) HandleFailure(sequence uint64) {
	if sequence != c.pending {
		return
	}
	c.pending = 0
	c.clearAsked(sequence)
}

// clearAsked closes the batches that the request may have brought for customers that have not received one.
func (c *Client) clearAsked(sequence uint64) {
	for _, a := range c.accounts {
		if !a.asked {
			continue
		}
		a.asked = false
		a.keep(Report{Sequence: sequence, Closed: true}, c.sentAt+2*serverTTL)
	}
}

func (a *account) closeLive() {
	if a.live != nil {
		a.keep(a.live.close(), a.live.until)
		a.live = nil
	}
}

func (a *account) keep(r Report, until time.Duration) {
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

// ahead returns the tokens that the demand of late needs during the prefetch time.
func (a *account) ahead(now time.Duration) int {
	elapsed := now - a.countedAt
	// Shorter intervals would measure single requests.
	if elapsed >= prefetch/2 {
		measured := float64(a.wallet.arrivals.Swap(0)) / elapsed.Seconds()
		a.countedAt = now
		const weight = 0.5
		a.rate = weight*measured + (1-weight)*a.rate
	}
	return int(math.Floor(a.rate * prefetch.Seconds()))
}
