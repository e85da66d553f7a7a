package gateway

import (
	"sync"

	"github.com/pollenpier/pollenpier/internal/decide/backpressure"
)

// budget is the retry budget of all traffic goroutines of the gateway.
type budget struct {
	mu    sync.Mutex
	state backpressure.RetryBudget
}

// request counts a request.
func (b *budget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state.Request()
}

// take spends one retry if there is one.
func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Take()
}
