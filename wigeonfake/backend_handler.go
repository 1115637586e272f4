package wigeonfake

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/wigeonstep/wigeonstep"
)

const (
	defaultSlots   = 8
	defaultRunTime = 5 * time.Millisecond
	// maxAnswerBytes limits the padding of an answer.
	maxAnswerBytes = 64 << 20

	contentTypeJSON = "application/json"
)

// ControlPath is the path of the control endpoint of a BackendServer. GET returns a BackendState as JSON. PUT replaces the
// faults by BackendFaults in JSON; PATCH changes only the faults in the body.
const ControlPath = "/_wigeonfake"

// BackendState is the response of the control endpoint of a BackendServer.
type BackendState struct {
	VM     wigeonstep.VMID `json:"vm"`
	Faults BackendFaults   `json:"faults"`
	Stats  BackendStats    `json:"stats"`
	Runs   RunCounts       `json:"runs"`
}

func (b *BackendServer) registerRoutes(engine *server.Hertz) {
	engine.GET(ControlPath, func(_ context.Context, c *app.RequestContext) {
		writeJSON(c, http.StatusOK, BackendState{VM: b.VM, Faults: b.Faults(), Stats: b.Stats(), Runs: b.Runs().Counts()})
	})
	engine.PUT(ControlPath, func(_ context.Context, c *app.RequestContext) { b.setFaultsFromBody(c, BackendFaults{}) })
	engine.PATCH(ControlPath, func(_ context.Context, c *app.RequestContext) { b.setFaultsFromBody(c, b.Faults()) })
	engine.NoRoute(b.handleRequest)
}

// setFaultsFromBody sets the faults to those of the request body. Fields that the body lacks keep the given values.
func (b *BackendServer) setFaultsFromBody(c *app.RequestContext, faults BackendFaults) {
	if decodeBody(c, &faults) {
		b.SetFaults(faults)
		c.Status(http.StatusNoContent)
	}
}

// decodeJSON decodes JSON and rejects unknown fields.
func decodeJSON(body []byte, value any) error {
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	return decoder.Decode(value)
}

func writeJSON(c *app.RequestContext, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		c.Data(http.StatusInternalServerError, "text/plain", []byte(err.Error()))
		return
	}
	c.Data(status, contentTypeJSON, body)
}

// handleRequest runs one request, or refuses it.
func (b *BackendServer) handleRequest(ctx context.Context, c *app.RequestContext) {
	id := wigeonstep.RequestID(c.Request.Header.Get(wigeonstep.HeaderRequestID))
	c.Response.Header.Set(wigeonstep.HeaderRequestID, string(id))
	stopped := connFromContext(ctx).listener.closed
	b.waitWhilePaused(stopped)
	incarnation, reason := b.acquireSlot(string(c.Request.Header.Peek(wigeonstep.HeaderFence)))
	if reason != "" {
		b.refuse(c, reason)
		return
	}
	defer b.releaseSlot(incarnation)
	key := wigeonstep.IdempotencyKey(c.Request.Header.Get(wigeonstep.HeaderIdempotencyKey))
	hash := BodyHash(c.Request.Body())
	run := b.Runs().add(key, id, hash)
	faults := b.Faults()
	if faults.FailAll {
		b.setLeavingHeader(c)
		c.Data(http.StatusInternalServerError, "text/plain", []byte("the backend server fails every request"))
		return
	}
	select {
	case <-time.After(b.runTime(c, faults)):
	case <-stopped:
	}
	b.waitWhilePaused(stopped)
	padding := min(headerOrQuery(c, HeaderAnswerBytes, "answer_bytes", 0), maxAnswerBytes)
	answer := Answer{
		VM: b.VM, RequestID: id, Key: key, BodyHash: hash, Run: run,
		PaddingBytes: padding, Padding: strings.Repeat("x", padding), Complete: true,
	}
	b.writeAnswer(ctx, c, answer)
}

