package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
	"go.uber.org/zap"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/service"
	"github.com/pollenpier/pollenpier/internal/telemetry"
)

// refusalBody is the JSON body of every outcome other than answered.
type refusalBody struct {
	Outcome   string `json:"outcome"`
	Reason    string `json:"reason"`
	Detail    string `json:"detail,omitempty"`
	RequestID string `json:"request_id"`
	RetryMS   int64  `json:"retry_ms,omitempty"`
}

// respond writes the result to the caller.
func (g *Gateway) respond(c *gin.Context, id string, resp service.Response, retryAfter time.Duration) {
	c.Header(HeaderRequestID, id)
	c.Header(HeaderOutcome, resp.Outcome.Kind.String())
	if resp.Outcome.Kind == entity.OutcomeAnswered {
		g.respondAnswer(c, id, resp)
		return
	}
	g.logOutcome(id, resp.Outcome)
	c.Header(HeaderReason, string(resp.Outcome.Reason))
	if retryAfter > 0 {
		c.Header(HeaderRetry, strconv.FormatInt(retryAfter.Milliseconds(), 10))
	}
	c.JSON(statusOf(resp.Outcome), refusalBody{
		Outcome:   resp.Outcome.Kind.String(),
		Reason:    string(resp.Outcome.Reason),
		Detail:    resp.Outcome.Detail,
		RequestID: id,
		RetryMS:   retryAfter.Milliseconds(),
	})
}

// respondAnswer streams an answer to the caller. If the answer is truncated, it aborts the caller's connection, so that the
// answer never appears complete.
func (g *Gateway) respondAnswer(c *gin.Context, id string, resp service.Response) {
	defer func() { _ = resp.Body.Close() }()
	header := c.Writer.Header()
	for name, values := range answerHeaders(resp.Header) {
		header[name] = values
	}
	if resp.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	c.Status(resp.Status)
	c.Writer.WriteHeaderNow()
	if _, err := io.Copy(flushWriter{c.Writer}, resp.Body); err != nil {
		if errors.Is(c.Request.Context().Err(), nil) {
			telemetry.EventCallerAnswerTruncated.Log(g.log, zap.String("request", id), zap.Error(err))
		}
		panic(http.ErrAbortHandler)
	}
}

// flushWriter flushes each chunk immediately, since the caller of a streamed answer waits for it.
type flushWriter struct{ w gin.ResponseWriter }

// Write implements io.Writer.
func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.w.Write(p)
	if err == nil {
		f.w.Flush()
	}
	return n, err
}

// statusOf maps an outcome to the HTTP status that callers expect.
func statusOf(o entity.Outcome) int {
	switch o.Reason {
	case entity.ReasonBadRequest:
		return http.StatusBadRequest
	case entity.ReasonUnauthenticated:
		return http.StatusUnauthorized
	case entity.ReasonForbidden:
		return http.StatusForbidden
	case entity.ReasonUnknownService, entity.ReasonUnknownRoute:
		return http.StatusNotFound
	case entity.ReasonRepeatRunning:
		return http.StatusConflict
	case entity.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case entity.ReasonRateLimited:
		return http.StatusTooManyRequests
	case entity.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		if o.Kind == entity.OutcomeUnknown {
			return http.StatusBadGateway
		}
		return http.StatusServiceUnavailable
	}
}
