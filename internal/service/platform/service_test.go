package platform_test

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/pollenpier/pollenpier/internal/kernel"
	"github.com/pollenpier/pollenpier/internal/platformapi"
	"github.com/pollenpier/pollenpier/internal/service"
	service_platform "github.com/pollenpier/pollenpier/internal/service/platform"
	standin "github.com/pollenpier/pollenpier/internal/standin/platform"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// Guards against an instance that is missing from the instance list or listed as live after its planned stop, and against an
// outage that is logged on every call or not at all.
func TestRegistersAndLogsOutages(t *testing.T) {
	server, err := standin.Start("127.0.0.1:0", standin.Options{})
	require.NoError(t, err)
	defer server.Close()
	core, logs := observer.New(zap.InfoLevel)
	settings := service_platform.Settings{RegisterInstance: true}
	settings.Addresses = []string{server.Address()}
	self := service.Self{ID: "i", Zone: "a", Address: "127.0.0.1:9"}
	s := service_platform.New(self, settings, zap.New(core), metrics.NewRegistry())
	k, err := kernel.New(kernel.NewSystemClock(), []kernel.Service{s})
	require.NoError(t, err)
	require.NoError(t, k.Start(context.Background()))
	state := func() platformapi.InstanceState {
		list, err := s.Instances(context.Background())
		require.NoError(t, err)
		if len(list) != 1 {
			return ""
		}
		require.Equal(t, "127.0.0.1:9", list[0].Address)
		return list[0].State
	}
	require.Eventually(t, func() bool { return state() == platformapi.InstanceLive }, 10*time.Second, time.Millisecond)
	server.SetFaults(standin.Faults{Outage: true})
	for range 3 {
		_, err = s.Append(context.Background(), platformapi.StreamControl, platformapi.Draft{Writer: "w"})
		require.ErrorIs(t, err, platformapi.ErrUnavailable)
	}
	server.SetFaults(standin.Faults{})
	_, err = s.Append(context.Background(), platformapi.StreamControl, platformapi.Draft{Writer: "w"})
	require.NoError(t, err)
	require.Equal(t, 1, logs.FilterMessage(telemetry.EventPlatformUnavailable.Text).Len())
	require.Equal(t, 1, logs.FilterMessage(telemetry.EventPlatformAvailable.Text).Len())
	require.NoError(t, k.Stop(context.Background()))
	require.Equal(t, platformapi.InstanceLeaving, state())
}

// Guards against an instance that starts without a platform address.
func TestStartFailsWithoutAddress(t *testing.T) {
	s := service_platform.New(service.Self{}, service_platform.Settings{}, zap.NewNop(), metrics.NewRegistry())
	k, err := kernel.New(kernel.NewSystemClock(), []kernel.Service{s})
	require.NoError(t, err)
	require.ErrorIs(t, k.Start(context.Background()), platformapi.ErrNoAddress)
}
