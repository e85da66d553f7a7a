package publish_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/standin/platform"
	"github.com/pollenpier/pollenpier/operator"
	"github.com/pollenpier/pollenpier/operator/publish"
)

// Guards against a client that cannot publish and read configurations over HTTP, also while the platform loses an answer
// or is unavailable.
func TestPublishOverHTTP(t *testing.T) {
	server, err := platform.Start("127.0.0.1:0", platform.Options{})
	require.NoError(t, err)
	defer func() { require.NoError(t, server.Close()) }()
	client, err := publish.NewClient(server.Address())
	require.NoError(t, err)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()

	empty, version, err := client.Current(ctx)
	require.NoError(t, err)
	require.Zero(t, version)
	config, err := operator.From(empty).Zone("z").Customer("c", 10, 5, operator.HashKey("k")).Build()
	require.NoError(t, err)
	server.SetFaults(platform.Faults{LoseAnswers: 1})
	result, err := client.Publish(ctx, version, config, "me")
	require.NoError(t, err)
	require.True(t, result.Accepted)

	other, err := operator.From(config).Customer("c", 20, 5).Build()
	require.NoError(t, err)
	late, err := client.Publish(ctx, version, other, "other") // based on the previous version
	require.NoError(t, err)
	require.False(t, late.Accepted)
	require.NotEmpty(t, late.Reason)

	current, version, err := client.Current(ctx)
	require.NoError(t, err)
	require.Equal(t, result.Version, version)
	require.True(t, operator.Equal(config, current))

	server.SetFaults(platform.Faults{Outage: true})
	short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	_, _, err = client.Current(short)
	require.ErrorIs(t, err, publish.ErrUnavailable)
	_, err = publish.NewClient()
	require.Error(t, err)
}
