package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/backend/wire"
	"github.com/pollenpier/pollenpier/internal/entity"
)

// maxControlBytes is the maximum size in bytes of the answer to a control request.
const maxControlBytes = 64 << 10

// RenewSession implements Client. Session describes how far the backend extends the session.
func (c *HTTPClient) RenewSession(ctx context.Context, target Target, s Session) (SessionStatus, error) {
	body := wire.Session{
		Holder: string(s.Holder), Term: uint64(s.Term), TTLMs: s.TTL.Milliseconds(), StartID: s.StartID, Stamp: s.Stamp,
	}
	var answer wire.SessionStatus
	if err := c.control(ctx, target, http.MethodPut, wire.PathSession, body, &answer); err != nil {
		return SessionStatus{}, errors.Wrapf(err, "renew session of %q", target.ID)
	}
	if answer.StartID == "" {
		return SessionStatus{}, errors.Wrapf(ErrUnreachable, "session status of %q has no start id", target.ID)
	}
	return SessionStatus{
		StartID: answer.StartID, Term: entity.Term(answer.Term), Slots: answer.Slots,
		Stamp: answer.Stamp, Lapses: answer.Lapses,
	}, nil
}

// Grant implements Client.
func (c *HTTPClient) Grant(ctx context.Context, target Target, term entity.Term, grants []Grant) error {
	body := wire.Grants{Term: uint64(term), Grant: wireGrants(grants)}
	if err := c.control(ctx, target, http.MethodPut, wire.PathGrants, body, nil); err != nil {
		return errors.Wrapf(err, "grant to %q", target.ID)
	}
	return nil
}

// Revoke implements Client.
func (c *HTTPClient) Revoke(ctx context.Context, target Target, term entity.Term, grants []Grant) error {
	body := wire.Grants{Term: uint64(term), Revoke: wireGrants(grants)}
	if err := c.control(ctx, target, http.MethodPut, wire.PathGrants, body, nil); err != nil {
		return errors.Wrapf(err, "revoke from %q", target.ID)
	}
	return nil
}

// Health reads the health report.
func (c *HTTPClient) Health(ctx context.Context, target Target) (Health, error) {
	var answer wire.Health
	if err := c.control(ctx, target, http.MethodGet, wire.PathHealth, nil, &answer); err != nil {
		return Health{}, errors.Wrapf(err, "read health of %q", target.ID)
	}
	return Health{Ready: answer.Ready, Draining: answer.Draining, StartID: answer.StartID}, nil
}

// Load reads the load report.
func (c *HTTPClient) Load(ctx context.Context, target Target) (Load, error) {
	var answer wire.Load
	if err := c.control(ctx, target, http.MethodGet, wire.PathLoad, nil, &answer); err != nil {
		return Load{}, errors.Wrapf(err, "read load of %q", target.ID)
	}
	return Load{
		InFlight: answer.InFlight, Queued: answer.Queued, Connections: answer.Connections, StartID: answer.StartID,
	}, nil
}

func wireGrants(grants []Grant) []wire.Grant {
	encoded := make([]wire.Grant, 0, len(grants))
	for _, g := range grants {
		encoded = append(encoded, wire.Grant{
			Service: string(g.Service), Partition: uint32(g.Partition), Epoch: uint64(g.Epoch),
		})
	}
	return encoded
}

// controlID returns a new id for a control request.
func (c *HTTPClient) controlID() string {
	return "control-" + strconv.FormatUint(c.controls.Add(1), 10)
}

// control sends one control request and decodes the response into answer unless answer is nil.
func (c *HTTPClient) control(ctx context.Context, target Target, method, path string, body, answer any) error {
	tracker, id := new(connectionTracker), c.controlID()
	req, err := newControlRequest(tracker.trace(ctx), method, "http://"+target.Address+path, id, body)
	if err != nil {
		return err
	}
	transport := c.transportsFor(target).control
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return errors.Join(ErrUnreachable, shortened(err))
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read, or the connection is dropped
	data, err := readControlBody(resp)
	if err != nil {
		return errors.Join(ErrUnreachable, err)
	}
	if resp.Header.Get(wire.HeaderRequestID) != id {
		// The next answer on this connection cannot be told from a repetition of this one.
		transport.CloseIdleConnections()
	}
	if err := checkControlAnswer(resp, id, tracker.reused.Load()); err != nil {
		transport.CloseIdleConnections()
		return errors.Join(ErrUnreachable, err)
	}
	if resp.StatusCode != http.StatusOK {
		return controlError(resp.StatusCode, data)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return errors.Join(ErrUnreachable, errors.Wrap(err, "decode control answer"))
	}
	return nil
}

// newControlRequest returns a control request with the given id and, unless body is nil, its encoded body.
func newControlRequest(ctx context.Context, method, url, id string, body any) (*http.Request, error) {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return nil, errors.Wrap(err, "encode control request")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(encoded))
	if err != nil {
		return nil, errors.Wrap(err, "create control request")
	}
	req.Header.Set(wire.HeaderRequestID, id)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	preventReplay(req)
	return req, nil
}

// readControlBody returns the complete body of an answer to a control request.
func readControlBody(resp *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBytes+1))
	if err != nil {
		return nil, shortened(err)
	}
	if len(data) > maxControlBytes {
		return nil, errors.New("control answer too large")
	}
	return data, nil
}

// checkControlAnswer returns an error for a response that is not the answer to the control request with the given id. reused is true if
// the connection has carried other requests, so that an answer without an id may be a repetition.
func checkControlAnswer(resp *http.Response, id string, reused bool) error {
	echoedID := resp.Header.Get(wire.HeaderRequestID)
	if echoedID != id && (echoedID != "" || reused) {
		return errors.Errorf("control answer with the request id %q", echoedID[:min(len(echoedID), maxErrorText)])
	}
	return validate(resp)
}

func controlError(status int, data []byte) error {
	var body wire.Error
	if err := json.Unmarshal(data, &body); err != nil {
		return errors.Wrapf(ErrUnreachable, "status %d", status)
	}
	switch body.Code {
	case wire.CodeOutdatedTerm:
		return errors.Wrap(ErrOutdatedTerm, body.Error)
	case wire.CodeRunning:
		return errors.Wrap(ErrStillRunning, body.Error)
	default:
		return errors.Wrapf(ErrUnreachable, "status %d: %s", status, body.Error)
	}
}
