package gateway

import (
	"sync"

	"github.com/pollenpier/pollenpier/internal/decide/backpressure"
)

// retryBudget is the retry budget that all traffic goroutines of the gateway share.
type retryBudget struct {
	mu    sync.Mutex
	state backpressure.RetryBudget
}

// request counts a request, which adds to the budget.
func (b *retryBudget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.Request()
}

// take takes one retry token. It returns false if there is none.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Take()
}
