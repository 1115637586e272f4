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
	demoJobs         = 40
	demoWorkers      = 4
	demoService      = "orders"
	demoHost         = "orders.example"
	demoPrefix       = "/orders/"
	demoPollInterval = 20 * time.Millisecond
	demoTimeout      = 10 * time.Second
)

// jobDemoResult is the result of the job demo.
type jobDemoResult struct {
	// The counts are of jobs. startedTwice counts those whose first task started more than once.
	accepted, completed, startedTwice int
	// medianLatency is the median time from submission to completion.
	medianLatency time.Duration
	err           error
}

// writeText writes the result as one line.
func (r jobDemoResult) writeText(out io.Writer) {
	fmt.Fprintf(out, "jobs on stand-ins of the platform: %d accepted, %d completed, %d tasks started twice, median %d ms from hand-in to completed\n",
		r.accepted, r.completed, r.startedTwice, r.medianLatency.Milliseconds())
}

// breached reports whether a job was not completed or its first task started more than once.
func (r jobDemoResult) breached() bool {
	return r.completed != demoJobs || r.startedTwice > 0
}

// startJobDemo runs the job demo concurrently with the main demo and sends its result.
func startJobDemo(ctx context.Context, logger *zap.Logger) <-chan jobDemoResult {
	done := make(chan jobDemoResult, 1)
	go func() {
		result, err := runJobDemo(ctx, logger)
		result.err = err
		done <- result
	}()
	return done
}

// runJobDemo submits jobs of two steps to one of two nodes, kills that node after half of them, and submits the rest to
// the other node, from which it reads the states of all jobs.
func runJobDemo(ctx context.Context, logger *zap.Logger) (jobDemoResult, error) {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	store, err := wigeonstandin.NewStore(ctx, localPartitions)
	if err != nil {
		return jobDemoResult{}, err
	}
	var workers []*wigeonstandin.Worker
	for i := range demoWorkers {
		w, err := wigeonstandin.NewWorker(ctx, store, fmt.Sprintf("i-%d", i), demoService, fmt.Sprintf("r%d", i/2))
		if err != nil {
			return jobDemoResult{}, err
		}
		workers = append(workers, w)
	}
	machineService, err := wigeonstandin.NewMachineService(ctx)
	if err != nil {
		return jobDemoResult{}, err
	}
	if err := store.PutQueue(1, demoService, demoHost, demoPrefix); err != nil {
		return jobDemoResult{}, err
	}
	first, kill := context.WithCancel(ctx)
	defer kill()
	a, err := startDemoNode(first, "a", store, machineService, logger)
	if err != nil {
		return jobDemoResult{}, err
	}
	b, err := startDemoNode(ctx, "b", store, machineService, logger)
	if err != nil {
		return jobDemoResult{}, err
	}
	return submitAndAwaitJobs(ctx, a, b, kill, workers)
}

func startDemoNode(ctx context.Context, name string, store *wigeonstandin.Store, machineService *wigeonstandin.MachineService, logger *zap.Logger) (string, error) {
	node, err := startLocalNode(ctx, localVM{name: name, store: store.Address(), machineService: machineService.Address()}, logger)
	if err != nil {
		return "", err
	}
	return node.clientAddress, waitUntil(ctx, node.daemon.Ready)
}

// waitUntil polls until the condition holds or ctx ends.
func waitUntil(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(demoPollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("job demo: wait for nodes or jobs: %w", ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

func submitAndAwaitJobs(ctx context.Context, a, b string, kill func(), workers []*wigeonstandin.Worker) (jobDemoResult, error) {
	var result jobDemoResult
	submitted := map[string]time.Time{}
	for i := range demoJobs {
		id := fmt.Sprintf("%016x", i+1)
		status, _, err := demoRequest(ctx, http.MethodPost, a, id, wigeonstandin.Job("order"))
		if err != nil {
			return result, err
		}
		if status == http.StatusOK {
			result.accepted++
			submitted[id] = time.Now()
		}
		if i == demoJobs/2 {
			a = b
			kill()
		}
	}
	var latencies []time.Duration
	err := waitUntil(ctx, func() bool {
		for id, submittedAt := range submitted {
			if _, state, err := demoRequest(ctx, http.MethodGet, b, id, nil); err == nil && state == wigeonjob.StateCompleted.String() {
				latencies = append(latencies, time.Since(submittedAt))
				delete(submitted, id)
			}
		}
		return len(submitted) == 0
	})
	result.completed = len(latencies)
	for i := range demoJobs {
		if countStarts(workers, fmt.Sprintf("%016x.0.0.0", i+1)) > 1 {
			result.startedTwice++
		}
	}
	if len(latencies) > 0 {
		slices.Sort(latencies)
		result.medianLatency = latencies[len(latencies)/2]
	}
	return result, err
}

func countStarts(workers []*wigeonstandin.Worker, task string) int {
	n := 0
	for _, w := range workers {
		n += w.StartCount(task)
	}
	return n
}

// demoRequest sends a client request for a job, without a body if body is nil, and returns the HTTP status and, for a successful
// GET, the job's state.
func demoRequest(ctx context.Context, method, address, id string, body any) (status int, state string, err error) {
	var encoded io.Reader = http.NoBody
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return 0, "", fmt.Errorf("encode job %s: %w", id, err)
		}
		encoded = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+demoPrefix+id, encoded)
	if err != nil {
		return 0, "", fmt.Errorf("job demo: create request: %w", err)
	}
	request.Host = demoHost
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", fmt.Errorf("job demo: send request: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		State string `json:"state"`
	}
	if response.StatusCode == http.StatusOK && method == http.MethodGet {
		if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
			return 0, "", fmt.Errorf("decode state of job %s: %w", id, err)
		}
	}
	return response.StatusCode, answer.State, nil
}