// writeAnswer writes the answer after applying the faults that concern answers.
func (b *BackendServer) writeAnswer(ctx context.Context, c *app.RequestContext, answer Answer) {
	b.setLeavingHeader(c)
	b.mu.Lock()
	mismatched := decrementIfPositive(&b.faults.MismatchNextAnswers)
	truncated := decrementIfPositive(&b.faults.TruncateNextAnswers) || b.randomLocked().Float64() < b.faults.TruncateProbability
	length := 1 + b.randomLocked().IntN(128+answer.PaddingBytes)
	b.mu.Unlock()
	if mismatched {
		answer.RequestID += "-other"
		answer.BodyHash = "0"
		c.Response.Header.Set(wigeonstep.HeaderRequestID, string(answer.RequestID))
	}
	if truncated {
		connFromContext(ctx).closeAfter(length)
	}
	// A Caller that calls the server directly, without an entry process, expects an outcome.
	c.Response.Header.Set(wigeonstep.HeaderOutcome, string(wigeonstep.OutcomeDone))
	writeJSON(c, http.StatusOK, answer)
}

// acquireSlot checks the fence of a request and takes a slot. It returns the incarnation to pass to releaseSlot, or the
// reason for refusing the request.
func (b *BackendServer) acquireSlot(fence string) (incarnation int, reason string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if epoch, err := strconv.ParseUint(fence, 10, 64); err == nil {
		if wigeonstep.VMEpoch(epoch) < b.fence {
			b.stats.StaleEpochs++
			return 0, "stale epoch"
		}
		b.fence = wigeonstep.VMEpoch(epoch)
	}
	if b.faults.Leaving {
		b.stats.RefusedLeaving++
		b.stats.LastRefusedLeaving = time.Since(b.stats.leavingSince)
		return 0, "leaving"
	}
	slots := b.Slots
	if slots <= 0 {
		slots = defaultSlots
	}
	if b.stats.InFlight >= slots {
		b.stats.Busy++
		return 0, "busy"
	}
	b.stats.InFlight++
	b.stats.MaxInFlight = max(b.stats.MaxInFlight, b.stats.InFlight)
	return b.incarnation, ""
}

func (b *BackendServer) releaseSlot(incarnation int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if incarnation == b.incarnation {
		b.stats.InFlight--
	}
}

func (b *BackendServer) refuse(c *app.RequestContext, reason string) {
	b.setLeavingHeader(c)
	c.Response.Header.Set(wigeonstep.HeaderOutcome, string(wigeonstep.OutcomeNotRun))
	c.Response.Header.Set("Retry-After", "1")
	writeJSON(c, http.StatusServiceUnavailable, wigeonstep.Refusal{Reason: reason, Step: "backend run", Peer: string(b.VM)})
}

// setLeavingHeader announces in the response that the server is leaving, if so.
func (b *BackendServer) setLeavingHeader(c *app.RequestContext) {
	if b.Faults().Leaving {
		c.Response.Header.Set(wigeonstep.HeaderLeaving, "1")
	}
}

// waitWhilePaused waits until the server is not paused or stopped is closed.
func (b *BackendServer) waitWhilePaused(stopped <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Waiting++
	defer func() { b.stats.Waiting-- }()
	for b.resumed != nil {
		resumed := b.resumed
		b.mu.Unlock()
		select {
		case <-resumed:
			b.mu.Lock()
		case <-stopped:
			b.mu.Lock()
			return
		}
	}
}

// runTime returns the run time of a request: its own, or the default of the server, multiplied by the slow factor.
func (b *BackendServer) runTime(c *app.RequestContext, faults BackendFaults) time.Duration {
	run := b.RunTime
	if run <= 0 {
		run = defaultRunTime
	}
	if ms := headerOrQuery(c, HeaderRunMS, "run_ms", -1); ms >= 0 {
		run = time.Duration(ms) * time.Millisecond
	}
	if faults.SlowFactor > 0 {
		run = time.Duration(float64(run) * faults.SlowFactor)
	}
	return run
}

func (b *BackendServer) randomLocked() *rand.Rand {
	if b.random == nil {
		b.random = rand.New(rand.NewPCG(b.Seed, 2))
	}
	return b.random
}

// headerOrQuery returns the non-negative integer of the header, else that of the query parameter, else the fallback.
func headerOrQuery(c *app.RequestContext, header, query string, fallback int) int {
	for _, text := range []string{string(c.Request.Header.Peek(header)), c.Query(query)} {
		if n, err := strconv.Atoi(text); err == nil && n >= 0 {
			return n
		}
	}
	return fallback
}

// decrementIfPositive decrements a positive count and reports whether it did.
func decrementIfPositive(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}
