package settings_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zapcore"

	"github.com/pollenpier/pollenpier/internal/settings"
)

const good = `zone: z1
listen:
  callers: :8080
  internal: 127.0.0.1:8081
  peer: 127.0.0.1:8082
  admin: 127.0.0.1:8083
platform:
  addresses: [127.0.0.1:7000]
`

// Guards against a documented example with which an instance does not start.
func TestExampleIsValid(t *testing.T) {
	s, err := settings.Load("../../examples/instance.yaml")
	require.NoError(t, err)
	require.True(t, s.RegisterInstance)
	require.Len(t, s.Peers, 2)
	_, err = settings.Load("absent.yaml")
	require.ErrorIs(t, err, os.ErrNotExist)
}

// Guards against defaults that differ from the documented ones.
func TestDefaults(t *testing.T) {
	s, err := settings.Decode([]byte(good))
	require.NoError(t, err)
	require.Equal(t, settings.Settings{
		Zone:      "z1",
		Listen:    s.Listen,
		Advertise: "127.0.0.1:8082",
		Platform: settings.Platform{
			Addresses: []string{"127.0.0.1:7000"}, AppendTimeout: 2 * time.Second, ReadTimeout: 2 * time.Second,
			DialTimeout: 500 * time.Millisecond,
		},
		KeyStaleness: 30 * time.Second, LogLevel: "info", DrainTimeout: 30 * time.Second,
	}, *s)
	require.Equal(t, zapcore.InfoLevel, s.Level())
}

// Guards against a mistake in the settings that is accepted, or rejected without its line or path.
func TestDecodeRefusesMistakes(t *testing.T) {
	for name, test := range map[string]struct{ old, replacement, want string }{
		"unknown field":       {"zone: z1", "zone: z1\nzones: 3", "line 2: zones: unknown field"},
		"no zone":             {"zone: z1\n", "", "zone: must be"},
		"no listener":         {"  admin: 127.0.0.1:8083\n", "", "listen.admin: is missing"},
		"no port":             {"127.0.0.1:8081", "127.0.0.1", "line 4: listen.internal: must be host:port"},
		"port out of range":   {"127.0.0.1:8081", "127.0.0.1:80810", "line 4: listen.internal: must end with a port"},
		"same address twice":  {"127.0.0.1:8083", "127.0.0.1:8082", "line 6: listen.admin: is the same address as listen.peer"},
		"advertised wildcard": {"peer: 127.0.0.1:8082", "peer: :8082", "advertise: must name a host"},
		"no platform":         {"[127.0.0.1:7000]", "[]", "line 8: platform.addresses"},
		"staleness off":       {"zone: z1", "zone: z1\nkey_staleness: 0s", "line 2: key_staleness: must not be zero"},
		"staleness as number": {"zone: z1", "zone: z1\nkey_staleness: 30", "line 2: key_staleness: must be a duration"},
		"staleness too long":  {"zone: z1", "zone: z1\nkey_staleness: 1h", "line 2: key_staleness: must be between"},
		"negative timeout":    {"platform:", "platform:\n  read_timeout: -1s", "line 8: platform.read_timeout: must be between"},
		"unknown level":       {"zone: z1", "zone: z1\nlog_level: loud", "line 2: log_level: must be one of"},
		"text for a switch":   {"zone: z1", "zone: z1\ntrace: yes", "line 2: trace: must be true or false"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(good, test.old, test.replacement, 1)
			require.NotEqual(t, good, text)
			_, err := settings.Decode([]byte(text))
			require.ErrorContains(t, err, test.want)
		})
	}
}
