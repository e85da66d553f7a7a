package app

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/fx"
)

// Guards against a start that is not limited when the caller's context has no deadline. The option fx.StartTimeout has no effect
// then, because fx applies it only in Run.
func TestStartOfAStoreInstanceIsLimited(t *testing.T) {
	var limit time.Duration
	start := func(ctx context.Context) error {
		if deadline, ok := ctx.Deadline(); ok {
			limit = time.Until(deadline)
		}
		return nil
	}
	app := fx.New(fx.NopLogger, fx.Invoke(func(lc fx.Lifecycle) { lc.Append(fx.Hook{OnStart: start}) }))
	i := &StoreInstance{app: app}
	require.NoError(t, i.Start(context.Background()))
	require.Positive(t, limit)
	require.LessOrEqual(t, limit, startTimeout)
	require.NoError(t, i.Stop(context.Background()))
}
