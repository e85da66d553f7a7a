package backend

import (
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/backend/wire"
)

// headerPrefix starts the names of the protocol's own headers, which are not passed on to callers.
const headerPrefix = "Pollenpier-"

// Causes of failures in answers.
var (
	errNoEnd       = errors.New("answer has neither length nor end marker")
	errUnsolicited = errors.New("back end switched protocols")
)

// maxDrain is the size in bytes up to which the body of a refusal is read so that its connection can be used again.
const maxDrain = 4096

// readAnswer classifies a response. It closes the body of a response that is no usable answer.
func readAnswer(resp *http.Response, call *Call) (*Answer, *Failure) {
	if failure := classify(resp, call); failure != nil {
		if resp.ContentLength >= 0 && resp.ContentLength <= maxDrain {
			_, _ = io.Copy(io.Discard, resp.Body) // on an error the connection is given up
		}
		_ = resp.Body.Close()
		return nil, failure
	}
	answer := &Answer{
		Status:  resp.StatusCode,
		StartID: resp.Header.Get(wire.HeaderStartID),
		Header:  answerHeader(resp.Header),
		Length:  resp.ContentLength,
		Body:    &answerBody{body: resp.Body, framed: framed(resp, call.Method)},
	}
	return answer, nil
}

// classify returns the failure that a response declares, nil if it is an answer. The request id is compared first, since
// nothing else in another request's response concerns this request.
func classify(resp *http.Response, call *Call) *Failure {
	echo := resp.Header.Get(wire.HeaderRequestID)
	if echo != "" && echo != call.RequestID {
		return &Failure{Kind: FailureMismatch, Cause: errors.Errorf("answer to request %q", echo)}
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return &Failure{Kind: FailureBroken, Cause: errUnsolicited}
	}
	switch refusal := resp.Header.Get(wire.HeaderNotRun); refusal {
	case wire.RefusalShed, wire.RefusalDraining:
		return &Failure{Kind: FailureShed, Cause: errors.Errorf("status %d, %s", resp.StatusCode, refusal)}
	case wire.RefusalFenced:
		return &Failure{Kind: FailureFenced, Cause: errors.Errorf("status %d", resp.StatusCode)}
	default:
		return nil
	}
}

func answerHeader(h http.Header) http.Header {
	h = h.Clone()
	removeHop(h)
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
	return h
}

// framed reports whether the end of the body can be told from a broken connection.
func framed(resp *http.Response, method string) bool {
	return resp.ContentLength >= 0 || method == http.MethodHead || slices.Contains(resp.TransferEncoding, "chunked")
}

// answerBody is a body that ends with io.EOF only if it is complete. Its other errors are *Failure.
type answerBody struct {
	body   io.ReadCloser
	framed bool
}

func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && b.framed:
		return n, io.EOF
	case errors.Is(err, io.EOF):
		return n, &Failure{Kind: FailureBroken, Cause: errNoEnd}
	default:
		return n, &Failure{Kind: FailureBroken, Cause: err}
	}
}

// Close closes the body. An unread rest breaks the connection to the back end.
func (b *answerBody) Close() error { return b.body.Close() }
