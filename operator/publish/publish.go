// Package publish publishes operators' configurations to the platform's log and reads the one in force.
package publish

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/configlog"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/operator"
)

// Errors of a Client, beside operator.ErrInvalid and operator.ErrChange for a wrong configuration.
var (
	// ErrUnknownResult means that the configuration may or may not have been published. Repeating the call with the same
	// arguments is safe and finds out.
	ErrUnknownResult = configlog.ErrUnknownResult
	// ErrHistoryLost means that the log keeps neither the whole stream nor a checkpoint. Running instances write one.
	ErrHistoryLost = configlog.ErrHistoryLost
	// ErrUnavailable means that the platform did not answer until the context ended.
	ErrUnavailable = platformapi.ErrUnavailable
)

// Result says what became of a published configuration.
type Result struct {
	// Accepted is true if the configuration came into force.
	Accepted bool
	// Version is the version with which it came into force, if accepted.
	Version uint64
	// Reason says why it was refused.
	Reason string
	// Current is the version in force when the call ended.
	Current uint64
}

// Client publishes to one platform. It is safe for concurrent use.
type Client struct{ log *platformapi.HTTPClient }

// NewClient returns a client of the platform at the addresses, host:port, of which at least one is needed.
func NewClient(addresses ...string) (*Client, error) {
	log, err := platformapi.NewHTTPClient(platformapi.ClientSettings{Addresses: addresses})
	if err != nil {
		return nil, errors.Wrap(err, "platform client")
	}
	return &Client{log: log}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.log.Close() }

// Current returns the configuration in force and its version, which is 0 before the first. Without a deadline in the context
// it gives up after 30 s.
func (c *Client) Current(ctx context.Context) (*operator.Config, uint64, error) {
	state, err := configlog.Current(ctx, c.log)
	if err != nil {
		return nil, 0, err
	}
	return state.Config.WithDefaults(), state.Version, nil
}

// Publish publishes a configuration that was made from the version base, and returns when it is known whether it came into
// force. It is refused if another version is in force meanwhile. Without a deadline in the context it gives up after 30 s.
func (c *Client) Publish(ctx context.Context, base uint64, config *operator.Config, author string) (Result, error) {
	r, err := configlog.Publish(ctx, c.log, base, config, author)
	return Result(r), err
}
