package wigeonsoak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
)

const (
	// jobHost and jobPathPrefix select the queue in the requests of clients; the job ID follows the prefix.
	jobHost       = "orders.example"
	jobPathPrefix = "/new/"
	// requestDeadline is the timeout of one request, which the client also sends in the deadline header.
	requestDeadline = 3 * time.Second
	// submitAttempts and cancelAttempts bound the requests that submit or cancel one job.
	submitAttempts = 5
	cancelAttempts = 20
	retryDelay     = 200 * time.Millisecond
	// stateQueryPercent and longRunningPercent are the values of the client fields with these names, unless the client has a
	// connection of its own. A long-running job has longRunningTasks tasks.
	stateQueryPercent  = 40
	longRunningPercent = 8
	longRunningTasks   = 2
	// crashingPercent is the share of jobs that crash their workers in a soak with such jobs, which have crashingTasks tasks.
	crashingPercent = 4
	crashingTasks   = 2
	// slowPercent and recutsLongRunningPercent are the shares of jobs with slow tasks and of long-running jobs in a soak with jobs with
	// slow tasks, which have slowTasks each.
	slowPercent              = 45
	recutsLongRunningPercent = 2
	slowTasks                = 2
	// ordinaryTasks is the number of tasks of other jobs.
	ordinaryTasks = 5
)

// client submits, queries and cancels jobs. Each request goes to a random process, over a kept-alive connection if one is
// open, unless the client has a connection of its own.
type client struct {
	http      *http.Client
	addresses []string
	history   *history
	random    *rand.Rand
	// connection, if set, carries the first attempt of each request. A further attempt goes to a random process.
	connection *connection
	// stateQueryPercent is the share of requests that query the state of a job submitted before, longRunningPercent the share
	// of submitted jobs that are long-running, and crashingPercent the share that crash their workers.
	stateQueryPercent, longRunningPercent, crashingPercent int
	// slowPercent is the share of submitted jobs with slow tasks.
	slowPercent int
	// teams holds the keys of the client's requests; nil in a soak without teams.
	teams *teams
}

func newClient(addresses []string, h *history, seed uint64) *client {
	return &client{
		http: &http.Client{Timeout: requestDeadline}, addresses: addresses, history: h,
		stateQueryPercent: stateQueryPercent, longRunningPercent: longRunningPercent,
		random: rand.New(rand.NewPCG(seed, 2)), //nolint:gosec // the load of a seed has to be repeatable
	}
}

// sendFirst sends the first attempt of a request, on the connection of the client if it has one.
func (c *client) sendFirst(ctx context.Context, method, id string, body []byte) (status int, answer []byte) {
	if c.connection == nil {
		return c.send(ctx, method, id, body)
	}
	r, err := newRequest(ctx, c.connection.address, c.teams.key(id), method, id, body)
	if err != nil {
		return 0, nil
	}
	return c.connection.roundTrip(r)
}

// send sends one request about the job with the given ID to a random process. The status is 0 if no complete response
// arrived.
func (c *client) send(ctx context.Context, method, id string, body []byte) (status int, answer []byte) {
	return c.sendWithKey(ctx, c.teams.key(id), method, id, body)
}

// sendWithKey is send with an API key, which may be empty for none.
func (c *client) sendWithKey(ctx context.Context, key, method, id string, body []byte) (status int, answer []byte) {
	r, err := newRequest(ctx, c.addresses[c.random.IntN(len(c.addresses))], key, method, id, body)
	if err != nil {
		return 0, nil
	}
	response, err := c.http.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

func newRequest(ctx context.Context, address, key, method, id string, body []byte) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+jobPathPrefix+id, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Host = jobHost
	r.Header.Set(wigeonstandin.DeadlineHeader, fmt.Sprint(requestDeadline.Milliseconds()))
	if key != "" {
		r.Header.Set(wigeonstandin.CredentialHeader, key)
	}
	return r, nil
}

// submit sends at most submitAttempts requests to submit a job, until one of them is accepted or refused. If the outcome stays
// unknown, neither acceptedAt nor refusedAt of the job is set.
func (c *client) submit(ctx context.Context, id string) {
	longRunning := c.random.IntN(100) < c.longRunningPercent
	crashing := !longRunning && c.crashingPercent > 0 && c.random.IntN(100) < c.crashingPercent
	slow := !longRunning && !crashing && c.slowPercent > 0 && c.random.IntN(100) < c.slowPercent
	job := wigeonstandin.Job("order")
	switch {
	case longRunning:
		job = wigeonstandin.LongRunningJob(longRunningTasks)
	case crashing:
		job = wigeonstandin.CrashingJob(crashingTasks)
	case slow:
		job = wigeonstandin.SlowJob(slowTasks)
	}
	encoded, err := json.Marshal(job)
	if err != nil {
		c.history.recordViolation("client: encode job: %v", err)
		return
	}
	c.history.add(id, &clientJob{longRunning: longRunning, crashing: crashing, slow: slow})
	// An attempt whose outcome is unknown may have been accepted, so the refusal of a later attempt does not mean that the
	// job was refused.
	outcomeUnknown := false
	send := c.sendFirst
	for range submitAttempts {
		sentAt := time.Now()
		status, answer := send(ctx, http.MethodPost, id, encoded)
		send = c.send
		refused := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
		if c.teams != nil && status == http.StatusUnauthorized {
			c.keyRefused(id, sentAt)
			refused = true
		}
		if refused {
			if !outcomeUnknown {
				c.history.update(id, func(j *clientJob) { j.refusedAt = time.Now() })
			}
			return
		}
		switch status {
		case http.StatusOK:
			c.history.update(id, func(j *clientJob) { j.acceptedAt = time.Now() })
			return
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			outcomeUnknown = true
		default:
			c.history.recordViolation("client: submission of job %s got unexpected status %d: %s", id, status, answer)
			return
		}
		time.Sleep(retryDelay)
	}
}

// queryState queries the state of a job and records it in the history. Status 410 means that the job does not exist. If the
// job was accepted before the query, it is lost, which is a violation. A response with another error status, or none, leaves
// the recorded state unchanged.
func (c *client) queryState(ctx context.Context, id string) {
	acceptedAt := c.history.jobByID(id).acceptedAt
	status, answer := c.sendFirst(ctx, http.MethodGet, id, nil)
	switch {
	case status == http.StatusGone && !acceptedAt.IsZero():
		c.history.recordViolation("lost: job %s was accepted but is reported not to exist", id)
	case status == http.StatusOK:
		var body struct {
			State string `json:"state"`
		}
		if err := json.Unmarshal(answer, &body); err != nil {
			c.history.recordViolation("client: decode state of job %s: %v", id, err)
			return
		}
		c.history.recordState(id, body.State)
	}
}

// cancel sends at most cancelAttempts requests to cancel a long-running job, until a process acknowledges one of them.
func (c *client) cancel(ctx context.Context, id string) {
	for range cancelAttempts {
		if status, _ := c.send(ctx, http.MethodDelete, id, nil); status == http.StatusOK {
			c.history.update(id, func(j *clientJob) { j.cancelled = true })
			return
		}
		time.Sleep(retryDelay)
	}
	c.history.recordViolation("client: cancellation of job %s was not acknowledged", id)
}
