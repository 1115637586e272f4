package wigeonplatform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/config"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// maxResponseBytes is above the size of the largest response: 4 MB of records, or the full list of 7,300 VMs at about
// 250 bytes each.
const maxResponseBytes = 16 << 20

// Config configures a Client.
type Config struct {
	// Address is the host:port of the platform; it is required.
	Address string
	// Name is the name of this process in the header Wigeonstep-Client, default empty.
	Name string
	// ConnectTimeout bounds one attempt to connect, default 1 s.
	ConnectTimeout time.Duration
	// CallTimeout bounds a call, default 5 s. The wait of a read is added to it.
	CallTimeout time.Duration
}

// Client calls the platform. It implements wigeonstep.Log and wigeonstep.Platform and is safe for concurrent use.
type Client struct {
	config Config
	http   *client.Client
	list   vmList
}

var (
	_ wigeonstep.Log      = (*Client)(nil)
	_ wigeonstep.Platform = (*Client)(nil)

	// errConnect is wrapped by errors of calls of which nothing was sent.
	errConnect = errors.New("cannot connect")
)

// New returns a client. It connects with the first call.
func New(options Config) (*Client, error) {
	if options.Address == "" {
		return nil, errors.New("the platform has no address")
	}
	if options.ConnectTimeout <= 0 {
		options.ConnectTimeout = time.Second
	}
	if options.CallTimeout <= 0 {
		options.CallTimeout = 5 * time.Second
	}
	dialer := standard.NewDialer()
	c, err := client.NewClient(
		client.WithDialFunc(func(address string) (network.Conn, error) {
			conn, err := dialer.DialConnection("tcp", address, options.ConnectTimeout, nil)
			if err != nil {
				return nil, fmt.Errorf("%w: %w", errConnect, err)
			}
			return conn, nil
		}, dialer),
		config.ClientOption{F: func(o *config.ClientOptions) { o.MaxResponseBodySize = maxResponseBytes }},
	)
	if err != nil {
		return nil, fmt.Errorf("create the HTTP client for the platform: %w", err)
	}
	return &Client{config: options, http: c, list: vmList{updating: make(chan struct{}, 1)}}, nil
}

// Close closes the idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// Append adds a record to the stream and returns its offset. It does not retry. With ErrAnswerLost, the record may have
// been added.
func (c *Client) Append(ctx context.Context, stream wigeonstep.Stream, payload []byte) (wigeonstep.Offset, error) {
	call := call{step: "log append", method: http.MethodPost, path: PathLog + url.PathEscape(string(stream)), body: payload, mutates: true}
	body, err := c.do(ctx, call)
	if err != nil {
		return 0, err
	}
	var appended AppendResponse
	if err := json.Unmarshal(body, &appended); err != nil || appended.Offset == nil {
		return 0, c.stepError(call, fmt.Errorf("%w: the response has no offset: %w", wigeonstep.ErrAnswerLost, err))
	}
	return *appended.Offset, nil
}

