package httpserver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// heldListener accepts connections whose reads can be held after the data has left the socket, as in a process that is not
// scheduled.
type heldListener struct {
	net.Listener
	armed chan struct{} // the next read that gets data is held
	read  chan struct{} // a read is held
	pass  chan struct{} // the held read returns
}

// Accept implements net.Listener.
func (l *heldListener) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	return &heldConn{Conn: socket, listener: l}, err
}

type heldConn struct {
	net.Conn
	listener *heldListener
}

// Read implements net.Conn.
func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	select {
	case <-c.listener.armed:
		c.listener.read <- struct{}{}
		<-c.listener.pass
	default:
	}
	return n, err
}

// lateListener accepts connections whose reads wait until the test lets them pass, as in a process that is not scheduled.
type lateListener struct {
	net.Listener
	pass chan struct{}
}

// Accept implements net.Listener.
func (l *lateListener) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{TCPConn: socket.(*net.TCPConn), pass: l.pass}, nil
}

type lateConn struct {
	*net.TCPConn
	pass chan struct{}
}

// Read implements net.Conn.
func (c *lateConn) Read(p []byte) (int, error) {
	<-c.pass
	return c.TCPConn.Read(p)
}

// Guards against a request that lies in the socket of a process without processor time when the stop begins, and is reset.
func TestRequestInTheSocketAsTheStopBeginsIsAnswered(t *testing.T) {
	late := &lateListener{pass: make(chan struct{})}
	s := newSite(t, func(http.ResponseWriter, *http.Request) {}, func(l net.Listener) net.Listener {
		late.Listener = l
		return late
	})
	c, silent := s.dial(), s.dial()
	require.Eventually(t, func() bool { return s.server.open.Value() == 2 }, time.Second, time.Millisecond)
	c.send("unread")
	time.Sleep(50 * time.Millisecond)
	stopped := s.stop(5 * time.Second)
	time.Sleep(50 * time.Millisecond)
	close(late.pass)
	status, err := c.receive()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	_, err = silent.receive()
	require.Error(t, err)
	require.NoError(t, <-stopped)
}

// slowAcceptListener returns its connections only when the test lets them pass, as in a process that is not scheduled.
type slowAcceptListener struct {
	net.Listener
	accepted chan struct{}
	pass     chan struct{}
}

// Accept implements net.Listener.
func (l *slowAcceptListener) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- struct{}{}
		<-l.pass
	}
	return socket, err
}

// Guards against a stop that counts as finished while a connection is still being accepted, whose request is then cut.
func TestRequestOnAConnectionAcceptedAsTheStopBeginsIsAnswered(t *testing.T) {
	slow := &slowAcceptListener{accepted: make(chan struct{}), pass: make(chan struct{})}
	s := newSite(t, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(50 * time.Millisecond):
		}
		assert.NoError(t, r.Context().Err())
	}, func(l net.Listener) net.Listener {
		slow.Listener = l
		return slow
	})
	c := s.dial()
	c.send("a")
	<-slow.accepted
	stopped := s.stop(5 * time.Second)
	time.Sleep(50 * time.Millisecond)
	close(slow.pass)
	status, err := c.receive()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.NoError(t, <-stopped)
	require.Empty(t, s.unanswered())
}

// Guards against a request that is read from an open connection just as the stop closes it, and gets no answer.
func TestRequestReadAsTheStopBeginsIsAnswered(t *testing.T) {
	held := &heldListener{armed: make(chan struct{}, 1), read: make(chan struct{}), pass: make(chan struct{})}
	s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			return
		}
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusBadGateway)
		case <-time.After(stopReadTimeout + 200*time.Millisecond): // longer than any limit on the reading of the request
		}
	}, func(l net.Listener) net.Listener {
		held.Listener = l
		return held
	})
	c := s.dial()
	require.Equal(t, http.StatusOK, c.call("first"))
	held.armed <- struct{}{}
	c.send("crossing")
	<-held.read
	stopped := s.stop(5 * time.Second)
	time.Sleep(50 * time.Millisecond)
	close(held.pass)
	status, err := c.receive()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.NoError(t, <-stopped)
	require.Empty(t, s.unanswered())
}

