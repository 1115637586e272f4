package wigeoncontrol

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	firstRetry = time.Second
	lastRetry  = time.Minute
)

// retries delays the repetition of what failed, each subject by itself, exponentially and with jitter. The planner asks
// again each round as long as the state calls for it, so there is no count of attempts; the delay bounds them to one a minute.
type retries[K comparable] struct {
	failed map[K]*retry
}

type retry struct {
	delay *backoff.ExponentialBackOff
	until time.Time
}

func newRetries[K comparable]() *retries[K] { return &retries[K]{failed: map[K]*retry{}} }

// due reports whether the subject may be tried now.
func (r *retries[K]) due(key K, now time.Time) bool {
	f := r.failed[key]
	return f == nil || !now.Before(f.until)
}

// fail delays the next try and returns by how much.
func (r *retries[K]) fail(key K, now time.Time) time.Duration {
	f := r.failed[key]
	if f == nil {
		f = &retry{delay: &backoff.ExponentialBackOff{
			InitialInterval: firstRetry, RandomizationFactor: backoff.DefaultRandomizationFactor,
			Multiplier: 2, MaxInterval: lastRetry,
		}}
		f.delay.Reset()
		r.failed[key] = f
	}
	wait := f.delay.NextBackOff()
	f.until = now.Add(wait)
	return wait
}

func (r *retries[K]) succeed(key K) { delete(r.failed, key) }

// sweep forgets subjects that were not tried again although they might have been.
func (r *retries[K]) sweep(now time.Time) {
	for key, f := range r.failed {
		if now.Sub(f.until) > lastRetry {
			delete(r.failed, key)
		}
	}
}

// jittered returns a duration within a tenth of d, so that daemons started together do not call together.
func jittered(d time.Duration) time.Duration {
	return d*9/10 + time.Duration(rand.Int64N(int64(d)/5+1)) //nolint:gosec // the spread of calls needs no secret
}

// sleep waits and reports false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