// Read returns at most limit records from the offset on, and waits for the first one up to wait, at most MaxWait. With
// ErrCompacted, First and Next of the result are set.
func (c *Client) Read(ctx context.Context, stream wigeonstep.Stream, from wigeonstep.Offset, limit int, wait time.Duration) (wigeonstep.LogRead, error) {
	wait = min(max(wait, 0), MaxWait)
	query := url.Values{
		"from":    {strconv.FormatUint(uint64(from), 10)},
		"limit":   {strconv.Itoa(limit)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	call := call{step: "log read", method: http.MethodGet, path: PathLog + url.PathEscape(string(stream)) + "?" + query.Encode(), wait: wait}
	body, err := c.do(ctx, call)
	if err != nil {
		var compacted *compactedError
		if errors.As(err, &compacted) {
			return wigeonstep.LogRead{First: compacted.First, Next: compacted.Next}, err
		}
		return wigeonstep.LogRead{}, err
	}
	var records wigeonwire.Records
	if err := proto.Unmarshal(body, &records); err != nil {
		return wigeonstep.LogRead{}, c.stepError(call, fmt.Errorf("%w: %w", wigeonstep.ErrUnavailable, err))
	}
	read := wigeonstep.LogRead{
		First: wigeonstep.Offset(records.GetFirstOffset()),
		Next:  wigeonstep.Offset(records.GetNextOffset()),
	}
	for _, r := range records.GetRecords() {
		read.Records = append(read.Records, wigeonstep.LogRecord{Offset: wigeonstep.Offset(r.GetOffset()), Payload: r.GetPayload()})
	}
	return read, nil
}

// call is one request to the platform.
type call struct {
	step   string
	method string
	path   string
	body   []byte
	// mutates is set when the call changes the state of the platform, so that its effect is unknown without a response.
	mutates bool
	// wait is the time that the platform may delay its response to a long poll.
	wait time.Duration
}

// noResponseError returns the error for a call whose response did not arrive.
func (c call) noResponseError() error {
	if c.mutates {
		return wigeonstep.ErrAnswerLost
	}
	return wigeonstep.ErrUnavailable
}

// stepError wraps an error with the step of the call and the address of the platform.
func (c *Client) stepError(call call, err error) error {
	return &wigeonstep.StepError{Step: call.step, Peer: c.config.Address, Err: err}
}

// do performs a call and returns the body of its response. An error status is an error.
func (c *Client) do(ctx context.Context, call call) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, c.stepError(call, fmt.Errorf("%w: %w", wigeonstep.ErrUnavailable, err))
	}
	response, err := c.send(ctx, call)
	switch {
	case err == nil:
	case errors.Is(err, errConnect) || errors.Is(err, hertzerrors.ErrNoFreeConns):
		return nil, c.stepError(call, fmt.Errorf("%w: %w", wigeonstep.ErrUnavailable, err))
	default:
		return nil, c.stepError(call, fmt.Errorf("%w: %w", call.noResponseError(), err))
	}
	if err := statusError(call, response); err != nil {
		return nil, c.stepError(call, err)
	}
	return response.Body(), nil
}

// send sends the request and waits until the response is complete or ctx ends. The hertz client does not observe ctx, so
// it runs in a goroutine, which ends at the latest with the timeout of the request.
func (c *Client) send(ctx context.Context, call call) (*protocol.Response, error) {
	timeout := c.config.CallTimeout + call.wait
	if deadline, hasDeadline := ctx.Deadline(); hasDeadline {
		timeout = min(timeout, time.Until(deadline))
	}
	request, response := &protocol.Request{}, &protocol.Response{}
	request.SetMethod(call.method)
	request.SetRequestURI("http://" + c.config.Address + call.path)
	request.Header.Set(HeaderClient, c.config.Name)
	request.SetBody(call.body)
	request.SetOptions(config.WithRequestTimeout(timeout))
	done := make(chan error, 1)
	go func() { done <- c.http.Do(ctx, request, response) }()
	select {
	case err := <-done:
		return response, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// statusError returns the error for the status of a response, or nil if the call succeeded.
func statusError(call call, response *protocol.Response) error {
	status := response.StatusCode()
	if status == http.StatusOK || status == http.StatusNoContent {
		return nil
	}
	var errorResponse ErrorResponse
	if err := json.Unmarshal(response.Body(), &errorResponse); err != nil {
		errorResponse.Reason = http.StatusText(status)
	}
	kind := call.noResponseError()
	switch status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusConflict,
		http.StatusRequestEntityTooLarge, http.StatusTooManyRequests:
		kind = wigeonstep.ErrRejected
	case http.StatusServiceUnavailable:
		kind = wigeonstep.ErrUnavailable
	case http.StatusGone:
		return &compactedError{errorResponse}
	}
	return fmt.Errorf("%w: status %d: %s", kind, status, errorResponse.Reason)
}

// compactedError wraps ErrCompacted and holds the bounds of the stream.
type compactedError struct{ ErrorResponse }

// Error returns the text of ErrCompacted and the platform's reason.
func (e *compactedError) Error() string {
	return wigeonstep.ErrCompacted.Error() + ": " + e.Reason
}

// Unwrap returns ErrCompacted.
func (e *compactedError) Unwrap() error {
	return wigeonstep.ErrCompacted
}
