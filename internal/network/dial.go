// Package network holds the way in which an instance opens connections, so that tests can cut and delay them.
package network

import (
	"context"
	"net"
	"time"
)

// DialFunc opens a connection. A nil DialFunc stands for the operating system's network.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// WithTimeout returns a function that dials with a bound on the time to connect.
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
