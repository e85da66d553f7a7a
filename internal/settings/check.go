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

// validator collects the problems of settings.
type validator struct {
	doc      *strictyaml.Document
	problems []error
}

func (v *validator) addProblem(path, format string, args ...any) {
	v.problems = append(v.problems, strictyaml.Problem{
		Line: v.doc.Line(path), Path: path, Text: fmt.Sprintf(format, args...),
	})
}

func (v *validator) checkSettings(s *Settings) {
	if !operator.ValidName(s.Zone) {
		v.addProblem("zone", "must be the name of a zone in the configuration")
	}
	v.checkListeners(&s.Listen)
	v.checkRemote("advertise", s.Advertise)
	if len(s.Platform.Addresses) == 0 {
		v.addProblem("platform.addresses", "at least one address is required")
	}
	for i, a := range s.Platform.Addresses {
		v.checkRemote(fmt.Sprintf("platform.addresses[%d]", i), a)
	}
	for i, a := range s.Peers {
		v.checkRemote(fmt.Sprintf("peers[%d]", i), a)
	}
	v.checkDuration("platform.append_timeout", s.Platform.AppendTimeout, 10*time.Millisecond, time.Minute)
	v.checkDuration("platform.read_timeout", s.Platform.ReadTimeout, 10*time.Millisecond, time.Minute)
	v.checkDuration("platform.dial_timeout", s.Platform.DialTimeout, 10*time.Millisecond, time.Minute)
	v.checkDuration("key_staleness", s.KeyStaleness, time.Second, time.Minute)
	v.checkDuration("drain_timeout", s.DrainTimeout, time.Second, time.Hour)
	if !slices.Contains(logLevels, s.LogLevel) {
		v.addProblem("log_level", "must be one of %s", strings.Join(logLevels, ", "))
	}
}

// checkListeners checks the addresses of the listeners and that they are different.
func (v *validator) checkListeners(l *Listen) {
	seen := map[string]string{}
	for _, f := range []struct{ path, address string }{
		{"listen.callers", l.Callers}, {"listen.internal", l.Internal}, {"listen.peer", l.Peer}, {"listen.admin", l.Admin},
	} {
		if _, ok := v.checkAddress(f.path, f.address); !ok {
			continue
		}
		if other, ok := seen[f.address]; ok {
			v.addProblem(f.path, "is the same address as %s", other)
		}
		seen[f.address] = f.path
	}
}

// checkRemote checks an address to which this instance or its peers connect.
func (v *validator) checkRemote(path, address string) {
	host, ok := v.checkAddress(path, address)
	if !ok {
		return
	}
	ip, err := netip.ParseAddr(host)
	if host == "" || (err == nil && ip.IsUnspecified()) {
		v.addProblem(path, "must name a host, not all interfaces")
	}
}

// checkAddress checks that an address has the form host:port and returns the host.
func (v *validator) checkAddress(path, address string) (host string, ok bool) {
	if address == "" {
		v.addProblem(path, "is missing")
		return "", false
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		v.addProblem(path, "must be host:port")
		return "", false
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		v.addProblem(path, "must end with a port number from 1 to 65535")
		return "", false
	}
	return host, true
}

func (v *validator) checkDuration(path string, d, low, high time.Duration) {
	if d < low || d > high {
		v.addProblem(path, "must be between %s and %s, is %s", low, high, d)
	}
}
