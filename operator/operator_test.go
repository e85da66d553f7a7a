package operator_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pollenpier/pollenpier/operator"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const good = `zones:
  - name: z1
customers:
  - name: c1
    key_hashes: [HASH]
    rate: 10
    burst: 5
services:
  - name: s1
    partitions: 16
    max_run: 2s
    routes:
      - path: /items
        kind: idempotent
        access: open
    backends:
      - name: b1
        zone: z1
        address: 192.0.2.1:80
        slots: 2
`

func document(replacements ...string) []byte {
	text := strings.NewReplacer(replacements...).Replace(good)
	return []byte(strings.ReplaceAll(text, "HASH", operator.HashKey("k")))
}

func load(t *testing.T, replacements ...string) *operator.Config {
	t.Helper()
	c, err := operator.Decode(document(replacements...))
	require.NoError(t, err)
	return c
}

// Guards against a mistake in a configuration that is accepted, or rejected without its line or path.
func TestDecodeRefusesMistakes(t *testing.T) {
	c := load(t)
	require.Equal(t, operator.DefaultCutoffHold, c.Services[0].CutoffHold)
	for name, test := range map[string]struct {
		old, replacement, want string
	}{
		"unknown field":       {"rate: 10", "rate: 10\n    ratio: 2", "line 7: customers[0].ratio: unknown field"},
		"field twice":         {"burst: 5", "burst: 5\n    burst: 6", "line 8"},
		"duration as number":  {"max_run: 2s", "max_run: 2", "line 11: services[0].max_run: must be a duration"},
		"wrong unit":          {"max_run: 2s", "max_run: 2 parsecs", "line 11: services[0].max_run"},
		"fraction of a slot":  {"slots: 2", "slots: 2.5", "line 20: services[0].backends[0].slots"},
		"number in quotes":    {"rate: 10", `rate: "10"`, "line 6: customers[0].rate"},
		"number as name":      {"name: c1", "name: 12", "line 4: customers[0].name"},
		"no rate":             {"    rate: 10\n", "", "customers[0].rate"},
		"rate below zero":     {"rate: 10", "rate: -1", "line 6: customers[0].rate: must be above 0"},
		"infinite rate":       {"rate: 10", "rate: .inf", "line 6: customers[0].rate"},
		"negative burst":      {"burst: 5", "burst: -5", "line 7: customers[0].burst"},
		"short hash":          {"HASH", "abcd", "line 5: customers[0].key_hashes[0]"},
		"hash twice":          {"[HASH]", "[HASH, HASH]", "customers[0].key_hashes[1]: the same key"},
		"customer twice":      {"  - name: c1", "  - {name: c1, rate: 1, burst: 1, key_hashes: []}\n  - name: c1", "defined twice"},
		"no power of two":     {"partitions: 16", "partitions: 12", "line 10: services[0].partitions: must be a power of two"},
		"zero partitions":     {"partitions: 16", "partitions: 0", "line 10: services[0].partitions"},
		"negative partitions": {"partitions: 16", "partitions: -16", "line 10"},
		"huge partitions":     {"partitions: 16", "partitions: 1048576", "line 10: services[0].partitions"},
		"undefined zone":      {"zone: z1", "zone: z2", `line 18: services[0].backends[0].zone: zone "z2" is not defined`},
		"host name":           {"192.0.2.1:80", "example.org:80", "line 19: services[0].backends[0].address"},
		"no port":             {"192.0.2.1:80", "192.0.2.1", "line 19: services[0].backends[0].address"},
		"unknown kind":        {"kind: idempotent", "kind: sometimes", "line 14: services[0].routes[0].kind"},
		"missing access":      {"        access: open\n", "", "services[0].routes[0].access"},
		"dots in path":        {"/items", "/a/../b", "line 13: services[0].routes[0].path"},
		"lower-case method":   {"kind: idem", "methods: [get]\n        kind: idem", "services[0].routes[0].methods[0]"},
		"bad zone state":      {"- name: z1", "- name: z1\n    state: away", "line 3: zones[0].state"},
		"second document":     {"zones:", "zones: []\n---\nzones:", "line 3: only one document"},
		"alias":               {"name: c1", "name: &a c1", "customers[0].name"},
		"null":                {"rate: 10", "rate: null", "line 6: customers[0].rate"},
		"list for mapping":    {"- name: z1", "- [z1]", "line 2: zones[0]: must be a mapping"},
		"unclosed quote":      {"name: z1", `name: "z1`, "line 2"},
	} {
		t.Run(name, func(t *testing.T) {
			text := document(test.old, test.replacement)
			require.NotEqual(t, document(), text)
			_, err := operator.Decode(text)
			require.ErrorContains(t, err, test.want)
		})
	}
	_, err := operator.Decode(nil)
	require.Error(t, err)
}

