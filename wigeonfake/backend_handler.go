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
	// maxAnswerBytes bounds the padding that a request can ask for.
	maxAnswerBytes = 64 << 20

	contentTypeJSON = "application/json"
)

// ControlPath is the path of the control endpoint of a BackendServer: GET returns faults, stats and run counts as JSON;
// PUT replaces the faults with the JSON form of BackendFaults, and PATCH changes those that the body names.
const ControlPath = "/_wigeonfake"

// BackendState is what the control endpoint returns.
type BackendState struct {
	VM     wigeonstep.VMID `json:"vm"`
	Faults BackendFaults   `json:"faults"`
	Stats  BackendStats    `json:"stats"`
	Runs   RunCounts       `json:"runs"`
}

func (b *BackendServer) routes(engine *server.Hertz) {
	engine.GET(ControlPath, func(_ context.Context, c *app.RequestContext) {
		writeJSON(c, http.StatusOK, BackendState{VM: b.VM, Faults: b.Faults(), Stats: b.Stats(), Runs: b.Runs().Counts()})
	})
	engine.PUT(ControlPath, func(_ context.Context, c *app.RequestContext) { b.controlFaults(c, BackendFaults{}) })
	engine.PATCH(ControlPath, func(_ context.Context, c *app.RequestContext) { b.controlFaults(c, b.Faults()) })
	engine.NoRoute(b.handle)
}

func (b *BackendServer) controlFaults(c *app.RequestContext, faults BackendFaults) {
	if decodeBody(c, &faults) {
		b.SetFaults(faults)
		c.Status(http.StatusNoContent)
	}
}

// decodeJSON decodes strictly, so that a misspelt field is an error.
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

// handle runs one request.
func (b *BackendServer) handle(ctx context.Context, c *app.RequestContext) {
	id := wigeonstep.RequestID(c.Request.Header.Get(wigeonstep.HeaderRequestID))
	c.Response.Header.Set(wigeonstep.HeaderRequestID, string(id))
	stopped := connOf(ctx).listener.closed
	b.waitWhilePaused(stopped)
	incarnation, reason := b.admit(string(c.Request.Header.Peek(wigeonstep.HeaderFence)))
	if reason != "" {
		b.refuse(c, reason)
		return
	}
	defer b.release(incarnation)
	key := wigeonstep.Key(c.Request.Header.Get(wigeonstep.HeaderIdempotencyKey))
	hash := BodyHash(c.Request.Body())
	run := b.Runs().add(key, id, hash)
	faults := b.Faults()
	if faults.FailAll {
		b.markLeaving(c)
		c.Data(http.StatusInternalServerError, "text/plain", []byte("the backend server fails every request"))
		return
	}
	select {
	case <-time.After(b.runTime(c, faults)):
	case <-stopped:
	}
	b.waitWhilePaused(stopped)
	padding := min(number(c, HeaderAnswerBytes, "answer_bytes", 0), maxAnswerBytes)
	answer := Answer{
		VM: b.VM, RequestID: id, Key: key, BodyHash: hash, Run: run,
		PaddingBytes: padding, Padding: strings.Repeat("x", padding), Whole: true,
	}
	b.answer(ctx, c, answer)
}

// answer sends the answer, with the faults that concern answers.
func (b *BackendServer) answer(ctx context.Context, c *app.RequestContext, answer Answer) {
	b.markLeaving(c)
	b.mu.Lock()
	wrong := takeOne(&b.faults.WrongNextIDs)
	dies := takeOne(&b.faults.DieNextAnswers) || b.randomLocked().Float64() < b.faults.DieMidAnswer
	cut := 1 + b.randomLocked().IntN(128+answer.PaddingBytes)
	b.mu.Unlock()
	if wrong {
		answer.RequestID += "-other"
		answer.BodyHash = "0"
		c.Response.Header.Set(wigeonstep.HeaderRequestID, string(answer.RequestID))
	}
	if dies {
		connOf(ctx).cutAfter(cut)
	}
	// A Caller that talks to the server without an entry process between them expects an outcome.
	c.Response.Header.Set(wigeonstep.HeaderOutcome, string(wigeonstep.OutcomeDone))
	writeJSON(c, http.StatusOK, answer)
}

// admit takes a slot of the incarnation that it returns, or returns the reason why the request may not run.
func (b *BackendServer) admit(fence string) (incarnation int, reason string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if epoch, err := strconv.ParseUint(fence, 10, 64); err == nil {
		if wigeonstep.Epoch(epoch) < b.fence {
			b.stats.StaleEpochs++
			return 0, "stale epoch"
		}
		b.fence = wigeonstep.Epoch(epoch)
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

func (b *BackendServer) release(incarnation int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if incarnation == b.incarnation {
		b.stats.InFlight--
	}
}

func (b *BackendServer) refuse(c *app.RequestContext, reason string) {
	b.markLeaving(c)
	c.Response.Header.Set(wigeonstep.HeaderOutcome, string(wigeonstep.OutcomeNotRun))
	c.Response.Header.Set("Retry-After", "1")
	writeJSON(c, http.StatusServiceUnavailable, wigeonstep.Refusal{Reason: reason, Step: "backend run", Peer: string(b.VM)})
}

func (b *BackendServer) markLeaving(c *app.RequestContext) {
	if b.Faults().Leaving {
		c.Response.Header.Set(wigeonstep.HeaderLeaving, "1")
	}
}

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

func (b *BackendServer) runTime(c *app.RequestContext, faults BackendFaults) time.Duration {
	run := b.RunTime
	if run <= 0 {
		run = defaultRunTime
	}
	if ms := number(c, HeaderRunMS, "run_ms", -1); ms >= 0 {
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

// number reads a number from the header, then from the query, then takes the default.
func number(c *app.RequestContext, header, query string, otherwise int) int {
	for _, text := range []string{string(c.Request.Header.Peek(header)), c.Query(query)} {
		if n, err := strconv.Atoi(text); err == nil && n >= 0 {
			return n
		}
	}
	return otherwise
}

// takeOne lowers a count that is above zero and reports whether it did.
func takeOne(count *int) bool {
	if *count <= 0 {
		return false
	}
	*count--
	return true
}
