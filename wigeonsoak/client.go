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
	host   = "orders.example"
	prefix = "/new/"
	// requestDeadline is how long a client waits for one answer, and tries how often it sends a request.
	requestDeadline = 3 * time.Second
	tries           = 5
	// cancelTries is how often a client asks for a cancellation before it gives up.
	cancelTries = 20
	retryPause  = 200 * time.Millisecond
	// lastingShare is the share of jobs, in percent, that last, and lastingTasks their tasks.
	lastingShare = 8
	lastingTasks = 2
)

// client sends jobs to the processes, over connections that it keeps open until a process is gone.
type client struct {
	http      *http.Client
	addresses []string
	history   *history
	random    *rand.Rand
}

func newClient(addresses []string, h *history, seed uint64) *client {
	return &client{
		http: &http.Client{Timeout: requestDeadline}, addresses: addresses, history: h,
		random: rand.New(rand.NewPCG(seed, 2)), //nolint:gosec // a load has to be repeatable
	}
}

// send sends one request to any process. The status is 0 without an answer.
func (c *client) send(ctx context.Context, method, id string, body []byte) (status int, answer []byte) {
	address := c.addresses[c.random.IntN(len(c.addresses))]
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Host = host
	r.Header.Set(wigeonstandin.DeadlineHeader, fmt.Sprint(requestDeadline.Milliseconds()))
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

// submit hands a job in, and tries again while nobody can say what became of it.
func (c *client) submit(ctx context.Context, id string) {
	lasting := c.random.IntN(100) < lastingShare
	job := wigeonstandin.Job("order")
	if lasting {
		job = wigeonstandin.LongRunningJob(lastingTasks)
	}
	encoded, err := json.Marshal(job)
	if err != nil {
		c.history.breach("client: encode: %v", err)
		return
	}
	c.history.add(id, &call{lasting: lasting})
	// A job whose earlier try had no answer may have been accepted by it; a later refusal says nothing of that try.
	unanswered := false
	for range tries {
		status, answer := c.send(ctx, http.MethodPost, id, encoded)
		switch status {
		case http.StatusOK:
			c.history.change(id, func(k *call) { k.accepted = time.Now() })
			return
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			if !unanswered {
				c.history.change(id, func(k *call) { k.refused = time.Now() })
			}
			return
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			unanswered = true
		default:
			c.history.breach("client: job %s got status %d %s", id, status, answer)
			return
		}
		time.Sleep(retryPause)
	}
}

// ask takes over what a process shows of a job. Only an accepted job has to be known.
func (c *client) ask(ctx context.Context, id string) {
	accepted := c.history.get(id).accepted
	status, answer := c.send(ctx, http.MethodGet, id, nil)
	switch {
	case status == http.StatusGone && !accepted.IsZero():
		c.history.breach("lost: job %s was accepted and is said not to exist", id)
	case status == http.StatusOK:
		var body struct {
			State string `json:"state"`
		}
		if err := json.Unmarshal(answer, &body); err != nil {
			c.history.breach("client: state of %s: %v", id, err)
			return
		}
		c.history.change(id, func(k *call) { k.shown = body.State })
	}
}

// cancel ends a job that lasts.
func (c *client) cancel(ctx context.Context, id string) {
	for range cancelTries {
		if status, _ := c.send(ctx, http.MethodDelete, id, nil); status == http.StatusOK {
			c.history.change(id, func(k *call) { k.cancelled = true })
			return
		}
		time.Sleep(retryPause)
	}
	c.history.breach("client: the end of job %s was not acknowledged", id)
}