// Guards against showing a key in an error, and thus in logs, if it was entered in place of its hash.
func TestErrorsDoNotShowKeys(t *testing.T) {
	for _, wrong := range []string{"secret-key", "[secret-key]", "{secret-key: 1}", `"secret-key`} {
		_, err := operator.Decode(document("[HASH]", "["+wrong+"]"))
		require.Error(t, err)
		if !strings.HasPrefix(wrong, "{") { // a field name is shown, but never a value
			require.NotContains(t, err.Error(), "secret-key")
		}
	}
}

// Guards against a stack overflow on malicious input, which recover cannot catch.
func TestDecodeRefusesDeepNesting(t *testing.T) {
	for _, text := range []string{strings.Repeat("[", 1<<16), strings.Repeat("- ", 1<<16), strings.Repeat("{a: ", 1<<16)} {
		_, err := operator.Decode([]byte(text))
		require.Error(t, err)
	}
}

// Guards against a printed configuration that differs when it is decoded again.
func FuzzDecode(f *testing.F) {
	f.Add(document())
	f.Add(document("max_run: 2s", "max_run: 2"))
	for _, name := range []string{"12", "1e3", "0x1f", "true", "null", "1_000", "2026-01-01", "010"} {
		f.Add(document("- name: z1", "- name: \""+name+"\"", "zone: z1", "zone: \""+name+"\""))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := operator.Decode(data)
		if err != nil {
			return
		}
		var printed strings.Builder
		require.NoError(t, c.Print(&printed))
		again, err := operator.Decode([]byte(printed.String()))
		require.NoError(t, err)
		require.True(t, operator.Equal(c, again))
	})
}

// Guards against a difference that a change omits or adds, also after encoding and decoding the change.
func TestDiffAndApplyAreInverse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := anyConfig(t, "a"), anyConfig(t, "b")
		change := operator.Diff(a, b)
		data, err := json.Marshal(change)
		require.NoError(t, err)
		var decoded operator.Change
		require.NoError(t, json.Unmarshal(data, &decoded))
		got, err := operator.Apply(a, decoded)
		require.NoError(t, err)
		require.True(t, operator.Equal(got, b))
		require.NoError(t, got.Validate())
		trusted, err := operator.ApplyTrusted(a, decoded)
		require.NoError(t, err)
		require.True(t, operator.Equal(trusted, b))
	})
}

// anyConfig draws a valid configuration. Settings that cannot be changed depend on the name only.
func anyConfig(t *rapid.T, label string) *operator.Config {
	pick := func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(t, label+what) }
	b := operator.New().Zone("z0", "z1", "z2")
	if pick(2, "out") == 1 {
		b.ZoneState("z2", operator.ZoneOut)
	}
	for i := range pick(4, "customers") {
		b.Customer(fmt.Sprint("c", i), float64(1+pick(9, "rate")), 1+pick(9, "burst"), operator.HashKey(fmt.Sprint(i)))
	}
	for i := range pick(3, "services") {
		s := operator.Service{
			Name:       fmt.Sprint("s", i),
			Partitions: 8 << i,
			Routes:     []operator.Route{{Path: fmt.Sprint("/p", pick(2, "path")), Kind: "idempotent", Access: "open"}},
		}
		for j := range 4 {
			if pick(2, "present") == 1 {
				s.Backends = append(s.Backends, operator.Backend{
					Name: fmt.Sprint("b", i, "-", j), Zone: fmt.Sprint("z", j%3),
					Address: fmt.Sprintf("192.0.2.%d:80", 1+i*4+j), Slots: 1 + pick(3, "slots"),
				})
			}
		}
		b.Service(s)
	}
	c, err := b.Build()
	require.NoError(t, err)
	return c
}

