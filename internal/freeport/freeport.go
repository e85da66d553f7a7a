// Package freeport reserves loopback ports for tests and benchmarks that must know the addresses of processes before they start.
// A port that is found free by opening and closing a listener may be assigned to another listener on port 0, to an outgoing
// connection or to the next caller before it is used. Therefore reserved ports lie below the system's ephemeral port range, and
// a locked file reserves each port until the reserving process exits.
package freeport

import (
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"

	"github.com/go-faster/errors"
)

// Range of ports that may be reserved. The system's ephemeral port range begins at 32768.
const (
	firstPort = 15000
	lastPort  = 31999
)

// attempts is the maximum number of ports that are tried for one reservation.
const attempts = 1000

// loopback is the host of all addresses.
const loopback = "127.0.0.1"

var (
	mu sync.Mutex
	// locks keeps the locked files open until the process exits.
	locks []*os.File
)

// Reserve returns a loopback address, host:port, whose port is free for TCP and UDP. While this process runs, no other call in
// this or another process returns the same address. It fails if no free port is found in a bounded number of attempts.
func Reserve() (string, error) {
	dir := filepath.Join(os.TempDir(), "pollenpier-ports")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", errors.Wrap(err, "reserve a port")
	}
	for range attempts {
		port := firstPort + rand.IntN(lastPort-firstPort+1) //nolint:gosec // any port will do
		address := net.JoinHostPort(loopback, strconv.Itoa(port))
		lock, err := lockFile(filepath.Join(dir, strconv.Itoa(port)))
		if err != nil {
			return "", err
		}
		if lock == nil {
			continue
		}
		if !bindable(address) {
			_ = lock.Close() // releases the lock; nothing was written
			continue
		}
		mu.Lock()
		locks = append(locks, lock)
		mu.Unlock()
		return address, nil
	}
	return "", errors.Errorf("no free port in %d attempts", attempts)
}

// lockFile opens and locks a file. It returns nil if another reservation has locked it.
func lockFile(path string) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600) //nolint:gosec // the path consists of the temporary directory and a port number
	if err != nil {
		return nil, errors.Wrap(err, "reserve a port")
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return file, nil
	}
	_ = file.Close() // it was only opened
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, nil
	}
	return nil, errors.Wrap(err, "reserve a port")
}

// bindable reports whether an address is free for TCP and UDP.
func bindable(address string) bool {
	stream, err := net.Listen("tcp4", address) //nolint:noctx // closed at once
	if err != nil {
		return false
	}
	_ = stream.Close()                                // nothing was accepted
	packets, err := net.ListenPacket("udp4", address) //nolint:noctx // closed at once
	if err != nil {
		return false
	}
	_ = packets.Close() // nothing was received
	return true
}
