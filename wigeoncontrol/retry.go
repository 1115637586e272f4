package wigeoncontrol

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	minRetryDelay = time.Second
	maxRetryDelay = time.Minute
)

// retryDelays holds the delay before the next attempt of each failed operation, with exponential backoff and jitter.
// The planners ask for an operation in each round as long as the state calls for it, so the number of attempts is not
// limited. The delay limits their rate to about one per minute.
type retryDelays[K comparable] struct {
	failed map[K]*retryState
}

type retryState struct {
	delay     *backoff.ExponentialBackOff
	notBefore time.Time
}

func newRetryDelays[K comparable]() *retryDelays[K] {
	return &retryDelays[K]{failed: map[K]*retryState{}}
}

// allowed reports whether the operation may be tried now.
func (r *retryDelays[K]) allowed(key K, now time.Time) bool {
	f := r.failed[key]
	return f == nil || !now.Before(f.notBefore)
}

// recordFailure sets the delay before the next attempt and returns it.
func (r *retryDelays[K]) recordFailure(key K, now time.Time) time.Duration {
	f := r.failed[key]
	if f == nil {
		f = &retryState{delay: &backoff.ExponentialBackOff{
			InitialInterval: minRetryDelay, RandomizationFactor: backoff.DefaultRandomizationFactor,
			Multiplier: 2, MaxInterval: maxRetryDelay,
		}}
		f.delay.Reset()
		r.failed[key] = f
	}
	wait := f.delay.NextBackOff()
	f.notBefore = now.Add(wait)
	return wait
}

func (r *retryDelays[K]) recordSuccess(key K) { delete(r.failed, key) }

// removeUnused removes keys whose delay ended more than maxRetryDelay ago and that have not failed again since.
func (r *retryDelays[K]) removeUnused(now time.Time) {
	for key, f := range r.failed {
		if now.Sub(f.notBefore) > maxRetryDelay {
			delete(r.failed, key)
		}
	}
}

// jittered returns a random duration within 10% of d, so that daemons that were started together do not call the
// platform at the same time.
func jittered(d time.Duration) time.Duration {
	return d*9/10 + time.Duration(rand.Int64N(int64(d)/5+1)) //nolint:gosec // jitter needs no cryptographic randomness
}

// sleep waits for d and returns true, or returns false as soon as ctx ends.
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
