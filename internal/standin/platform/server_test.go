package platform_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/platformapi"
	standin "github.com/pollenpier/pollenpier/internal/standin/platform"
)

// Guards against an instance list that keeps instances which no longer refresh their entries.
func TestEntryExpiresWithoutRefresh(t *testing.T) {
	server, err := standin.Start("127.0.0.1:0", standin.Options{ListExpiry: 30 * time.Millisecond})
	require.NoError(t, err)
	defer server.Close()
	client, err := platformapi.NewHTTPClient(platformapi.ClientSettings{Addresses: []string{server.Address()}})
	require.NoError(t, err)
	defer client.Close()
	entry := platformapi.Instance{Address: "127.0.0.1:1", Zone: "a", State: platformapi.InstanceLive}
	require.NoError(t, client.Register(t.Context(), entry))
	require.Eventually(t, func() bool {
		list, err := client.Instances(t.Context())
		return err == nil && len(list) == 0
	}, 10*time.Second, 5*time.Millisecond)
}

// Guards against records that are kept longer than Options.KeepAge.
func TestOldRecordsAreDropped(t *testing.T) {
	server, err := standin.Start("127.0.0.1:0", standin.Options{KeepAge: 20 * time.Millisecond})
	require.NoError(t, err)
	defer server.Close()
	client, err := platformapi.NewHTTPClient(platformapi.ClientSettings{Addresses: []string{server.Address()}})
	require.NoError(t, err)
	defer client.Close()
	_, err = client.Append(t.Context(), platformapi.StreamControl, platformapi.Draft{Writer: "w"})
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		batch, _ := client.Read(t.Context(), platformapi.StreamControl, 0, 1, 0)
		return batch.First == 1
	}, 10*time.Second, 5*time.Millisecond)
}

// Guards against a fault switch that has no effect when set by HTTP, or that accepts an invalid body.
func TestFaultsAreSetByRequest(t *testing.T) {
	server, err := standin.Start("127.0.0.1:0", standin.Options{})
	require.NoError(t, err)
	defer server.Close()
	put := func(body string) int {
		req, err := http.NewRequest(http.MethodPut, "http://"+server.Address()+standin.PathFaults, strings.NewReader(body))
		require.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp.StatusCode
	}
	require.Equal(t, http.StatusBadRequest, put(`{"outage": "yes"}`))
	require.Equal(t, http.StatusOK, put(`{"outage": true}`))
	resp, err := http.Get("http://" + server.Address() + "/v1/instances")
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
}
