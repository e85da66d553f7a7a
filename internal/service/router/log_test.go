package router_test

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// BenchmarkLog measures the cost of logging for calls that are served and for calls that a full backend rejects, with the
// program's logger and without one. The difference is the cost per request. Lines beyond an event's budget are thinned, as in the
// program.
func BenchmarkLog(b *testing.B) {
	bounded, err := telemetry.NewBoundedLogger("info", io.Discard)
	require.NoError(b, err)
	for logName, log := range map[string]*zap.Logger{"silent": zap.NewNop(), "logged": bounded} {
		for name, answer := range map[string]func(service.Delivery) service.DeliveryResult{"served": succeeding, "rejected": rejecting} {
			b.Run(name+"/"+logName, func(b *testing.B) {
				p := newTestRouterWithLog(b, unlimited(), log)
				p.endpoints.answer = answer
				b.ReportAllocs()
				for b.Loop() {
					p.endpoints.delivered = p.endpoints.delivered[:0]
					p.call("/orders/1", key, true)
				}
			})
		}
	}
}
