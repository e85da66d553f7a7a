package h1

import (
	"io"
	"math"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/httpheader"
	"github.com/pollenpier/pollenpier/internal/httpstatus"
)

// Limits of an answer. The chunks' headers and the trailer of a chunked body are limited by net/http: each line by the size of
// the read buffer, and all of them by the size of the body.
const (
	// maxHead is the maximum size in bytes of the status line and the headers.
	maxHead = 64 << 10
	// maxHeaderFields is the maximum number of lines of the headers. A parsed field needs much more memory than a short line.
	maxHeaderFields = 256
	// maxInterim is the maximum number of interim answers (status 1xx) to one request.
	maxInterim = 8
	// maxMismatched is the maximum number of answers to other requests that are skipped in one exchange.
	maxMismatched = 4
	// firstBuffer is the size in bytes of the first buffer of a body.
	firstBuffer = 1 << 10
	// maxErrorText is the maximum number of bytes of an invalid answer that an error contains.
	maxErrorText = 80
)

// read reads answers until it finds the one to the request. It reports whether the connection may be reused.
func (p *Pool) read(c *conn, r *Request) (*Response, bool, error) {
	skipped := 0
	answerShare := p.account.newShare(c.address, func() { _ = c.socket.SetDeadline(time.Unix(1, 0)) })
	defer answerShare.release()
	response, reusable, err := p.readMatching(c, r, answerShare, &skipped)
	if err != nil && answerShare.isRevoked() {
		err = limitExceeded("too much data of all answers buffered")
	}
	if skipped > 0 {
		p.skipped.Add(int64(skipped))
		if err != nil {
			err = errors.Join(err, ErrMismatched)
		}
	}
	return response, reusable && skipped == 0, err // after one mismatched answer, more may be in flight
}

// readMatching reads answers until it finds the one to the request, and counts those to other requests.
func (p *Pool) readMatching(c *conn, r *Request, s *share, skipped *int) (*Response, bool, error) {
	interim := 0
	maxBody := p.options.MaxBody
	if r.MaxBody > 0 {
		maxBody = min(maxBody, r.MaxBody)
	}
	for {
		answer, err := c.readHead(r.Method, s) //nolint:bodyclose // readBody reads the body to its end or the connection is dropped
		if err != nil {
			return nil, false, err
		}
		if answer.StatusCode < http.StatusOK {
			if interim++; interim > maxInterim {
				return nil, false, limitExceeded("too many interim answers")
			}
			continue
		}
		if p.isMismatched(answer, r) {
			if *skipped++; *skipped > maxMismatched {
				return nil, false, ErrUnknown
			}
			if err := c.skipBody(answer, p.options.MaxBody); err != nil {
				return nil, false, err
			}
			continue
		}
		body, err := c.readBody(answer, s, maxBody)
		if err != nil {
			return nil, false, err
		}
		c.updateIdleTime(answer.Header)
		response := &Response{Status: answer.StatusCode, Header: answer.Header, Body: body}
		reusable := !answer.Close && c.reader.Buffered() == 0
		if p.options.MatchHeader != "" && !c.recordAnswer(r, answer.StatusCode, answer.Header.Get(p.options.MatchHeader) != "") {
			reusable = false
		}
		return response, reusable, nil
	}
}

// isMismatched reports whether an answer belongs to another request. An answer that names no request may be one, too: an earlier
// refusal that is taken for the answer would report a request as not run that runs.
func (p *Pool) isMismatched(answer *http.Response, r *Request) bool {
	if p.options.MatchHeader == "" {
		return false
	}
	echoed := answer.Header.Values(p.options.MatchHeader)
	if len(echoed) == 0 {
		return r.Match != "" && !r.EchoOptional
	}
	return len(echoed) > 1 || echoed[0] != r.Match
}

// readHead reads the status line and the headers of the next answer.
func (c *conn) readHead(method string, s *share) (*http.Response, error) {
	c.source.left = maxHead
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // never fails for bytes that are buffered
	if !c.source.head.begin(s, buffered) {
		return nil, limitExceeded("head too large")
	}
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, c.readError(err)
	}
	c.source.left = math.MaxInt64 // the readers of the body limit it
	if err := c.checkHead(answer); err != nil {
		return nil, malformed(err)
	}
	return answer, nil
}

// checkHead returns an error for a head that is not valid although net/http has parsed it.
func (c *conn) checkHead(answer *http.Response) error {
	switch {
	case !httpstatus.IsValid(answer.StatusCode):
		return errors.Errorf("status %d", answer.StatusCode)
	case answer.StatusCode == http.StatusSwitchingProtocols:
		return errors.New("switched protocols")
	case c.source.head.folded:
		return errors.New("header line begins with a blank")
	default:
		return httpheader.CheckNames(answer.Header)
	}
}

// readBody reads the complete body of an answer. Its buffer grows with the data that arrives, and counts toward the pool's limit of
// buffered data. It does not close the body, which would read the remainder of a body that is too large.
func (c *conn) readBody(answer *http.Response, s *share, limit int64) ([]byte, error) {
	if answer.Body == http.NoBody {
		return nil, nil // the length of an answer to HEAD is that of another answer
	}
	if answer.ContentLength > limit {
		return nil, limitExceeded("body too large")
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			size := nextSize(cap(body), answer.ContentLength, limit)
			if !s.growBody(int64(size)) {
				return nil, limitExceeded("too much data of all answers buffered")
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := answer.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, limitExceeded("body too large")
		case errors.Is(err, io.EOF):
			if err := httpheader.CheckNames(answer.Trailer); err != nil {
				return nil, malformed(err)
			}
			return body, nil
		case err != nil:
			return nil, c.readError(err)
		}
	}
}

// nextSize returns the next capacity in bytes of a body's buffer: twice the present one, but not more than the body's length if
// it is known, which is -1 otherwise, and at most one byte more than the limit.
func nextSize(present int, length, limit int64) int {
	size := min(int64(max(2*present, firstBuffer)), limit+1)
	if int64(present) < length {
		size = min(size, length)
	}
	return int(size)
}

// skipBody reads the body of an answer to another request.
func (c *conn) skipBody(answer *http.Response, limit int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, limit+1))
	if err != nil {
		return c.readError(err)
	}
	if n > limit {
		return limitExceeded("body too large")
	}
	return nil
}

// readError returns the error for an answer that could not be read. It distinguishes an answer that exceeds a limit, one that
// ended too early, and one that is not valid HTTP.
func (c *conn) readError(err error) error {
	switch {
	case c.source.exceeded:
		return limitExceeded("head too large")
	case errors.Is(c.source.err, io.EOF):
		return errors.Join(ErrUnknown, io.ErrUnexpectedEOF)
	case c.source.err != nil:
		return errors.Join(ErrUnknown, c.source.err)
	default:
		// The error of net/http may quote the answer.
		text := err.Error()
		return malformed(errors.New(text[:min(len(text), maxErrorText)]))
	}
}

func malformed(cause error) error { return errors.Join(ErrUnknown, ErrMalformed, cause) }

func limitExceeded(what string) error {
	return errors.Join(ErrUnknown, ErrTooLarge, errors.New(what))
}
