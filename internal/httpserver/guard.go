package httpserver

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/decide/callerbudget"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// mode is what a guard waits for.
type mode int

// Modes of a guard.
const (
	modeIdle mode = iota // the first byte of a request
	modeHead             // the rest of a head
	modeBody             // the rest of a body
	modeBusy             // nothing: a complete request is in progress
)

// guard is the socket of a caller. It applies the limits to what the caller sends and takes. The methods that conn calls accept a nil
// guard, which has no limits.
type guard struct {
	net.Conn
	server  *Server
	limits  *Limits
	holding *callerbudget.Holding

	mu        sync.Mutex
	mode      mode
	since     time.Time // when the head or the body began
	bodyBytes int64
	outer     time.Time // the read deadline that the owner has set
	own       time.Time // the read deadline of the mode
	written   time.Time // when the write deadline was set
	ended     bool      // the caller has exceeded a limit or makes room for others
	cut       bool      // the answer that is being written makes room for others

	// The fields below are guarded by the lock of the connection.
	head     headScan
	headHeld int64 // bytes that are counted for the head
}

// admit returns a guard for a new connection, or reports false after it has refused the connection.
func (s *Server) admit(socket net.Conn) (*guard, bool) {
	g := &guard{Conn: socket, server: s, limits: s.options.Limits}
	host, _, err := net.SplitHostPort(socket.RemoteAddr().String())
	if err != nil {
		host = socket.RemoteAddr().String()
	}
	var ok bool
	g.holding, ok = g.limits.Budget.Open(host, s.now(), g.revoke)
	s.updateUsage()
	if !ok {
		g.exceeded(telemetry.EventConnectionRefused, "refused.connection")
		g.refuse(refusalBusy)
		_ = socket.Close() // nothing was read
	}
	return g, ok
}

// now is the time since the server was made, the clock of the budget.
func (s *Server) now() time.Duration { return time.Since(s.began) }

func (s *Server) updateUsage() {
	bytes, connections := s.options.Limits.Budget.Usage()
	s.held.Update(bytes)
	s.admitted.Update(connections)
}

// exceeded logs and counts that a caller has exceeded a limit.
func (g *guard) exceeded(event telemetry.Event, metric string, fields ...zap.Field) {
	bytes, connections := g.limits.Budget.Usage()
	event.Log(g.server.options.Log, append(fields, zap.Stringer("caller", g.RemoteAddr()), zap.String("listener", g.server.options.Name),
		zap.Int64("held", bytes), zap.Int64("connections", connections))...)
	metrics.GetOrRegisterCounter(g.server.options.Name+"."+metric, g.server.options.Registry).Inc(1)
}

// refuse writes a refusal, unless the caller does not take it at once.
func (g *guard) refuse(text string) {
	_ = g.SetWriteDeadline(time.Now().Add(refusalTime)) // fails only on a closed socket
	_, _ = io.WriteString(g.Conn, text)                 // the connection is closed also if this fails
}

// revoke ends what the connection waits for, so that it makes room for others. A body ends with the error of a deadline, and the
// handler answers that it has not run.
func (g *guard) revoke(state callerbudget.State) {
	g.mu.Lock()
	g.ended = true
	if state == callerbudget.Writing {
		g.cut = true
		_ = g.SetWriteDeadline(past) // fails only on a closed socket
	} else {
		g.setDeadline()
	}
	g.mu.Unlock()
	g.exceeded(telemetry.EventConnectionClosedForRoom, "closed.room", zap.Int("state", int(state)))
}

// Read implements net.Conn.
func (g *guard) Read(p []byte) (int, error) {
	if !g.prepareRead() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := g.Conn.Read(p)
	now := time.Now()
	if n > 0 {
		g.holding.Read(now.Sub(g.server.began))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case n > 0 && g.mode == modeIdle:
		g.mode, g.since = modeHead, now
	case n > 0 && g.mode == modeBody:
		g.bodyBytes += int64(n)
	case errors.Is(err, os.ErrDeadlineExceeded) && !g.ended && !g.own.IsZero() && !now.Before(g.own):
		g.ended = true
		g.late()
	}
	return n, err
}