// Guards against changes after which two servers could own the same key for a moment, and against incomplete changes.
func TestApplyRefusesChanges(t *testing.T) {
	old := load(t)
	for name, updated := range map[string]*operator.Config{
		"partitions":         load(t, "partitions: 16", "partitions: 32"),
		"backend to zone":    load(t, "- name: z1", "- name: z1\n  - name: z2", "zone: z1", "zone: z2"),
		"backend to address": load(t, "192.0.2.1", "192.0.2.2"),
		"backend to service": load(t, "name: s1", "name: s2"),
	} {
		_, err := operator.Apply(old, operator.Diff(old, updated))
		require.ErrorIs(t, err, operator.ErrChange, name)
	}
	taken := operator.Customer{Name: "c2", Rate: 1, Burst: 1, KeyHashes: []string{operator.HashKey("k")}}
	_, err := operator.ApplyTrusted(old, operator.Change{SetCustomers: []operator.Customer{taken}})
	require.ErrorIs(t, err, operator.ErrInvalid)
	_, err = operator.Apply(old, operator.Change{RemoveCustomers: []string{"nobody"}})
	require.ErrorIs(t, err, operator.ErrChange)
	_, err = operator.Apply(old, operator.Change{RemoveZones: []string{"z1"}})
	require.ErrorIs(t, err, operator.ErrInvalid)
	_, err = operator.Apply(old, operator.Change{
		RemoveServices: []string{"s1"}, SetServices: []operator.ServiceChange{{Service: operator.Service{Name: "s1"}}},
	})
	require.ErrorIs(t, err, operator.ErrChange)
}

// Guards against changes that grow with the configuration: the change of one customer must stay well below 1 KB.
func TestChangeOfOneCustomerIsSmall(t *testing.T) {
	old := load(t)
	hashes := []string{operator.HashKey("k"), operator.HashKey("k2"), operator.HashKey("k3")}
	updated, err := operator.From(old).Customer("c1", 123.456, 789, hashes...).Build()
	require.NoError(t, err)
	data, err := json.Marshal(operator.Diff(old, updated))
	require.NoError(t, err)
	t.Logf("change of one customer with three keys: %d bytes", len(data))
	require.Less(t, len(data), 512)
}

// BenchmarkApplyAtDesignSize measures applying a change of one customer to a configuration of the design size, which
// every instance does.
func BenchmarkApplyAtDesignSize(b *testing.B) {
	builder := operator.New().Zone("z")
	for i := range 1000 {
		builder.Customer(fmt.Sprint("c", i), 1, 1, operator.HashKey(fmt.Sprint(i)))
	}
	s := operator.Service{Name: "s", Routes: []operator.Route{{Path: "/", Kind: "idempotent", Access: "open"}}}
	for i := range 10_000 {
		s.Backends = append(s.Backends, operator.Backend{
			Name: fmt.Sprint("b", i), Zone: "z", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, 1+i%250), Slots: 2,
		})
	}
	old, err := builder.Service(s).Build()
	require.NoError(b, err)
	updated, err := operator.From(old).Customer("c5", 2, 2).Build()
	require.NoError(b, err)
	change := operator.Diff(old, updated)
	for b.Loop() {
		_, err := operator.ApplyTrusted(old, change)
		require.NoError(b, err)
	}
}
