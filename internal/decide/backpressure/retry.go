package backpressure

const (
	// retriesPerRequest is the fraction of a retry that each request adds to the budget: retries are at most 10% of requests.
	retriesPerRequest = 0.1
	// maxSavedRetries bounds the number of retries that can follow each other after a period without retries.
	maxSavedRetries = 10
)

// RetryBudget limits retries to a fraction of the requests, so that they add little load to an overloaded backend. It is not
// safe for concurrent use.
type RetryBudget struct{ saved float64 }

// Request counts a request that is not a retry.
func (b *RetryBudget) Request() { b.saved = min(b.saved+retriesPerRequest, maxSavedRetries) }

// Take takes one retry token and reports whether there was one.
func (b *RetryBudget) Take() bool {
	// 10 additions of 0.1 result in slightly less than one.
	const rounding = 1e-9
	if b.saved < 1-rounding {
		return false
	}
	b.saved = max(b.saved-1, 0)
	return true
}
