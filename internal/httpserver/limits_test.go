package httpserver

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/pollenpier/pollenpier/internal/decide/callerbudget"
)

// newLimitedSite starts a server with limits for its callers.
func newLimitedSite(t *testing.T, handler http.HandlerFunc, limits callerbudget.Limits, p pace) *site {
	t.Helper()
	return newSiteWith(t, handler, nil, func(o *Options) { o.Limits = &Limits{Budget: callerbudget.New(limits), pace: p} })
}

// counted returns the value of a counter of the server.
func (s *site) counted(name string) int64 {
	return metrics.GetOrRegisterCounter("test."+name, s.server.options.Registry).Count()
}

// writeAll sends raw data.
func (c *caller) writeAll(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.socket, text)
	require.NoError(c.t, err)
}

// requireClosed waits until the server has closed the connection.
func (c *caller) requireClosed() {
	c.t.Helper()
	_ = c.socket.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err := io.Copy(io.Discard, c.reader)
	require.NotErrorIs(c.t, err, os.ErrDeadlineExceeded, "the connection is open")
}

const postOf = "POST /%s HTTP/1.1\r\nHost: test\r\nContent-Length: %d\r\n\r\n"

// Guards against heads whose parsed form takes several times their size, against a handler that runs with a refused head, and against a
// limit that a head inside the stated ones reaches.
func TestHeadsAreBoundedBeforeTheyAreParsed(t *testing.T) {
	var runs atomic.Int64
	s := newLimitedSite(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) }, callerbudget.Limits{Memory: 1 << 20}, pace{})
	request := func(head string) int {
		c := s.dial()
		c.writeAll("GET / HTTP/1.1\r\nHost: test\r\n")
		c.writeAll(head)
		status, err := c.receive()
		if err != nil { // the refusal may be lost with the data that was not read
			return http.StatusRequestHeaderFieldsTooLarge
		}
		return status
	}
	require.Equal(t, http.StatusOK, request(strings.Repeat("a:\r\n", maxFields-1)+"\r\n"))
	require.Equal(t, http.StatusOK, request("a: "+strings.Repeat("x", 16300)+"\r\n\r\n"))
	require.Equal(t, http.StatusOK, request("a: "+strings.Repeat("x", 8000)+"\r\nb: "+strings.Repeat("y", 8000)+"\r\n\r\n"))
	require.EqualValues(t, 3, runs.Load())
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, request(strings.Repeat("a:\r\n", maxFields)+"\r\n"))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, request("a: "+strings.Repeat("x", defaultHeadBytes+headTolerance)+"\r\n\r\n"))
	require.EqualValues(t, 3, runs.Load())
	require.EqualValues(t, 2, s.counted("refused.head"))
	require.Empty(t, s.unanswered())
	require.Eventually(t, func() bool {
		bytes, _ := s.server.options.Limits.Budget.Usage()
		return bytes <= 5*callerbudget.ConnectionCost
	}, 5*time.Second, 10*time.Millisecond, "what the heads held is free")
}

// Guards against callers that keep others out by connections that they do not use, and against one that is served being closed for them.
func TestFullListenerClosesConnectionsWithoutProgress(t *testing.T) {
	release := make(chan struct{})
	s := newLimitedSite(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
	}, callerbudget.Limits{Memory: 1 << 20, Connections: 4, Closing: 2}, pace{})
	busy, half := s.dial(), s.dial()
	busy.send("slow")
	half.writeAll("GET / HT")
	for range 2 {
		s.dial()
	}
	require.Eventually(t, func() bool { return s.server.connections() == 4 }, 5*time.Second, time.Millisecond)
	refused := s.dial()
	status, err := refused.receive()
	require.True(t, err != nil || status == http.StatusServiceUnavailable, "status %d", status)
	require.Eventually(t, func() bool {
		late := s.dial()
		if _, err := fmt.Fprint(late.socket, "GET / HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n"); err != nil {
			return false
		}
		status, err := late.receive()
		return err == nil && status == http.StatusOK
	}, 10*time.Second, 50*time.Millisecond)
	half.requireClosed()
	close(release)
	status, err = busy.receive()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Positive(t, s.counted("closed.room"))
	require.Positive(t, s.counted("refused.connection"))
}

// Guards against a body that makes room for others and is then run, or whose caller is not told that it has not run.
func TestBodyThatMakesRoomIsNotRun(t *testing.T) {
	var runs atomic.Int64
	s := newLimitedSite(t, func(w http.ResponseWriter, r *http.Request) {
		if !Grow(r.Context(), 600<<10) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer Shrink(r.Context(), 600<<10)
		if _, err := io.ReadAll(r.Body); err != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestTimeout)
			return
		}
		runs.Add(1)
	}, callerbudget.Limits{Memory: 1 << 20}, pace{})
	stalled := s.dial()
	stalled.writeAll(fmt.Sprintf(postOf, "stalled", 10) + "nine byte")
	refusals, served := 0, 0
	require.Eventually(t, func() bool {
		c := s.dial()
		c.writeAll(fmt.Sprintf(postOf, "whole", 4) + "body")
		status, err := c.receive()
		require.NoError(t, err)
		if status != http.StatusOK {
			require.Equal(t, http.StatusServiceUnavailable, status)
			refusals++
			return false
		}
		served++ // the first one may come before the stalled body has any room
		return refusals > 0
	}, 10*time.Second, 20*time.Millisecond)
	status, err := stalled.receive()
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestTimeout, status)
	require.EqualValues(t, served, runs.Load())
}

