package platformapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/pollenpier/pollenpier/internal/entity"
	"github.com/pollenpier/pollenpier/internal/httpheader"
	"github.com/pollenpier/pollenpier/internal/httpstatus"
	"github.com/pollenpier/pollenpier/internal/network"
	"github.com/pollenpier/pollenpier/internal/platformapi/wire"
)

// Defaults of ClientSettings.
const (
	DefaultAppendTimeout = 2 * time.Second
	DefaultReadTimeout   = 2 * time.Second
	DefaultDialTimeout   = 500 * time.Millisecond
)

// maxAnswerBytes is the maximum size in bytes of the answer to a read. A read of 1,000 checkpoint chunks of 64 KiB,
// encoded in base64, needs 86 MiB.
const maxAnswerBytes = 128 << 20

// maxHeadBytes is the maximum size in bytes of the status line and the headers of an answer, together with its interim answers.
const maxHeadBytes = 64 << 10

// ClientSettings configures an HTTPClient.
type ClientSettings struct {
	// Addresses are the platform's addresses, host:port. At least one is required.
	Addresses []string
	// AppendTimeout is the maximum time of an append. Default 2s.
	AppendTimeout time.Duration
	// ReadTimeout is the maximum time of a request for the list, and of a read in addition to its wait. Default 2s.
	ReadTimeout time.Duration
	// DialTimeout is the maximum time to connect to one address. Default 500ms.
	DialTimeout time.Duration
	// Dial opens connections. The default uses the operating system's network.
	Dial network.DialFunc
}

// ErrNoAddress means that the settings contain no platform address.
var ErrNoAddress = errors.New("no platform address")

// errNotSent marks a failure before a connection existed, after which another address can be tried without repeating the
// request.
var errNotSent = errors.New("not sent")

// HTTPClient sends requests to the platform over HTTP. It prefers the address that answered last. It is safe for
// concurrent use.
type HTTPClient struct {
	settings  ClientSettings
	client    *http.Client
	preferred atomic.Uint32
}

var (
	_ Log          = (*HTTPClient)(nil)
	_ InstanceList = (*HTTPClient)(nil)
)

// NewHTTPClient returns a client. It fails if the settings contain no address or an invalid one.
func NewHTTPClient(s ClientSettings) (*HTTPClient, error) {
	if len(s.Addresses) == 0 {
		return nil, ErrNoAddress
	}
	for _, address := range s.Addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, errors.Wrapf(err, "platform address %q", address)
		}
	}
	setDefault(&s.AppendTimeout, DefaultAppendTimeout)
	setDefault(&s.ReadTimeout, DefaultReadTimeout)
	setDefault(&s.DialTimeout, DefaultDialTimeout)
	transport := &http.Transport{
		DialContext:         s.Dial.WithTimeout(s.DialTimeout).WithStreams(),
		MaxIdleConnsPerHost: 8, // two long polls, an append to each stream, the list, and spare ones for bursts
		IdleConnTimeout:     time.Minute,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return &HTTPClient{settings: s, client: &http.Client{Transport: transport}}, nil
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Close closes idle connections.
func (c *HTTPClient) Close() { c.client.CloseIdleConnections() }

// Append adds a record. The request is sent at most once: another address is tried only if no connection could be opened.
func (c *HTTPClient) Append(ctx context.Context, stream Stream, draft Draft) (entity.Offset, error) {
	body, err := json.Marshal(wire.Append{Writer: draft.Writer, Sequence: draft.Sequence, Payload: draft.Payload})
	if err != nil {
		return 0, errors.Wrap(err, "encode append")
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.AppendTimeout)
	defer cancel()
	onlyNotSent := func(err error) bool { return errors.Is(err, errNotSent) }
	var answer wire.Appended
	err = c.tryAddresses(onlyNotSent, func(address string) error {
		status, data, err := c.exchange(ctx, http.MethodPost, address, wire.RecordsPath(url.PathEscape(string(stream))), body)
		if err != nil {
			return err
		}
		if status >= 400 && status < 500 && status != http.StatusRequestTimeout {
			return errors.Wrapf(ErrRejected, "status %d: %s", status, errorText(data))
		}
		return decodeJSON(status, data, &answer)
	})
	if err != nil {
		return 0, errors.Wrapf(err, "append to %q", stream)
	}
	return entity.Offset(answer.Offset), nil
}

// Read returns records from an offset on. With ErrTruncated, the batch contains First and Next.
func (c *HTTPClient) Read(
	ctx context.Context, stream Stream, from entity.Offset, limit int, wait time.Duration,
) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.ReadTimeout+wait)
	defer cancel()
	query := url.Values{}
	query.Set(wire.QueryFrom, strconv.FormatUint(uint64(from), 10))
	query.Set(wire.QueryLimit, strconv.Itoa(limit))
	query.Set(wire.QueryWaitMs, strconv.FormatInt(wait.Milliseconds(), 10))
	path := wire.RecordsPath(url.PathEscape(string(stream))) + "?" + query.Encode()
	var batch Batch
	err := c.tryAddresses(isUnavailable, func(address string) error {
		status, data, err := c.exchange(ctx, http.MethodGet, address, path, nil)
		if err != nil {
			return err
		}
		batch, err = decodeBatch(status, data, from, limit)
		return err
	})
	if err != nil {
		return batch, errors.Wrapf(err, "read %q from %d", stream, from)
	}
	return batch, nil
}

