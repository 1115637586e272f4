package wigeonfake

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/wigeonstep/wigeonstep"
)

const (
	defaultInFlight    = 4096
	defaultCallTimeout = 90 * time.Second
	// maxCallerAnswerBytes is the limit of wigeonstep for an answer.
	maxCallerAnswerBytes = 8 << 20
)

// Caller sends the arrivals of a trace to entry processes and checks every answer. Its fields are set before Run.
type Caller struct {
	// Entries are addresses (host:port) that arrivals are spread over; at least one.
	Entries []string
	// InFlight bounds the requests under way, each on its own connection; default 4096. The time that an arrival waits
	// for this bound counts as its wait.
	InFlight int
	// Timeout is how long a caller waits for an answer, default 90 s.
	Timeout time.Duration
	// KeyPrefix is put before every key and every body, so that a trace can be run again within the lifetime of keys.
	KeyPrefix string
	// Counts returns how often work ran, from the servers behind the entries; nil skips the checks that need it.
	Counts func(ctx context.Context) (RunCounts, error)
	// Settle is how long to wait at the end until all accepted jobs have run; default 0.
	Settle time.Duration
}

// callOutcome is what became of one arrival, as its caller saw it.
type callOutcome string

const (
	callDone      = callOutcome(wigeonstep.OutcomeDone)
	callNotRun    = callOutcome(wigeonstep.OutcomeNotRun)
	callUnknown   = callOutcome(wigeonstep.OutcomeUnknown)
	callAccepted  = callOutcome(wigeonstep.OutcomeAccepted)
	callNoAnswer  = callOutcome("no_answer")
	callCancelled = callOutcome("cancelled")
	callBad       = callOutcome("bad")
)

type callResult struct {
	arrival Arrival
	body    []byte
	outcome callOutcome
	took    time.Duration
	detail  string
}

// Run sends all arrivals at their times and returns the report. An error of Counts, or of ctx, is returned with the
// report of what was seen until then.
func (c *Caller) Run(ctx context.Context, arrivals []Arrival) (*Report, error) {
	if len(c.Entries) == 0 {
		return nil, errors.New("the caller has no entry address")
	}
	inFlight := c.InFlight
	if inFlight <= 0 {
		inFlight = defaultInFlight
	}
	client := c.client(inFlight)
	defer client.CloseIdleConnections()
	results := make([]callResult, len(arrivals))
	slots := make(chan struct{}, inFlight)
	var calls sync.WaitGroup
	start := time.Now()
	for i, arrival := range arrivals {
		due := start.Add(arrival.offset())
		if pause(ctx, time.Until(due)) != nil {
			results = results[:i]
			break
		}
		calls.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			results[i] = c.call(ctx, client, i, arrival, due)
		})
	}
	calls.Wait()
	return c.report(ctx, results)
}

