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

// maxAnswerBytes is above the largest answer: 4 MB of records, or the full list of 7,300 VMs at about 250 bytes each.
const maxAnswerBytes = 16 << 20

// Config configures a Client.
type Config struct {
	// Address is host:port of the platform; it has no default.
	Address string
	// Name names this process to the platform; default empty.
	Name string
	// ConnectTimeout bounds one attempt to connect, default 1 s.
	ConnectTimeout time.Duration
	// CallTimeout bounds a call, on top of the wait of a read, default 5 s.
	CallTimeout time.Duration
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	config Config
	http   *client.Client
	list   vmList
}

var (
	_ wigeonstep.Log      = (*Client)(nil)
	_ wigeonstep.Platform = (*Client)(nil)

	// errConnect marks a call of which nothing was sent.
	errConnect = errors.New("cannot connect")
)

// New returns a client. It does not connect.
func New(settings Config) (*Client, error) {
	if settings.Address == "" {
		return nil, errors.New("the platform has no address")
	}
	if settings.ConnectTimeout <= 0 {
		settings.ConnectTimeout = time.Second
	}
	if settings.CallTimeout <= 0 {
		settings.CallTimeout = 5 * time.Second
	}
	dialer := standard.NewDialer()
	c, err := client.NewClient(
		client.WithDialFunc(func(address string) (network.Conn, error) {
			conn, err := dialer.DialConnection("tcp", address, settings.ConnectTimeout, nil)
			if err != nil {
				return nil, fmt.Errorf("%w: %w", errConnect, err)
			}
			return conn, nil
		}, dialer),
		config.ClientOption{F: func(o *config.ClientOptions) { o.MaxResponseBodySize = maxAnswerBytes }},
	)
	if err != nil {
		return nil, fmt.Errorf("start the platform client: %w", err)
	}
	return &Client{config: settings, http: c, list: vmList{turn: make(chan struct{}, 1)}}, nil
}

// Close closes the idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// Append implements wigeonstep.Log.
func (c *Client) Append(ctx context.Context, stream wigeonstep.Stream, payload []byte) (wigeonstep.Offset, error) {
	call := call{step: "log append", method: http.MethodPost, path: PathLog + url.PathEscape(string(stream)), body: payload, changes: true}
	body, err := c.do(ctx, call)
	if err != nil {
		return 0, err
	}
	var answer AppendAnswer
	if err := json.Unmarshal(body, &answer); err != nil || answer.Offset == nil {
		return 0, c.failed(call, fmt.Errorf("%w: the answer names no offset: %w", wigeonstep.ErrAnswerLost, err))
	}
	return *answer.Offset, nil
}

// Read implements wigeonstep.Log. With ErrCompacted, the bounds of the stream are set.
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
		var gone *compactedError
		if errors.As(err, &gone) {
			return wigeonstep.LogRead{First: gone.First, Next: gone.Next}, err
		}
		return wigeonstep.LogRead{}, err
	}
	var records wigeonwire.Records
	if err := proto.Unmarshal(body, &records); err != nil {
		return wigeonstep.LogRead{}, c.failed(call, fmt.Errorf("%w: %w", wigeonstep.ErrUnavailable, err))
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
	// changes is set when the call has an effect on the platform.
	changes bool
	// wait is the time that the platform may wait before it answers.
	wait time.Duration
}

// unsure returns the error for a call whose answer did not arrive.
func (c call) unsure() error {
	if c.changes {
		return wigeonstep.ErrAnswerLost
	}
	return wigeonstep.ErrUnavailable
}

func (c *Client) failed(call call, err error) error {
	return &wigeonstep.StepError{Step: call.step, Peer: c.config.Address, Err: err}
}

// do returns the body of the answer to a call that succeeded.
func (c *Client) do(ctx context.Context, call call) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, c.failed(call, fmt.Errorf("%w: %w", wigeonstep.ErrUnavailable, err))
	}
	response, err := c.send(ctx, call)
	switch {
	case err == nil:
	case errors.Is(err, errConnect) || errors.Is(err, hertzerrors.ErrNoFreeConns):
		return nil, c.failed(call, fmt.Errorf("%w: %w", wigeonstep.ErrUnavailable, err))
	default:
		return nil, c.failed(call, fmt.Errorf("%w: %w", call.unsure(), err))
	}
	if err := judge(call, response); err != nil {
		return nil, c.failed(call, err)
	}
	return response.Body(), nil
}

// send sends the request and waits until the answer is complete or ctx ends. The hertz client does not watch ctx, so
// it runs on a goroutine that ends with the timeout of the request at the latest.
func (c *Client) send(ctx context.Context, call call) (*protocol.Response, error) {
	timeout := c.config.CallTimeout + call.wait
	if deadline, bounded := ctx.Deadline(); bounded {
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

// judge returns the error that the status of an answer stands for.
func judge(call call, response *protocol.Response) error {
	status := response.StatusCode()
	if status == http.StatusOK || status == http.StatusNoContent {
		return nil
	}
	var problem Problem
	if err := json.Unmarshal(response.Body(), &problem); err != nil {
		problem.Reason = http.StatusText(status)
	}
	kind := call.unsure()
	switch status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusConflict,
		http.StatusRequestEntityTooLarge, http.StatusTooManyRequests:
		kind = wigeonstep.ErrRejected
	case http.StatusServiceUnavailable:
		kind = wigeonstep.ErrUnavailable
	case http.StatusGone:
		return &compactedError{problem}
	}
	return fmt.Errorf("%w: status %d: %s", kind, status, problem.Reason)
}

// compactedError is ErrCompacted with the bounds of the stream.
type compactedError struct{ Problem }

// Error implements error.
func (e *compactedError) Error() string {
	return wigeonstep.ErrCompacted.Error() + ": " + e.Reason
}

// Unwrap returns ErrCompacted.
func (e *compactedError) Unwrap() error {
	return wigeonstep.ErrCompacted
}