// prepareRead sets the deadline of the next read. It reports false if the caller is not read any more.
func (g *guard) prepareRead() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return false
	}
	switch g.mode {
	case modeHead:
		g.setOwn(g.since.Add(g.limits.configured().HeadTime + headTimeTolerance))
	case modeBody:
		stalled := time.Now().Add(g.limits.pace.bodyStall)
		slow := g.since.Add(g.limits.pace.bodyGrace + time.Duration(float64(g.bodyBytes)/bodyRate*float64(time.Second)))
		if slow.Before(stalled) {
			stalled = slow
		}
		g.setOwn(stalled)
	default:
	}
	return true
}

// late reports that the caller has sent its head or body too slowly. The caller holds the lock.
func (g *guard) late() {
	if g.mode == modeBody {
		g.exceeded(telemetry.EventBodyTooSlow, "closed.body_slow", zap.Int64("bytes", g.bodyBytes), zap.Duration("age", time.Since(g.since)))
		return
	}
	g.exceeded(telemetry.EventHeadTooSlow, "closed.head_slow", zap.Int("bytes", g.head.bytes), zap.Duration("age", time.Since(g.since)))
}

// setOwn changes the deadline of the mode. The caller holds the lock.
func (g *guard) setOwn(t time.Time) {
	if !g.own.Equal(t) {
		g.own = t
		g.setDeadline()
	}
}

// setDeadline sets the earlier one of both read deadlines. The caller holds the lock.
func (g *guard) setDeadline() {
	t := g.outer
	if !g.own.IsZero() && (t.IsZero() || g.own.Before(t)) {
		t = g.own
	}
	if g.ended {
		t = past
	}
	_ = g.Conn.SetReadDeadline(t) // fails only on a closed socket
}

// SetReadDeadline implements net.Conn. While connections run short, it shortens the wait for the next request.
func (g *guard) SetReadDeadline(t time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if usual := g.server.options.IdleTimeout; g.mode == modeIdle && usual > 0 && !t.IsZero() {
		if short := time.Now().Add(g.limits.idleTime(usual)); short.Before(t) {
			t = short
		}
	}
	g.outer = t
	g.setDeadline()
	return nil
}

// Write implements net.Conn. The caller must take each piece in time.
func (g *guard) Write(p []byte) (int, error) {
	done := 0
	for {
		piece := p[done:min(done+answerPiece, len(p))]
		if !g.prepareWrite() {
			return done, os.ErrDeadlineExceeded
		}
		g.holding.Write(g.server.now())
		n, err := g.Conn.Write(piece)
		g.holding.Written(g.server.now())
		done += n
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && !g.hasEnded() {
				g.exceeded(telemetry.EventAnswerNotTaken, "closed.answer_unread", zap.Int("bytes", len(p)-done))
			}
			return done, err
		}
		if done == len(p) {
			return done, nil
		}
	}
}

// prepareWrite sets the deadline of a write. It reports false if nothing more is written.
func (g *guard) prepareWrite() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cut {
		return false
	}
	if now := time.Now(); now.Sub(g.written) > g.limits.pace.answerStall/deadlineStep {
		g.written = now
		_ = g.SetWriteDeadline(now.Add(g.limits.pace.answerStall)) // fails only on a closed socket
	}
	return true
}

// CloseWrite closes the sending direction.
func (g *guard) CloseWrite() error {
	if half, ok := g.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (g *guard) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := g.Conn.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Close implements net.Conn.
func (g *guard) Close() error {
	err := g.Conn.Close()
	g.holding.Close()
	g.server.updateUsage()
	return err
}

// hasEnded reports whether the caller has exceeded a limit or makes room for others.
func (g *guard) hasEnded() bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ended
}