// Guards against callers that send a body or take an answer without an end, and against a limit that ends slow but steady ones.
func TestSlowCallersAreCutOff(t *testing.T) {
	quick := pace{bodyStall: 500 * time.Millisecond, bodyGrace: time.Second, answerStall: 500 * time.Millisecond}
	s := newLimitedSite(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			_, _ = w.Write(make([]byte, 64<<20))
			return
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestTimeout)
		}
	}, callerbudget.Limits{Memory: 128 << 20}, quick)
	stalled, trickling, steady, deaf := s.dial(), s.dial(), s.dial(), s.dial()
	deaf.send("large")
	stalled.writeAll(fmt.Sprintf(postOf, "stalled", 10))
	trickling.writeAll(fmt.Sprintf(postOf, "trickling", 10000))
	steady.writeAll(fmt.Sprintf(postOf, "steady", 16<<10))
	part := strings.Repeat("x", 1<<10)
	for i := range 16 { // 1.6 s
		time.Sleep(100 * time.Millisecond)
		steady.writeAll(part)
		if i < 14 {
			_, _ = io.WriteString(trickling.socket, "x") // fails when it is cut off
		}
	}
	status, err := steady.receive()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	for _, c := range []*caller{stalled, trickling} {
		status, err = c.receive()
		require.NoError(t, err)
		require.Equal(t, http.StatusRequestTimeout, status)
	}
	require.Eventually(t, func() bool { return s.counted("closed.answer_unread") == 1 }, 10*time.Second, 20*time.Millisecond)
	require.EqualValues(t, 2, s.counted("closed.body_slow"))
}

// Guards against connections that wait for their next request while others find no room, and against a shorter timeout in calm.
func TestIdleTimeoutShortensWhileConnectionsRunShort(t *testing.T) {
	l := &Limits{Budget: callerbudget.New(callerbudget.Limits{Memory: 1 << 20, Connections: 16, Closing: 1})}
	for range 8 {
		_, ok := l.Budget.Open("a", 0, func(callerbudget.State) {})
		require.True(t, ok)
		require.Equal(t, time.Minute, l.idleTime(time.Minute))
	}
	for range 5 {
		_, ok := l.Budget.Open("a", 0, func(callerbudget.State) {})
		require.True(t, ok)
	}
	require.Equal(t, defaultIdleTime, l.idleTime(time.Minute))
}

// Guards against memory that pipelined requests hold and that is not counted, or never returned, and against requests that are lost if
// there is no memory to run them ahead.
func TestPipelinedRequestsAreCounted(t *testing.T) {
	const requests, answer = 6, 32 << 10
	for name, memory := range map[string]int64{"calm": 16 << 20, "short": 70 << 10} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			s := newSiteWith(t, func(w http.ResponseWriter, _ *http.Request) {
				<-release
				_, _ = w.Write(make([]byte, answer))
			}, nil, func(o *Options) {
				o.Concurrent = func(*http.Request) bool { return true }
				o.Limits = &Limits{Budget: callerbudget.New(callerbudget.Limits{Memory: memory})}
			})
			budget := s.server.options.Limits.Budget
			c := s.dial()
			for i := range requests {
				c.send(fmt.Sprint(i))
			}
			least := int64(callerbudget.ConnectionCost + maxReadAhead)
			if name == "calm" {
				least += (requests - 1) * preparedCost
			}
			require.Eventually(t, func() bool { bytes, _ := budget.Usage(); return bytes >= least }, 5*time.Second, time.Millisecond)
			close(release)
			for range requests {
				status, err := c.receive()
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, status)
			}
			require.Eventually(t, func() bool {
				bytes, _ := budget.Usage()
				return bytes == callerbudget.ConnectionCost
			}, 5*time.Second, time.Millisecond)
			require.NoError(t, c.socket.Close())
			require.Eventually(t, func() bool { bytes, open := budget.Usage(); return bytes == 0 && open == 0 }, 5*time.Second, time.Millisecond)
		})
	}
}

// Guards against a connection that waits for its next request while a handler of it counts as running, so that it keeps its buffer.
func TestHandlerCountsAsEndedWhenItsAnswerMayEnd(t *testing.T) {
	c := &conn{ahead: &readAhead{running: 1}}
	p := &prepared{conn: c, ended: make(chan struct{})}
	c.mu.Lock() // delays the record of the end
	go p.end()
	select {
	case <-p.ended:
		require.Zero(t, c.ahead.running)
	case <-time.After(100 * time.Millisecond):
	}
	c.mu.Unlock()
	<-p.ended
	c.mu.Lock()
	defer c.mu.Unlock()
	require.Zero(t, c.ahead.running)
}
