package settings

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pollenpier/pollenpier/internal/strictyaml"
	"github.com/pollenpier/pollenpier/operator"
)

var logLevels = []string{"debug", "info", "warn", "error"}

// check collects the problems of settings.
type check struct {
	doc      *strictyaml.Document
	problems []error
}

func (c *check) refuse(path, format string, args ...any) {
	c.problems = append(c.problems, strictyaml.Problem{
		Line: c.doc.Line(path), Path: path, Text: fmt.Sprintf(format, args...),
	})
}

func (c *check) settings(s *Settings) {
	if !operator.ValidName(s.Zone) {
		c.refuse("zone", "must be the name of a zone of the configuration")
	}
	c.listeners(&s.Listen)
	c.remote("advertise", s.Advertise)
	if len(s.Platform.Addresses) == 0 {
		c.refuse("platform.addresses", "at least one address is needed")
	}
	for i, a := range s.Platform.Addresses {
		c.remote(fmt.Sprintf("platform.addresses[%d]", i), a)
	}
	for i, a := range s.Peers {
		c.remote(fmt.Sprintf("peers[%d]", i), a)
	}
	c.between("platform.append_timeout", s.Platform.AppendTimeout, 10*time.Millisecond, time.Minute)
	c.between("platform.read_timeout", s.Platform.ReadTimeout, 10*time.Millisecond, time.Minute)
	c.between("platform.dial_timeout", s.Platform.DialTimeout, 10*time.Millisecond, time.Minute)
	c.between("key_staleness", s.KeyStaleness, time.Second, time.Minute)
	c.between("drain_timeout", s.DrainTimeout, time.Second, time.Hour)
	if !slices.Contains(logLevels, s.LogLevel) {
		c.refuse("log_level", "must be one of %s", strings.Join(logLevels, ", "))
	}
}

// listeners checks the addresses and that no two are the same.
func (c *check) listeners(l *Listen) {
	seen := map[string]string{}
	for _, f := range []struct{ path, address string }{
		{"listen.callers", l.Callers}, {"listen.internal", l.Internal}, {"listen.peer", l.Peer}, {"listen.admin", l.Admin},
	} {
		if _, ok := c.address(f.path, f.address); !ok {
			continue
		}
		if other, ok := seen[f.address]; ok {
			c.refuse(f.path, "is the same address as %s", other)
		}
		seen[f.address] = f.path
	}
}

// remote checks an address to which others connect.
func (c *check) remote(path, address string) {
	host, ok := c.address(path, address)
	if !ok {
		return
	}
	ip, err := netip.ParseAddr(host)
	if host == "" || (err == nil && ip.IsUnspecified()) {
		c.refuse(path, "must name a host, not all interfaces")
	}
}

// address checks the form host:port and returns the host.
func (c *check) address(path, address string) (host string, ok bool) {
	if address == "" {
		c.refuse(path, "is missing")
		return "", false
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		c.refuse(path, "must be host:port")
		return "", false
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		c.refuse(path, "must end with a port number from 1 to 65535")
		return "", false
	}
	return host, true
}

func (c *check) between(path string, d, low, high time.Duration) {
	if d < low || d > high {
		c.refuse(path, "must be between %s and %s, is %s", low, high, d)
	}
}