// acceptHead follows data of a head before net/http parses it. It reports false if the head is refused; the connection must then be
// closed. The caller holds the lock of the connection.
func (g *guard) acceptHead(p []byte) bool {
	if g == nil {
		return true
	}
	g.head.accept(p)
	if g.head.fields > maxFields || g.head.bytes > g.limits.configured().HeadBytes+headTolerance {
		g.exceeded(telemetry.EventHeadTooLarge, "refused.head", zap.Int("bytes", g.head.bytes), zap.Int("fields", g.head.fields))
		g.end(refusalLarge)
		return false
	}
	cost := int64(headFactor*max(g.head.bytes-usualHead, 0) + fieldCost*max(g.head.fields-usualFields, 0))
	if more := cost - g.headHeld; more > 0 {
		// Grow may revoke other connections, so that it must not be called under the lock of this guard.
		if !g.holding.Grow(more, g.server.now()) {
			g.exceeded(telemetry.EventRequestWithoutMemory, "refused.memory", zap.Int("bytes", g.head.bytes))
			g.end(refusalBusy)
			return false
		}
		g.headHeld = cost
	}
	return true
}

// end refuses the request that is being read, and lets nothing more be read.
func (g *guard) end(refusal string) {
	g.mu.Lock()
	g.ended = true
	g.mu.Unlock()
	g.refuse(refusal)
}

// begin records that a handler serves a request, or delivers the answer of one that has run ahead. It reports false if the request must
// not run, since it makes room for others or the memory is used up.
func (g *guard) begin(hasBody, isPrepared bool) bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	g.mode, g.since, g.bodyBytes = modeBusy, time.Now(), 0
	if hasBody {
		g.mode = modeBody
	}
	g.setOwn(time.Time{})
	g.mu.Unlock()
	if isPrepared {
		g.holding.Protect(g.server.now())
		return true
	}
	return hasBody || g.protect()
}

// endBody records that the body of the request has been read to its end. It reports false if the request must not run.
func (g *guard) endBody() bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	first := g.mode == modeBody
	if first {
		g.mode = modeBusy
		g.setOwn(time.Time{})
	}
	g.mu.Unlock()
	return !first || g.protect()
}

// prepare counts the memory of a request that is about to run ahead and has the given head, and returns it. It reports false if the
// request has to wait for its turn.
func (g *guard) prepare(head []byte) (int64, bool) {
	if g == nil {
		return 0, true
	}
	var scan headScan
	scan.accept(head)
	if scan.fields > maxFields {
		return 0, false
	}
	cost := int64(headFactor*len(head)+fieldCost*scan.fields) + preparedCost + g.limits.Budget.ExpectedAnswer()
	if !g.holding.Grow(cost, g.server.now()) {
		return 0, false
	}
	return cost, true
}

// hold counts bytes of recorded answers. It reports false if there is no memory for them.
func (g *guard) hold(bytes int) bool { return g == nil || g.holding.Grow(int64(bytes), g.server.now()) }

// release uncounts bytes.
func (g *guard) release(bytes int64) {
	if g != nil {
		g.holding.Shrink(bytes)
	}
}

// readsAhead counts the buffer of a connection that pipelines.
func (g *guard) readsAhead() {
	if g != nil {
		g.holding.Add(maxReadAhead, g.server.now())
	}
}

// protect keeps a complete request from making room for others.
func (g *guard) protect() bool {
	if g.holding.Begin(g.server.now()) {
		return true
	}
	if !g.hasEnded() { // otherwise revoke has logged it
		g.exceeded(telemetry.EventRequestWithoutMemory, "refused.memory")
	}
	return false
}

// wait records that the answer is complete. isNext says that data of the next request has been read. The caller holds the lock of the
// connection.
func (g *guard) wait(isNext bool) {
	if g == nil {
		return
	}
	now := time.Now()
	g.holding.Wait(now.Sub(g.server.began))
	g.mu.Lock()
	g.mode = modeIdle
	if isNext {
		g.holding.Read(now.Sub(g.server.began))
		g.mode, g.since = modeHead, now
	}
	g.setOwn(time.Time{})
	g.mu.Unlock()
	g.holding.Shrink(g.headHeld)
	g.head, g.headHeld = headScan{}, 0
}