// client is the client of the standard library, because it closes the connection of a request whose context ends, as
// a caller that gives up does.
func (c *Caller) client(inFlight int) *http.Client {
	dialer := net.Dialer{Timeout: 2 * time.Second}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: inFlight,
			// Below the idle timeout of the entry process, so that a request rarely meets a connection that closes.
			IdleConnTimeout:    2 * time.Second,
			DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

func (c *Caller) call(ctx context.Context, client *http.Client, index int, arrival Arrival, due time.Time) callResult {
	result := callResult{arrival: arrival, body: c.body(index, arrival)}
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = defaultCallTimeout
	}
	if arrival.CancelMS > 0 {
		timeout = min(timeout, time.Duration(arrival.CancelMS)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result.outcome, result.detail = c.try(ctx, client, index, result)
	if ctx.Err() != nil && result.outcome == callNoAnswer && arrival.CancelMS > 0 {
		result.outcome = callCancelled
	}
	result.took = time.Since(due)
	return result
}

// body is the same for arrivals with the same key and differs between all others.
func (c *Caller) body(index int, arrival Arrival) []byte {
	if arrival.Key != "" {
		return fmt.Appendf(nil, `{"call":%q}`, c.KeyPrefix+"key-"+string(arrival.Key))
	}
	return fmt.Appendf(nil, `{"call":%q}`, c.KeyPrefix+"arrival-"+strconv.Itoa(index))
}

// try sends the request to one entry, and to the next ones as long as it cannot connect, as a load balancer does.
func (c *Caller) try(ctx context.Context, client *http.Client, index int, result callResult) (callOutcome, string) {
	var detail string
	for attempt := range c.Entries {
		response, err := c.send(ctx, client, c.Entries[(index+attempt)%len(c.Entries)], result)
		if err == nil {
			defer response.Body.Close() //nolint:errcheck // the body is only read
			return judgeAnswer(response, result.body)
		}
		detail = err.Error()
		var failed *net.OpError
		if !errors.As(err, &failed) || failed.Op != "dial" {
			break
		}
	}
	return callNoAnswer, detail
}

func (c *Caller) send(ctx context.Context, client *http.Client, entry string, result callResult) (*http.Response, error) {
	url := "http://" + entry + "/work"
	if result.arrival.RunMS > 0 {
		url += "?run_ms=" + strconv.FormatInt(result.arrival.RunMS, 10)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(result.body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the client repeats no request on its own; it would repeat those with an Idempotency-Key.
	request.GetBody = nil
	request.Header.Set("Content-Type", contentTypeJSON)
	request.Header.Set(wigeonstep.HeaderTeam, string(result.arrival.Team))
	request.Header.Set(wigeonstep.HeaderClass, string(result.arrival.Class))
	if result.arrival.Key != "" {
		request.Header.Set(wigeonstep.HeaderIdempotencyKey, c.KeyPrefix+string(result.arrival.Key))
	}
	if result.arrival.DeadlineMS > 0 {
		request.Header.Set(wigeonstep.HeaderDeadlineMS, strconv.FormatInt(result.arrival.DeadlineMS, 10))
	}
	return client.Do(request)
}

// judgeAnswer reads the answer completely and checks that it is what its outcome says.
func judgeAnswer(response *http.Response, body []byte) (callOutcome, string) {
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxCallerAnswerBytes+1))
	if err != nil {
		return callNoAnswer, err.Error()
	}
	outcome := wigeonstep.Outcome(response.Header.Get(wigeonstep.HeaderOutcome))
	status := response.StatusCode
	if want := statusOf(outcome); want != nil && !want(status) {
		return callBad, fmt.Sprintf("outcome %s with status %d", outcome, status)
	}
	switch outcome {
	case wigeonstep.OutcomeDone:
		if status != http.StatusOK {
			return callDone, ""
		}
		if _, err := CheckAnswer(answer, body); err != nil {
			return callBad, err.Error()
		}
		return callDone, ""
	case wigeonstep.OutcomeNotRun:
		if response.Header.Get("Retry-After") == "" {
			return callBad, "not_run without Retry-After"
		}
		return callNotRun, string(answer)
	case wigeonstep.OutcomeUnknown, wigeonstep.OutcomeAccepted:
		return callOutcome(outcome), string(answer)
	}
	return callBad, fmt.Sprintf("status %d with outcome %q: %.200s", status, outcome, answer)
}

// statusOf returns the check of the status that goes with an outcome, or nil when any status does.
func statusOf(outcome wigeonstep.Outcome) func(status int) bool {
	switch outcome {
	case wigeonstep.OutcomeNotRun:
		return func(s int) bool { return s >= 400 && s < 500 || s == http.StatusServiceUnavailable }
	case wigeonstep.OutcomeUnknown:
		return func(s int) bool { return s == http.StatusBadGateway || s == http.StatusGatewayTimeout }
	case wigeonstep.OutcomeAccepted:
		return func(s int) bool { return s >= 200 && s < 300 }
	}
	return nil
}
