package wigeononce

import (
	"time"

	"github.com/wigeonstep/wigeonstep"
)

// answer gives a waiter its only answer.
func (c *Core) answer(w *waiter, response wigeonstep.Response) []Action {
	id := w.arrive.Waiter
	delete(c.waiters, id)
	return []Action{Answer{Waiter: id, Response: response}}
}

func (c *Core) rewait(w *waiter) Action {
	w.run = nil
	return Wait{Waiter: w.arrive.Waiter, Failed: w.target}
}

// again forgets a run that left no trace and lets its waiters arrive again.
func (c *Core) again(r *run) []Action {
	c.drop(r)
	actions := make([]Action, 0, len(r.waiters))
	for _, id := range r.waiters {
		actions = append(actions, c.rewait(c.waiters[id]))
	}
	return actions
}

// dropAll forgets a run that left no trace and answers its waiters.
func (c *Core) dropAll(r *run, response wigeonstep.Response) []Action {
	c.drop(r)
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

func (c *Core) drop(r *run) {
	if c.runs[r.key] == r {
		delete(c.runs, r.key)
	}
}

// end keeps the final answer of a run and gives it to the waiters.
func (c *Core) end(now time.Time, r *run, response wigeonstep.Response) []Action {
	r.state, r.response, r.request = runEnded, response, nil
	actions := c.answerAll(r, response)
	c.kept.add(r, now.Add(c.limits.AnswersFor))
	return actions
}

func (c *Core) expire(now time.Time) {
	for {
		r := c.kept.removeOldest(now, c.limits.AnswerBytes)
		if r == nil {
			break
		}
		c.drop(r)
	}
	c.issued.expire(now)
}