// Instances returns the platform's list of instances.
func (c *HTTPClient) Instances(ctx context.Context) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.ReadTimeout)
	defer cancel()
	var answer wire.Instances
	err := c.tryAddresses(isUnavailable, func(address string) error {
		status, data, err := c.exchange(ctx, http.MethodGet, address, wire.PathInstances, nil)
		if err != nil {
			return err
		}
		return decodeJSON(status, data, &answer)
	})
	if err != nil {
		return nil, errors.Wrap(err, "read instance list")
	}
	instances := make([]Instance, 0, len(answer.Instances))
	for _, i := range answer.Instances {
		instances = append(instances, Instance{
			Address: i.Address, Zone: entity.Zone(i.Zone), State: InstanceState(i.State),
		})
	}
	return instances, nil
}

// Register adds or refreshes an entry of the list. It works only with platforms that let instances register themselves,
// such as the simulated platform.
func (c *HTTPClient) Register(ctx context.Context, i Instance) error {
	body, err := json.Marshal(wire.Instance{Address: i.Address, Zone: string(i.Zone), State: string(i.State)})
	if err != nil {
		return errors.Wrap(err, "encode registration")
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.ReadTimeout)
	defer cancel()
	return c.tryAddresses(isUnavailable, func(address string) error {
		status, data, err := c.exchange(ctx, http.MethodPut, address, wire.PathInstances, body)
		if err != nil {
			return err
		}
		if status >= 300 {
			return errors.Wrapf(ErrUnavailable, "status %d: %s", status, errorText(data))
		}
		return nil
	})
}

func isUnavailable(err error) bool { return errors.Is(err, ErrUnavailable) }

// tryAddresses calls try for each address, starting with the preferred one, until try succeeds or its error is not
// retryable.
func (c *HTTPClient) tryAddresses(retryable func(error) bool, try func(address string) error) error {
	count := uint32(len(c.settings.Addresses))
	first := c.preferred.Load()
	var err error
	for i := range count {
		index := (first + i) % count
		if err = try(c.settings.Addresses[index]); err == nil || !retryable(err) {
			c.preferred.Store(c.nextPreferred(index, err))
			return err
		}
	}
	return err
}

// nextPreferred returns the index of the address to prefer after a result: the same one unless the address was
// unavailable.
func (c *HTTPClient) nextPreferred(index uint32, err error) uint32 {
	if isUnavailable(err) {
		return (index + 1) % uint32(len(c.settings.Addresses))
	}
	return index
}

// exchange sends one request and reads the complete answer. Failures of the exchange are ErrUnavailable.
func (c *HTTPClient) exchange(ctx context.Context, method, address, path string, body []byte) (int, []byte, error) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "create request")
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		if text := err.Error(); len(text) > maxErrorText { // net/http may quote an invalid answer
			err = errors.New(text[:maxErrorText])
		}
		if !connected {
			err = errors.Join(errNotSent, err)
		}
		return 0, nil, errors.Join(ErrUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read, or the connection is dropped
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, errors.Join(ErrUnavailable, err)
	}
	if !httpstatus.IsValid(resp.StatusCode) {
		return 0, nil, errors.Wrapf(ErrUnavailable, "status %d", resp.StatusCode)
	}
	if err := httpheader.CheckNames(resp.Header, resp.Trailer); err != nil {
		return 0, nil, errors.Join(ErrUnavailable, err)
	}
	return resp.StatusCode, data, nil
}
