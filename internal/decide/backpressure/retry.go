package backpressure

const (
	// retriesPerRequest is the part of a retry that each request earns: retries are at most 10% of requests.
	retriesPerRequest = 0.1
	// maxSavedRetries bounds the retries that can follow each other after a quiet time.
	maxSavedRetries = 10
)

// RetryBudget bounds retries to a part of the requests, so that an overloaded back end gets hardly more load by them.
type RetryBudget struct{ saved float64 }

// Request counts a request, not a retry.
func (b *RetryBudget) Request() { b.saved = min(b.saved+retriesPerRequest, maxSavedRetries) }

// Take spends one retry if there is one.
func (b *RetryBudget) Take() bool {
	// 10 additions of 0.1 give slightly less than one.
	const rounding = 1e-9
	if b.saved < 1-rounding {
		return false
	}
	b.saved = max(b.saved-1, 0)
	return true
}
