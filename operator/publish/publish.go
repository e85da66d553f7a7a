// Package publish is the client with which operators publish configurations to the platform's log and read the current
// configuration. The command line and operators' own programs use it.
package publish

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/configlog"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/operator"
)

// Errors of a Client, in addition to operator.ErrInvalid and operator.ErrChange for a wrong configuration.
var (
	// ErrUnknownResult means that the configuration may or may not have been published. Repeating the call with the same
	// arguments is safe and returns the result.
	ErrUnknownResult = configlog.ErrUnknownResult
	// ErrHistoryLost means that the log keeps neither the complete stream nor a checkpoint. Running instances write
	// checkpoints.
	ErrHistoryLost = configlog.ErrHistoryLost
	// ErrUnavailable means that the platform did not answer until the context ended.
	ErrUnavailable = platformapi.ErrUnavailable
)

// Result is the result of publishing a configuration.
type Result struct {
	// Accepted reports whether the configuration became effective.
	Accepted bool
	// Version is the version that the configuration got, if it was accepted.
	Version uint64
	// Reason is why the configuration was refused.
	Reason string
	// Current is the version of the current configuration when the call returned.
	Current uint64
}

// Client publishes configurations to one platform. It is safe for concurrent use.
type Client struct{ log *platformapi.HTTPClient }

// NewClient returns a client of the platform at the given addresses, each host:port. At least one address is required.
func NewClient(addresses ...string) (*Client, error) {
	log, err := platformapi.NewHTTPClient(platformapi.ClientSettings{Addresses: addresses})
	if err != nil {
		return nil, errors.Wrap(err, "platform client")
	}
	return &Client{log: log}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.log.Close() }

// Current returns the current configuration and its version, which is 0 before the first configuration. If the context
// has no deadline, it fails after 30 s.
func (c *Client) Current(ctx context.Context) (*operator.Config, uint64, error) {
	state, err := configlog.Current(ctx, c.log)
	if err != nil {
		return nil, 0, err
	}
	return state.Config.WithDefaults(), state.Version, nil
}

// Publish publishes a configuration that was derived from version base, and returns when it is known whether the
// configuration became effective. It is refused if another version has become current in the meantime. If the context has
// no deadline, Publish fails after 30 s.
func (c *Client) Publish(ctx context.Context, base uint64, config *operator.Config, author string) (Result, error) {
	r, err := configlog.Publish(ctx, c.log, base, config, author)
	return Result(r), err
}
