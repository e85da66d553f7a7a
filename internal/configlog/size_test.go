package configlog_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/configlog"
	"github.com/pollenpier/pollenpier/operator"
)

// maxChangeBytes is the maximum size in bytes of the record of one customer's change: 55,000 such changes a day must
// remain a small stream.
const maxChangeBytes = 1024

// Guards against changes whose size grows with the configuration, which the log and every instance would have to store
// and transfer.
func TestChangeBytes(t *testing.T) {
	for _, customers := range []int{8, 1_000, 10_000} {
		builder := operator.New().Zone("a", "b", "c")
		for i := range customers {
			builder.Customer(fmt.Sprint("customer-", i), 100, 20, operator.HashKey(fmt.Sprint("key-", i)))
		}
		old, err := builder.Build()
		require.NoError(t, err)
		for name, change := range map[string]func(*operator.Builder){
			"new rate":      func(b *operator.Builder) { b.Customer("customer-3", 200, 20, operator.HashKey("key-3")) },
			"key withdrawn": func(b *operator.Builder) { b.Customer("customer-3", 100, 20) },
			"new customer":  func(b *operator.Builder) { b.Customer("another", 100, 20, operator.HashKey("another")) },
			"two keys added": func(b *operator.Builder) {
				b.Customer("customer-3", 100, 20, operator.HashKey("x"), operator.HashKey("y"))
			},
			"zone disabled":       func(b *operator.Builder) { b.ZoneState("b", operator.ZoneOut) },
			"zone confirmed lost": func(b *operator.Builder) { b.ZoneState("c", operator.ZoneLost) },
		} {
			next := operator.From(old)
			change(next)
			updated, err := next.Build()
			require.NoError(t, err)
			payload, err := configlog.Encode(configlog.Record{
				Author: "operator", Change: &configlog.ChangeRecord{Base: 1 << 30, Change: operator.Diff(old, updated)},
			})
			require.NoError(t, err)
			t.Logf("%d customers, %s: %d bytes", customers, name, len(payload))
			require.Less(t, len(payload), maxChangeBytes, name)
		}
	}
}
