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
	// maxCallerAnswerBytes is the limit that wigeonstep sets for an answer.
	maxCallerAnswerBytes = 8 << 20
)

// Caller sends the requests of a trace to entry processes and checks every answer. Its fields are set before Run.
type Caller struct {
	// EntryAddresses holds the addresses (host:port) of entry processes, at least one. Requests are spread over them
	// round robin.
	EntryAddresses []string
	// InFlight limits the concurrent requests, each on its own connection; default 4096. The time that an arrival waits
	// because of this limit counts as part of its wait.
	InFlight int
	// Timeout is the time-out of a request; default 90 s.
	Timeout time.Duration
	// KeyPrefix is prepended to every key and is part of every body, so that a trace can be run again with a new prefix
	// while the keys of the first run are still remembered.
	KeyPrefix string
	// Counts returns the run counts of the backend servers behind the entries. If it is nil, the checks that need them are
	// skipped.
	Counts func(ctx context.Context) (RunCounts, error)
	// AcceptedJobsTimeout is the maximum time to wait at the end for accepted jobs to run; default 0.
	AcceptedJobsTimeout time.Duration
}

// callOutcome is the outcome of one request as its caller observed it: an Outcome of wigeonstep or one of those below.
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

// callResult is the result of one request.
type callResult struct {
	arrival Arrival
	body    []byte
	outcome callOutcome
	// latency is the time from the planned arrival to the end of the request.
	latency time.Duration
	// detail is the error, or the body of a refusal.
	detail string
}

// Run sends all arrivals at their offsets and returns the report. If ctx ends or Counts fails, Run returns the error
// together with a report of the requests until then.
func (c *Caller) Run(ctx context.Context, arrivals []Arrival) (*Report, error) {
	if len(c.EntryAddresses) == 0 {
		return nil, errors.New("caller has no entry address")
	}
	inFlight := c.InFlight
	if inFlight <= 0 {
		inFlight = defaultInFlight
	}
	client := c.httpClient(inFlight)
	defer client.CloseIdleConnections()
	results := make([]callResult, len(arrivals))
	slots := make(chan struct{}, inFlight)
	var calls sync.WaitGroup
	start := time.Now()
	for i, arrival := range arrivals {
		due := start.Add(arrival.offset())
		if sleepContext(ctx, time.Until(due)) != nil {
			results = results[:i]
			break
		}
		calls.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			results[i] = c.sendArrival(ctx, client, i, arrival, due)
		})
	}
	calls.Wait()
	return c.report(ctx, results)
}

// httpClient returns a client of net/http, because that closes the connection of a request whose context ends, as a caller
// that gives up does.
func (c *Caller) httpClient(inFlight int) *http.Client {
	dialer := net.Dialer{Timeout: 2 * time.Second}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: inFlight,
			// Shorter than the idle timeout of the entry process, so that the process rarely closes a connection that the
			// client is about to use.
			IdleConnTimeout:    2 * time.Second,
			DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// sendArrival sends the request of an arrival and classifies its result. due is the planned time of the arrival.
func (c *Caller) sendArrival(ctx context.Context, client *http.Client, index int, arrival Arrival, due time.Time) callResult {
	result := callResult{arrival: arrival, body: c.requestBody(index, arrival)}
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = defaultCallTimeout
	}
	if arrival.CancelMS > 0 {
		timeout = min(timeout, time.Duration(arrival.CancelMS)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result.outcome, result.detail = c.sendToAnyEntry(ctx, client, index, result)
	if ctx.Err() != nil && result.outcome == callNoAnswer && arrival.CancelMS > 0 {
		result.outcome = callCancelled
	}
	result.latency = time.Since(due)
	return result
}

// requestBody returns a body that is the same for arrivals with the same key, and different for all others.
func (c *Caller) requestBody(index int, arrival Arrival) []byte {
	if arrival.Key != "" {
		return fmt.Appendf(nil, `{"call":%q}`, c.KeyPrefix+"key-"+string(arrival.Key))
	}
	return fmt.Appendf(nil, `{"call":%q}`, c.KeyPrefix+"arrival-"+strconv.Itoa(index))
}

// sendToAnyEntry sends the request to one entry and, as a load balancer does, tries the next one if it cannot connect.
func (c *Caller) sendToAnyEntry(ctx context.Context, client *http.Client, index int, result callResult) (callOutcome, string) {
	var detail string
	for attempt := range c.EntryAddresses {
		response, err := c.send(ctx, client, c.EntryAddresses[(index+attempt)%len(c.EntryAddresses)], result)
		if err == nil {
			defer response.Body.Close() //nolint:errcheck // the body is only read
			return classifyAnswer(response, result.body)
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
	// Without GetBody the HTTP client does not retry. With it, it would retry requests with an Idempotency-Key.
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

// classifyAnswer reads the whole answer and checks that its status, headers and body agree with its outcome.
func classifyAnswer(response *http.Response, body []byte) (callOutcome, string) {
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxCallerAnswerBytes+1))
	if err != nil {
		return callNoAnswer, err.Error()
	}
	outcome := wigeonstep.Outcome(response.Header.Get(wigeonstep.HeaderOutcome))
	status := response.StatusCode
	if valid := statusCheck(outcome); valid != nil && !valid(status) {
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

// statusCheck returns a function that reports whether a status is valid for the outcome, or nil if every status is.
func statusCheck(outcome wigeonstep.Outcome) func(status int) bool {
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
