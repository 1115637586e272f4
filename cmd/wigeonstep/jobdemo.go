package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

const (
	demoJobs    = 40
	demoWorkers = 4
	demoService = "orders"
	demoHost    = "orders.example"
	demoPrefix  = "/orders/"
	demoPoll    = 20 * time.Millisecond
	demoTimeout = 10 * time.Second
)

// jobResult is what the job part of the demo found.
type jobResult struct {
	accepted, completed, twice int
	median                     time.Duration
	err                        error
}

// write prints the result.
func (r jobResult) write(out io.Writer) {
	fmt.Fprintf(out, "jobs on stand-ins of the platform: %d accepted, %d completed, %d tasks started twice, median %d ms from hand-in to completed\n",
		r.accepted, r.completed, r.twice, r.median.Milliseconds())
}

// broken reports whether a promise was broken.
func (r jobResult) broken() bool {
	return r.completed != demoJobs || r.twice > 0
}

// startJobDemo runs the job demo beside the other one and sends its result.
func startJobDemo(ctx context.Context, logger *zap.Logger) <-chan jobResult {
	done := make(chan jobResult, 1)
	go func() {
		result, err := runJobDemo(ctx, logger)
		result.err = err
		done <- result
	}()
	return done
}

// runJobDemo hands jobs of two steps in at one of two nodes, kills that node, and reads their states at the other.
func runJobDemo(ctx context.Context, logger *zap.Logger) (jobResult, error) {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	store, err := wigeonstandin.NewStore(ctx, localPartitions)
	if err != nil {
		return jobResult{}, err
	}
	var workers []*wigeonstandin.Worker
	for i := range demoWorkers {
		w, err := wigeonstandin.NewWorker(ctx, store, fmt.Sprintf("i-%d", i), demoService, fmt.Sprintf("r%d", i/2))
		if err != nil {
			return jobResult{}, err
		}
		workers = append(workers, w)
	}
	cloud, err := wigeonstandin.NewCloud(ctx)
	if err != nil {
		return jobResult{}, err
	}
	if err := store.PutQueue(1, demoService, demoHost, demoPrefix); err != nil {
		return jobResult{}, err
	}
	first, kill := context.WithCancel(ctx)
	defer kill()
	a, err := startDemoNode(first, "a", store, cloud, logger)
	if err != nil {
		return jobResult{}, err
	}
	b, err := startDemoNode(ctx, "b", store, cloud, logger)
	if err != nil {
		return jobResult{}, err
	}
	return playJobs(ctx, a, b, kill, workers)
}

func startDemoNode(ctx context.Context, name string, store *wigeonstandin.Store, cloud *wigeonstandin.Cloud, logger *zap.Logger) (string, error) {
	node, err := startLocal(ctx, localVM{name: name, store: store.Address(), cloud: cloud.Address()}, logger)
	if err != nil {
		return "", err
	}
	return node.address, poll(ctx, node.daemon.Ready)
}

// poll waits until the condition holds or ctx ends.
func poll(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(demoPoll)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("job demo: %w", ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

func playJobs(ctx context.Context, a, b string, kill func(), workers []*wigeonstandin.Worker) (jobResult, error) {
	var result jobResult
	began := map[string]time.Time{}
	for i := range demoJobs {
		id := fmt.Sprintf("%016x", i+1)
		status, _, err := demoRequest(ctx, http.MethodPost, a, id, wigeonstandin.Job("order"))
		if err != nil {
			return result, err
		}
		if status == http.StatusOK {
			result.accepted++
			began[id] = time.Now()
		}
		if i == demoJobs/2 {
			a = b
			kill()
		}
	}
	var took []time.Duration
	err := poll(ctx, func() bool {
		for id, at := range began {
			if _, state, err := demoRequest(ctx, http.MethodGet, b, id, nil); err == nil && state == wigeonjob.StateCompleted.String() {
				took = append(took, time.Since(at))
				delete(began, id)
			}
		}
		return len(began) == 0
	})
	result.completed = len(took)
	for i := range demoJobs {
		if countStarts(workers, fmt.Sprintf("%016x.0.0.0", i+1)) > 1 {
			result.twice++
		}
	}
	if len(took) > 0 {
		slices.Sort(took)
		result.median = took[len(took)/2]
	}
	return result, err
}

func countStarts(workers []*wigeonstandin.Worker, task string) int {
	n := 0
	for _, w := range workers {
		n += w.Starts(task)
	}
	return n
}

// demoRequest sends one request of a client and returns the status and the state in the answer.
func demoRequest(ctx context.Context, method, address, id string, body any) (status int, state string, err error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, "", fmt.Errorf("encode the job: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+demoPrefix+id, bytes.NewReader(encoded))
	if err != nil {
		return 0, "", fmt.Errorf("job demo: %w", err)
	}
	request.Host = demoHost
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", fmt.Errorf("job demo: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		State string `json:"state"`
	}
	if response.StatusCode == http.StatusOK && method == http.MethodGet {
		if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
			return 0, "", fmt.Errorf("state of job %s: %w", id, err)
		}
	}
	return response.StatusCode, answer.State, nil
}
