package callerbudget_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/callerbudget"
)

const mib = 1 << 20

// caller is a connection of a test and the states in which it was closed.
type caller struct {
	*callerbudget.Holding
	closed []callerbudget.State
}

func open(t *testing.T, b *callerbudget.Budget, address string, now time.Duration) *caller {
	t.Helper()
	c := &caller{}
	var ok bool
	c.Holding, ok = b.Open(address, now, func(s callerbudget.State) { c.closed = append(c.closed, s) })
	require.True(t, ok)
	return c
}

// Guards against bodies that together exceed the memory, against small ones that are refused with them, and against parts that are never
// returned. The connections have just made progress, so that none makes room.
func TestBodiesAreLimitedTogether(t *testing.T) {
	const body = 60 * mib // bytes
	b := callerbudget.New(callerbudget.LimitsFor(184*mib, 3075))
	first, second, small := open(t, b, "a", 0), open(t, b, "b", 0), open(t, b, "c", 0)
	require.True(t, first.Grow(body, 0))
	require.False(t, second.Grow(body, 0))
	require.True(t, small.Grow(callerbudget.FreeSize, 0))
	require.True(t, second.Grow(mib, 0))
	require.False(t, second.Grow(body, 0))
	first.Shrink(body)
	require.True(t, second.Grow(body, 0))
	second.Close()
	second.Close()
	small.Close()
	rest := b.Limit() - callerbudget.ConnectionCost
	require.True(t, first.Grow(rest, 0))
	require.False(t, open(t, b, "d", 0).Grow(b.Limit(), 0))
	first.Shrink(rest)
	first.Close()
	third := open(t, b, "e", 0)
	require.True(t, third.Grow(body, 0))
}

// Guards against limits that exceed the memory or the descriptors of a machine in use, and against a machine on which a single large
// body is refused.
func TestLimitsOfTheMachinesInUse(t *testing.T) {
	for memory, largest := range map[int64]int64{144: 48, 184: 64, 284: 100, 536: 200} {
		for _, descriptors := range []int{3075, 8192} {
			l := callerbudget.LimitsFor(memory*mib, descriptors)
			require.LessOrEqual(t, l.Memory+l.Answers, l.Heap-16*mib, "%d MB", memory)
			require.LessOrEqual(t, l.Heap, memory*mib*3/4)
			require.LessOrEqual(t, l.Connections+l.Closing, (descriptors-200)*3/4)
			b := callerbudget.New(l)
			require.True(t, open(t, b, "a", 0).Grow(largest*mib, 0), "%d MB", memory)
		}
	}
}

// Guards against connections without progress that keep others out, and against the wrong ones being closed: a request in progress,
// one that progresses, or one that holds little while another holds much.
func TestRoomIsMadeByConnectionsWithoutProgress(t *testing.T) {
	b := callerbudget.New(callerbudget.Limits{Memory: 16 * mib})
	later := 10 * time.Second
	handled, slow, small, large, idle := open(t, b, "a", 0), open(t, b, "b", 0), open(t, b, "c", 0), open(t, b, "d", 0), open(t, b, "e", 0)
	for _, c := range []*caller{handled, slow, small, large} {
		c.Read(0)
	}
	require.True(t, handled.Grow(6*mib, 0))
	require.True(t, handled.Begin(0))
	require.True(t, slow.Grow(3*mib, 0))
	require.True(t, small.Grow(mib, 0))
	require.True(t, large.Grow(4*mib, 0))
	slow.Read(later)
	newcomer := open(t, b, "f", later)
	require.True(t, newcomer.Grow(3*mib, later))
	require.Equal(t, []callerbudget.State{callerbudget.Reading}, large.closed)
	require.True(t, large.IsRevoked())
	require.False(t, large.Begin(later), "its body may be incomplete")
	require.False(t, large.Grow(1, later))
	for _, c := range []*caller{handled, slow, small, idle} {
		require.Empty(t, c.closed)
	}
	large.Close()
	require.True(t, handled.Begin(later), "it is protected already")
}

