package freeport_test

import (
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/freeport"
)

// Guards against two listeners of one instance that are configured with the same port, seen in CI: "listen.admin: is the same
// address as listen.callers". The address was found free and closed, and then returned a second time.
func TestReserveNeverReturnsAddressTwice(t *testing.T) {
	const callers, each = 8, 50
	var mu sync.Mutex
	seen := map[string]bool{}
	var workers sync.WaitGroup
	for range callers {
		workers.Go(func() {
			for range each {
				address, err := freeport.Reserve()
				mu.Lock()
				if err != nil || seen[address] {
					t.Errorf("address %q, error %v, returned before: %v", address, err, seen[address])
				}
				seen[address] = true
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	require.Len(t, seen, callers*each)
}

// Guards against a reserved port that is in use before the intended process listens on it: the system must not assign reserved
// ports to listeners on port 0.
func TestSystemDoesNotAssignReservedPorts(t *testing.T) {
	const listeners = 500
	reserved := map[string]bool{}
	for range 100 {
		address, err := freeport.Reserve()
		require.NoError(t, err)
		reserved[address] = true
	}
	for range listeners {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { require.NoError(t, l.Close()) }()
		require.False(t, reserved[l.Addr().String()])
	}
}
