package backends_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/pollenpier/pollenpier/internal/backend"
	"github.com/pollenpier/pollenpier/internal/service/backends"
	standin "github.com/pollenpier/pollenpier/internal/standin/backend"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// Guards against answers that are truncated or belong to another request without being counted and logged, and against complete
// answers that are counted as broken.
func TestCountsAndLogsBadAnswers(t *testing.T) {
	server, err := standin.Start("127.0.0.1:0", standin.Options{})
	require.NoError(t, err)
	defer server.Close()
	core, logs := observer.New(zap.InfoLevel)
	registry := metrics.NewRegistry()
	s := backends.New(backends.Settings{}, zap.New(core), registry)
	defer s.Cleanup()
	do := func(id string) error {
		answer, err := s.Do(context.Background(), backend.Target{ID: "b", Address: server.Address()}, &backend.Call{
			RequestID: id, Method: http.MethodPost, Path: "/x", Header: http.Header{},
			Body: strings.NewReader("body"), Length: 4, Remaining: time.Minute,
		})
		if err != nil {
			return err
		}
		defer answer.Body.Close()
		_, err = io.ReadAll(answer.Body)
		return err
	}
	count := func(name string) int64 { return metrics.GetOrRegisterCounter(name, registry).Count() }
	require.NoError(t, do("r1"))
	require.Zero(t, logs.Len())
	server.SetFaults(standin.Faults{Crossed: true})
	require.Error(t, do("r2"))
	server.SetFaults(standin.Faults{Truncate: true})
	require.Error(t, do("r3"))
	require.Equal(t, 1, logs.FilterMessage(telemetry.EventAnswerMismatch.Text).Len())
	require.Equal(t, 1, logs.FilterMessage(telemetry.EventAnswerTruncated.Text).Len())
	require.EqualValues(t, 1, count("backends.failures.mismatch"))
	require.EqualValues(t, 1, count("backends.answers.broken"))
}