// Guards against a stop that closes a connection of which it has read the first byte of a request while it answered another.
func TestRequestReadAheadAsTheStopBeginsIsAnswered(t *testing.T) {
	read, release := make(chan struct{}), make(chan struct{})
	s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			w.(http.Flusher).Flush() // the answer begins without an announcement of the close
			close(read)
			<-release
		}
	}, nil)
	c := s.dial()
	c.send("first")
	<-read
	c.send("second")
	time.Sleep(50 * time.Millisecond) // net/http reads ahead
	stopped := s.stop(5 * time.Second)
	time.Sleep(50 * time.Millisecond)
	close(release)
	for range 2 {
		status, err := c.receive()
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	}
	require.NoError(t, <-stopped)
}

// stop shuts the server down. The channel receives the result.
func (s *site) stop(within time.Duration) chan error {
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), within)
		defer cancel()
		stopped <- s.server.Shutdown(ctx)
	}()
	return stopped
}

// Guards against a stop that cuts the requests in progress at its time limit instead of answering that their outcome is unknown.
func TestRequestInProgressAtTheTimeLimitIsAnswered(t *testing.T) {
	s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		assert.ErrorIs(t, context.Cause(r.Context()), ErrStopping)
		w.WriteHeader(http.StatusBadGateway)
	}, nil)
	c := s.dial()
	c.send("long")
	time.Sleep(50 * time.Millisecond)
	stopped := s.stop(100 * time.Millisecond)
	status, err := c.receive()
	require.NoError(t, err)
	require.Equal(t, http.StatusBadGateway, status)
	require.ErrorIs(t, <-stopped, context.DeadlineExceeded)
	require.Empty(t, s.unanswered())
}

// Guards against a stop that leaves connections without a request open, on which a late request would be cut.
func TestStopClosesConnectionsWithoutARequest(t *testing.T) {
	s := newSite(t, func(http.ResponseWriter, *http.Request) {}, nil)
	silent, resting := s.dial(), s.dial()
	require.Equal(t, http.StatusOK, resting.call("a"))
	require.Eventually(t, func() bool { return s.server.open.Value() == 2 }, time.Second, time.Millisecond)
	require.NoError(t, <-s.stop(2*time.Second))
	for _, c := range []*caller{silent, resting} {
		_, err := c.receive()
		require.Error(t, err)
	}
}

// Guards against callers that learn of the stop only when their connection is closed under the next request: an answer that
// begins after Leave announces the close, also if its request came before.
func TestAnswersOfALeavingServerAnnounceTheClose(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	s := newSite(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/before" {
			close(begun)
			<-release
		}
	}, nil)
	before, after := s.dial(), s.dial()
	require.Equal(t, http.StatusOK, after.call("a"))
	require.False(t, after.closing)
	before.send("before")
	<-begun
	s.server.Leave()
	require.Equal(t, http.StatusOK, after.call("b"))
	require.True(t, after.closing)
	close(release)
	status, err := before.receive()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.True(t, before.closing)
}

// Guards against a connection that stays open for the idle time because its last answer began before the stop.
func TestConnectionIsClosedAfterAnAnswerThatBeganBeforeTheStop(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	s := newSite(t, func(w http.ResponseWriter, _ *http.Request) {
		w.(http.Flusher).Flush()
		close(begun)
		<-release
	}, nil)
	c := s.dial()
	c.send("a")
	<-begun
	stopped := s.stop(2 * time.Second)
	time.Sleep(50 * time.Millisecond)
	close(release)
	_, err := c.receive()
	require.NoError(t, err)
	require.NoError(t, <-stopped)
}

