package catalog_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/catalog"
)

func route(name, host, prefix string, targets ...catalog.Target) *catalog.Route {
	return &catalog.Route{Name: name, Host: host, PathPrefix: prefix, Targets: targets, Timeout: time.Second, MaxAttempts: 1}
}

// Guards against routing a request by a shorter prefix although a longer one matches, or by a prefix of another host.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	all := catalog.Target{Service: "s", Weight: 1}
	c, err := catalog.New(1, []*catalog.Route{
		route("short", "h", "/a/", all), route("long", "h", "/a/b/", all), route("other", "g", "/a/b/c/", all),
	}, []*catalog.Service{{Name: "s"}}, catalog.Access{Open: true}, catalog.CallerLimits{})
	require.NoError(t, err)
	for path, want := range map[string]string{"/a/x": "short", "/a/b/": "long", "/a/b/c/d": "long", "/a/b": "short"} {
		r, ok := c.Route("h", path)
		require.True(t, ok, path)
		require.Equal(t, want, r.Name, path)
	}
	for _, path := range []string{"/", "/a", "/x/a/"} {
		_, ok := c.Route("h", path)
		require.False(t, ok, path)
	}
}

// Guards against accepting a configuration with an invalid part, which would become effective although it is not usable.
func TestInvalidConfigurationsAreRefusedWithTheirCause(t *testing.T) {
	good := catalog.Target{Service: "s", Weight: 1}
	services := []*catalog.Service{{Name: "s"}}
	for name, c := range map[string]struct {
		route     *catalog.Route
		customers []*catalog.Customer
		want      error
	}{
		"unknown service": {route("r", "h", "/a/", catalog.Target{Service: "x", Weight: 1}), nil, catalog.ErrUnknownService},
		"bare prefix":     {route("r", "h", "/a", good), nil, catalog.ErrBadPrefix},
		"no host":         {route("r", "", "/a/", good), nil, catalog.ErrNoHost},
		"no target":       {route("r", "h", "/a/"), nil, catalog.ErrNoTarget},
		"negative weight": {route("r", "h", "/a/", good, catalog.Target{Service: "s", Weight: -1}), nil, catalog.ErrNegative},
		"shared key": {route("r", "h", "/a/", good),
			[]*catalog.Customer{{ID: "a", Keys: []string{"k"}}, {ID: "b", Keys: []string{"k"}}}, catalog.ErrSharedKey},
	} {
		_, err := catalog.New(1, []*catalog.Route{c.route}, services, catalog.Access{Customers: c.customers}, catalog.CallerLimits{})
		require.ErrorIs(t, err, c.want, name)
	}
}
