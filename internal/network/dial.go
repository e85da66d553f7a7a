// Package network defines the function with which an instance opens connections. The clients of an instance dial
// through it, so that tests can interrupt and delay connections.
package network

import (
	"context"
	"net"
	"time"
)

// DialFunc opens a connection to host:port. A nil DialFunc stands for the operating system's network.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// WithTimeout returns a function that fails if the connection is not established within timeout. It may be called on nil.
func (d DialFunc) WithTimeout(timeout time.Duration) DialFunc {
	if d == nil {
		return (&net.Dialer{Timeout: timeout}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return d(ctx, network, address)
	}
}