// Guards against a stop that waits for its whole time because a caller has sent part of a request, or an empty line after one.
func TestStopDoesNotWaitForIncompleteHeaders(t *testing.T) {
	s := newSite(t, func(http.ResponseWriter, *http.Request) {}, nil)
	half, emptyLine := s.dial(), s.dial()
	_, err := io.WriteString(half.socket, "GET /a HTTP/1.1\r\nHo")
	require.NoError(t, err)
	_, err = io.WriteString(emptyLine.socket, "POST /a HTTP/1.1\r\nHost: test\r\nContent-Length: 1\r\n\r\nx")
	require.NoError(t, err)
	status, err := emptyLine.receive()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	_, err = io.WriteString(emptyLine.socket, "\r\n")
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, <-s.stop(4*stopReadTimeout))
}

// Guards against a request whose body does not arrive and that gets no answer when the time of the stop is over.
func TestRequestWithAStalledBodyIsAnsweredAtTheTimeLimit(t *testing.T) {
	s := newSite(t, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
	}, nil)
	c := s.dial()
	_, err := io.WriteString(c.socket, "POST /a HTTP/1.1\r\nHost: test\r\nContent-Length: 10\r\n\r\nhalf")
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	stopped := s.stop(100 * time.Millisecond)
	status, err := c.receive()
	require.NoError(t, err)
	require.Equal(t, http.StatusBadRequest, status)
	require.ErrorIs(t, <-stopped, context.DeadlineExceeded)
}

// Guards against an answer that is cut while it is written and is not reported.
func TestAnswerThatIsNotReadIsReportedAtTheTimeLimit(t *testing.T) {
	s := newSite(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 64<<20)) }, nil)
	c := s.dial()
	c.send("a")
	time.Sleep(100 * time.Millisecond)
	require.ErrorIs(t, <-s.stop(100*time.Millisecond), context.DeadlineExceeded)
	require.Eventually(t, func() bool { return len(s.unanswered()) == 1 }, 2*time.Second, 5*time.Millisecond)
}

// Guards against a stop under load that closes connections of which it has read a request.
func TestStopUnderLoadLeavesNoReadRequestUnanswered(t *testing.T) {
	const rounds, callers = 10, 60
	for round := range rounds {
		var handled sync.Map // paths of the requests that reached the handler
		s := newSite(t, func(_ http.ResponseWriter, r *http.Request) {
			handled.Store(r.URL.Path, true)
			time.Sleep(time.Millisecond)
		}, nil)
		var running sync.WaitGroup
		list := make([]*caller, callers)
		for i := range list {
			list[i] = s.dial()
		}
		last := make(chan string, callers)
		for i, c := range list {
			running.Go(func() { last <- callUntilClosed(t, c, i) })
		}
		time.Sleep(100 * time.Millisecond)
		require.NoError(t, <-s.stop(5*time.Second))
		running.Wait()
		for range callers {
			path := <-last
			_, reached := handled.Load(path)
			require.False(t, reached, "round %d: %s was handled and not answered", round, path)
		}
		require.Empty(t, s.unanswered(), "round %d", round)
	}
}

// callUntilClosed sends requests until the connection is closed, and returns the path of the request that was not answered.
func callUntilClosed(t *testing.T, c *caller, index int) string {
	for i := 0; ; i++ {
		path := fmt.Sprintf("/%d-%d", index, i)
		if _, err := fmt.Fprintf(c.socket, "GET %s HTTP/1.1\r\nHost: test\r\n\r\n", path); err != nil {
			return path // the server has closed the connection between two requests
		}
		status, err := c.receive()
		if err != nil {
			assert.True(t, c.reader.Buffered() == 0 && isClosed(err), "%s: %v", path, err)
			return path
		}
		assert.Equal(t, http.StatusOK, status, path)
	}
}

// isClosed reports whether a connection ended without a byte of an answer.
func isClosed(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || err.Error() == "unexpected EOF"
}
