package app_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/pollenpier/pollenpier/internal/app"
	"github.com/pollenpier/pollenpier/internal/settings"
	"github.com/pollenpier/pollenpier/internal/standin/backend"
	platformstandin "github.com/pollenpier/pollenpier/internal/standin/platform"
	"github.com/pollenpier/pollenpier/internal/telemetry"
	"github.com/pollenpier/pollenpier/operator"
	"github.com/pollenpier/pollenpier/operator/publish"
)

const (
	loopback    = "127.0.0.1:0"
	secretKey   = "secret-key-of-the-customer"
	testTimeout = 30 * time.Second
)

// startInstance starts one instance, a simulated platform and one simulated backend, and returns the instance and the backend.
// They are stopped at the end of the test.
func startInstance(t *testing.T, log *zap.Logger) (*app.Instance, *backend.Server) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	platform, err := platformstandin.Start(loopback, platformstandin.Options{})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, platform.Close()) })
	server, err := backend.Start(loopback, backend.Options{Slots: 2, Queue: 8, ChecksTokens: true, Secrets: []string{secretKey}})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, server.Close()) })
	config, err := operator.New().Zone("a").Customer("florist", 1000, 1000, operator.HashKey(secretKey)).
		Service(operator.Service{
			Name: "order", Partitions: 8,
			Routes: []operator.Route{
				{Path: "/look", Kind: operator.RouteIdempotent, Access: operator.AccessOpen},
				{Path: "/book", Methods: []string{"POST"}, Kind: operator.RouteAtMostOnce, Access: operator.AccessOpen},
			},
			Backends: []operator.Backend{{Name: "a1", Zone: "a", Address: server.Address(), Slots: 2, ChecksTokens: true}},
		}).Build()
	require.NoError(t, err)
	client, err := publish.NewClient(platform.Address())
	require.NoError(t, err)
	defer client.Close()
	result, err := client.Publish(ctx, 0, config, "test")
	require.NoError(t, err)
	require.True(t, result.Accepted)
	instance, err := app.New(&settings.Settings{
		Zone:         "a",
		Listen:       settings.Listen{Callers: loopback, Internal: loopback, Peer: loopback, Admin: loopback},
		Platform:     settings.Platform{Addresses: []string{platform.Address()}},
		KeyStaleness: time.Minute, DrainTimeout: 5 * time.Second, RegisterInstance: true,
	}, log)
	require.NoError(t, err)
	require.NoError(t, instance.Start(ctx))
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		require.NoError(t, instance.Stop(ctx))
	})
	return instance, server
}

// send sends a request with key as the customer's key and returns the status and the outcome.
func send(t *testing.T, instance *app.Instance, method, path, key string, header map[string]string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+instance.CallersAddress()+path, strings.NewReader("body"))
	require.NoError(t, err)
	req.Header.Set("Pollenpier-Customer-Key", key)
	req.Header.Set("Pollenpier-Key", "rose")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, resp.Header.Get("Pollenpier-Outcome")
}

// adminGet returns the body of a page of the admin listener.
func adminGet(t *testing.T, instance *app.Instance, path string) string {
	t.Helper()
	resp, err := http.Get("http://" + instance.AdminAddress() + path)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return string(body)
}

// exercise sends requests of every kind: accepted, refused, repeated, and with the customer's key in other headers or in the
// URL.
func exercise(t *testing.T, instance *app.Instance) {
	t.Helper()
	require.Eventually(t, func() bool {
		status, _ := send(t, instance, http.MethodGet, "/order/look", secretKey, nil)
		return status == http.StatusOK
	}, testTimeout, 50*time.Millisecond)
	book := map[string]string{
		"Idempotency-Key": "i-1", "Pollenpier-Age-Ms": "0", "Authorization": "Bearer " + secretKey, "Cookie": "k=" + secretKey,
	}
	for range 2 {
		status, outcome := send(t, instance, http.MethodPost, "/order/book", secretKey, book)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, "answered", outcome)
	}
	refusals := []struct {
		method, path, key string
		status            int
	}{
		{http.MethodGet, "/order/look?k=" + secretKey, secretKey, http.StatusBadRequest},
		{http.MethodGet, "/order/look", secretKey + "-wrong", http.StatusUnauthorized},
		{http.MethodPost, "/order/book", secretKey, http.StatusBadRequest},
		{http.MethodGet, "/order/nowhere", secretKey, http.StatusNotFound},
	}
	for _, r := range refusals {
		status, outcome := send(t, instance, r.method, r.path, r.key, nil)
		require.Equal(t, r.status, status, "%+v", r)
		require.Equal(t, "not-run", outcome)
	}
}

// Guards against a customer's key that appears in logs, spans, metrics, the status, the configuration output or at a backend,
// because a request carries it in a header or in the URL.
func TestCustomerKeyAppearsNowhere(t *testing.T) {
	core, logs := observer.New(zapcore.DebugLevel)
	log := zap.New(core)
	stopTracing := telemetry.StartTracing(log)
	instance, server := startInstance(t, log)
	exercise(t, instance)
	require.NoError(t, stopTracing(context.Background()))
	spans := 0
	for _, entry := range logs.All() {
		text, err := json.Marshal(entry.ContextMap())
		require.NoError(t, err)
		require.NotContains(t, entry.Message+string(text), secretKey)
		if entry.ContextMap()["event"] == int64(telemetry.EventSpan.Number) {
			spans++
		}
	}
	require.Positive(t, spans, "no spans were recorded")
	for _, path := range []string{"/metrics", "/status", "/config"} {
		body := adminGet(t, instance, path)
		require.NotEmpty(t, body)
		require.NotContains(t, body, secretKey, "GET %s", path)
	}
	resp, err := http.Get("http://" + server.Address() + backend.PathExecutions)
	require.NoError(t, err)
	defer resp.Body.Close()
	var ran backend.Executions
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&ran))
	require.NotEmpty(t, ran.Executions)
	for _, e := range ran.Executions {
		require.Empty(t, e.KeyHeaders)
	}
}

// Guards against metrics that operators cannot look up because docs/metrics.md does not list them.
func TestEveryMetricIsDocumented(t *testing.T) {
	instance, _ := startInstance(t, zap.NewNop())
	exercise(t, instance)
	page, err := os.ReadFile("../../docs/metrics.md")
	require.NoError(t, err)
	documented := documentedMetrics(string(page))
	var metrics map[string]any
	require.NoError(t, json.Unmarshal([]byte(adminGet(t, instance, "/metrics")), &metrics))
	require.NotEmpty(t, metrics)
	for name := range metrics {
		require.True(t, documented.MatchString(name), "metric %s is not in docs/metrics.md", name)
	}
}

// documentedMetrics returns an expression that matches the names in the page. A part in angle brackets stands for any name, a
// name that begins with a dot replaces the last part of the first name of its line, and square brackets mark an optional part.
func documentedMetrics(page string) *regexp.Regexp {
	var patterns []string
	for line := range strings.Lines(page) {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		first := ""
		for _, quoted := range regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(strings.Split(line, "|")[1], -1) {
			name := quoted[1]
			if strings.HasPrefix(name, ".") {
				name = first[:strings.LastIndex(first, ".")] + name
			} else {
				first = name
			}
			name = regexp.QuoteMeta(name)
			name = strings.NewReplacer(`\[`, "(", `\]`, ")?").Replace(name)
			patterns = append(patterns, regexp.MustCompile("<[a-z]+>").ReplaceAllString(name, `[a-z-]+`))
		}
	}
	return regexp.MustCompile("^(" + strings.Join(patterns, "|") + ")$")
}
