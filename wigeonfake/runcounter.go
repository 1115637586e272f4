package wigeonfake

import (
	"sync"

	"github.com/wigeonstep/wigeonstep"
)

// RunCounter counts the runs of requests at the backend servers that share it. The zero value is ready to use. Methods
// are safe for concurrent use.
type RunCounter struct {
	mu     sync.Mutex
	counts RunCounts
}

// RunCounts holds the numbers of runs. A run is counted when it starts, whether or not it completes.
type RunCounts struct {
	// Total counts all runs.
	Total int `json:"total"`
	// ByKey counts the runs of each idempotency key; runs without a key are not included.
	ByKey map[wigeonstep.IdempotencyKey]int `json:"by_key"`
	// ByRequest counts the runs of each value of Wigeonstep-Request-Id; runs without one are not included.
	ByRequest map[wigeonstep.RequestID]int `json:"by_request"`
	// ByBody counts the runs of each request body, keyed by its BodyHash.
	ByBody map[string]int `json:"by_body"`
}

// add counts a run and returns the number of runs of the body so far.
func (r *RunCounter) add(key wigeonstep.IdempotencyKey, request wigeonstep.RequestID, body string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts.ByKey == nil {
		r.counts = newRunCounts()
	}
	r.counts.Total++
	if key != "" {
		r.counts.ByKey[key]++
	}
	if request != "" {
		r.counts.ByRequest[request]++
	}
	r.counts.ByBody[body]++
	return r.counts.ByBody[body]
}

// Counts returns a copy of the counts.
func (r *RunCounter) Counts() RunCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := newRunCounts()
	counts.Add(r.counts)
	return counts
}

// RunsOfKey returns the number of runs of requests with the key.
func (r *RunCounter) RunsOfKey(key wigeonstep.IdempotencyKey) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts.ByKey[key]
}

// RunsOfRequest returns the number of runs of the request with the ID.
func (r *RunCounter) RunsOfRequest(id wigeonstep.RequestID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts.ByRequest[id]
}

// RunsOfBody returns the number of runs of requests with the body.
func (r *RunCounter) RunsOfBody(body []byte) int {
	hash := BodyHash(body)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts.ByBody[hash]
}

func newRunCounts() RunCounts {
	return RunCounts{
		ByKey:     map[wigeonstep.IdempotencyKey]int{},
		ByRequest: map[wigeonstep.RequestID]int{},
		ByBody:    map[string]int{},
	}
}

// Add adds other to c.
func (c *RunCounts) Add(other RunCounts) {
	if c.ByKey == nil {
		*c = newRunCounts()
	}
	c.Total += other.Total
	for key, n := range other.ByKey {
		c.ByKey[key] += n
	}
	for id, n := range other.ByRequest {
		c.ByRequest[id] += n
	}
	for body, n := range other.ByBody {
		c.ByBody[body] += n
	}
}
