package backend

import (
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/backend/wire"
	"github.com/pollenpier/pollenpier/internal/httpheader"
	"github.com/pollenpier/pollenpier/internal/httpstatus"
)

// headerPrefix is the prefix of the protocol's own headers, which are not forwarded to callers.
const headerPrefix = "Pollenpier-"

// Causes of failures that are found in answers.
var (
	errNoEnd             = errors.New("answer has neither a length nor an end marker")
	errSwitchedProtocols = errors.New("backend switched protocols")
	errUnidentified      = errors.New("a refusal without a request id may answer an earlier request of the connection")
)

// maxDrain is the size in bytes up to which the body of a refusal is read, so that its connection can be reused.
const maxDrain = 4096

// readAnswer returns the answer in a response, or the failure that the response means. It closes the body after a
// failure. reused is true if the connection has carried other requests.
func readAnswer(resp *http.Response, call *Call, reused bool) (*Answer, *Failure) {
	if failure := classify(resp, call, reused); failure != nil {
		if resp.ContentLength >= 0 && resp.ContentLength <= maxDrain {
			_, _ = io.Copy(io.Discard, resp.Body) // on an error the connection is dropped
		}
		_ = resp.Body.Close()
		return nil, failure
	}
	answer := &Answer{
		Status:  resp.StatusCode,
		StartID: resp.Header.Get(wire.HeaderStartID),
		Header:  answerHeader(resp.Header),
		Length:  resp.ContentLength,
		Body:    &answerBody{resp: resp, framed: framed(resp, call.Method)},
	}
	return answer, nil
}

// classify returns the failure that a response declares, or nil if the response is an answer. The request id is compared
// first, because a response to another request says nothing about this one.
func classify(resp *http.Response, call *Call, reused bool) *Failure {
	echoedID := resp.Header.Get(wire.HeaderRequestID)
	if echoedID != "" && echoedID != call.RequestID {
		return &Failure{Kind: FailureMismatch, Cause: errors.Errorf("it answers request %q", echoedID)}
	}
	if err := validate(resp); err != nil {
		return &Failure{Kind: FailureBroken, Cause: err}
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return &Failure{Kind: FailureBroken, Cause: errSwitchedProtocols}
	}
	refusal := resp.Header.Get(wire.HeaderNotRun)
	if refusal != "" && echoedID == "" && reused {
		return &Failure{Kind: FailureMismatch, Cause: errUnidentified}
	}
	switch refusal {
	case wire.RefusalShed, wire.RefusalDraining:
		return &Failure{Kind: FailureShed, Cause: errors.Errorf("status %d, %s", resp.StatusCode, refusal)}
	case wire.RefusalFenced:
		return &Failure{Kind: FailureFenced, Cause: errors.Errorf("status %d", resp.StatusCode)}
	default:
		return nil
	}
}

// validate returns an error for a response that is not valid HTTP although net/http has parsed it.
func validate(resp *http.Response) error {
	if !httpstatus.IsValid(resp.StatusCode) {
		return errors.Errorf("status %d is no HTTP status", resp.StatusCode)
	}
	return httpheader.CheckNames(resp.Header, resp.Trailer)
}

func answerHeader(h http.Header) http.Header {
	h = h.Clone()
	httpheader.DropHopByHop(h)
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) {
			delete(h, name)
		}
	}
	return h
}

// framed reports whether the end of the body can be distinguished from a lost connection.
func framed(resp *http.Response, method string) bool {
	return resp.ContentLength >= 0 || method == http.MethodHead || slices.Contains(resp.TransferEncoding, "chunked")
}

// answerBody is the body of a response. It returns io.EOF only if it is complete. All its other errors are *Failure.
type answerBody struct {
	resp   *http.Response
	framed bool
}

func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case !errors.Is(err, io.EOF):
		return n, &Failure{Kind: FailureBroken, Cause: err}
	case !b.framed:
		return n, &Failure{Kind: FailureBroken, Cause: errNoEnd}
	}
	if err := httpheader.CheckNames(b.resp.Trailer); err != nil {
		return n, &Failure{Kind: FailureBroken, Cause: err}
	}
	return n, io.EOF
}

// Close closes the body. If part of it has not been read, the connection to the backend is closed too.
func (b *answerBody) Close() error { return b.resp.Body.Close() }