// Guards against a crowd that takes all connections: those that have never sent a request are closed for newcomers, oldest first, and
// before callers that were served. While all progress, newcomers are refused, but those from other addresses have a reserve.
func TestConnectionsAreLimited(t *testing.T) {
	const limit, closing = 64, 8
	b := callerbudget.New(callerbudget.Limits{Memory: 64 * mib, Connections: limit, Closing: closing})
	served := open(t, b, "caller", 0)
	served.Read(0)
	require.True(t, served.Begin(0))
	served.Wait(0)
	var crowd []*caller
	refused := 0
	for i := range limit {
		now := time.Duration(i) * time.Millisecond
		c := &caller{}
		var ok bool
		if c.Holding, ok = b.Open("crowd", now, func(s callerbudget.State) { c.closed = append(c.closed, s) }); ok {
			crowd = append(crowd, c)
		} else {
			refused++
		}
	}
	require.Equal(t, 5, refused, "the reserve and the caller that was served")
	open(t, b, "other", 100*time.Millisecond)
	now := 2 * time.Second
	for range limit / 2 {
		open(t, b, "crowd", now)
		for _, c := range crowd {
			if len(c.closed) > 0 {
				c.Close()
			}
		}
	}
	require.Empty(t, served.closed)
	require.NotEmpty(t, crowd[0].closed)
	isClosed := true
	total := 0
	for _, c := range crowd {
		require.True(t, isClosed || len(c.closed) == 0, "not the oldest first")
		isClosed = len(c.closed) > 0
		total += len(c.closed)
	}
	require.LessOrEqual(t, total, limit/2+2)
	_, live := b.Usage()
	require.LessOrEqual(t, live, int64(limit))
}

// Guards against connections that are being closed, and against descriptors that are used up by them.
func TestClosingConnectionsCount(t *testing.T) {
	b := callerbudget.New(callerbudget.Limits{Memory: 64 * mib, Connections: 32, Closing: 4})
	accepted := 0
	for i := range 200 {
		if _, ok := b.Open(fmt.Sprint(i%7), time.Duration(i)*time.Second, func(callerbudget.State) {}); ok {
			accepted++
		}
	}
	require.LessOrEqual(t, accepted, 36)
	require.Greater(t, accepted, 28)
}

// Guards against requests in progress whose answers exceed the memory when they arrive, where answers are large.
func TestRequestsInProgressAreLimitedByTheirAnswers(t *testing.T) {
	b := callerbudget.New(callerbudget.Limits{Memory: 4 * mib})
	first := open(t, b, "a", 0)
	for range 100 {
		require.True(t, first.Begin(0))
		first.Shrink(first.Charge(mib/2, 0))
		first.Wait(0)
	}
	begun := 0
	for i := range 20 {
		if open(t, b, fmt.Sprint(i), 0).Begin(0) {
			begun++
		}
	}
	require.InDelta(t, 7, begun, 1)
}

// Guards against answers that nobody takes and that exceed the memory: no further request begins, until a caller that has not taken any
// for a while makes room.
func TestAnswersThatAreNotTakenHoldBackRequests(t *testing.T) {
	b := callerbudget.New(callerbudget.Limits{Memory: 4 * mib})
	var readers []*caller
	for i := range 5 {
		c := open(t, b, fmt.Sprint(i), 0)
		c.Read(0)
		require.True(t, c.Begin(0), i)
		readers = append(readers, c)
	}
	waiting := open(t, b, "w", 0)
	for i, c := range readers {
		require.Equal(t, int64(mib), c.Charge(mib, 0))
		c.Write(time.Duration(i) * time.Millisecond)
	}
	require.False(t, waiting.Begin(0))
	c, ok := b.Open("n", time.Second, func(callerbudget.State) {})
	require.False(t, ok)
	require.NotNil(t, c)
	readers[4].Written(3 * time.Second)
	c, ok = b.Open("n", 3*time.Second, func(callerbudget.State) {})
	require.True(t, ok)
	require.True(t, c.Begin(3*time.Second))
	require.Empty(t, readers[4].closed)
	require.Equal(t, []callerbudget.State{callerbudget.Writing}, readers[0].closed)
}
