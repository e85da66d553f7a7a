// Package sleep contains a sleep that ends with a context.
package sleep

import (
	"context"
	"time"
)

// For waits for d or until the context ends. It returns the error of the context, nil if the context is still active.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err()
}
