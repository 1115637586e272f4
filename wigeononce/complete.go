package wigeononce

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// answer removes a waiter and returns the action with its only response.
func (c *Core) answer(w *waiter, response wigeonstep.Response) []Action {
	id := w.arrive.Waiter
	delete(c.waiters, id)
	return []Action{Answer{Waiter: id, Response: response}}
}

func (c *Core) retryWaiter(w *waiter) Action {
	w.run = nil
	return Retry{Waiter: w.arrive.Waiter, FailedSession: w.target}
}

// removeAndRetry removes a run that has no accepted intent and no answer, and retries its waiters.
func (c *Core) removeAndRetry(r *run) []Action {
	c.removeRun(r)
	actions := make([]Action, 0, len(r.waiters))
	for _, id := range r.waiters {
		actions = append(actions, c.retryWaiter(c.waiters[id]))
	}
	return actions
}

// removeAndAnswer removes a run whose answer is not to be cached and answers its waiters.
func (c *Core) removeAndAnswer(r *run, response wigeonstep.Response) []Action {
	c.removeRun(r)
	return c.answerAll(r, response)
}

func (c *Core) answerAll(r *run, response wigeonstep.Response) []Action {
	var actions []Action
	for _, id := range r.waiters {
		actions = append(actions, c.answer(c.waiters[id], response)...)
	}
	r.waiters = nil
	return actions
}

func (c *Core) removeRun(r *run) {
	if c.runs[r.key] == r {
		delete(c.runs, r.key)
	}
}

// endRun caches the final answer of a run and sends it to the waiters.
func (c *Core) endRun(now time.Time, r *run, response wigeonstep.Response) []Action {
	r.state, r.response, r.request = runEnded, response, nil
	actions := c.answerAll(r, response)
	c.answers.add(r, now.Add(c.limits.AnswerTTL))
	return actions
}

// expire removes expired answers and issued keys, and the oldest answers above the memory limit.
func (c *Core) expire(now time.Time) {
	for {
		r := c.answers.removeOldest(now, c.limits.MaxAnswerBytes)
		if r == nil {
			break
		}
		c.removeRun(r)
	}
	c.issued.expire(now)
}
