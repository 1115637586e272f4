package wigeondaemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
)

// execute executes the actions that a shard's owner returned, each at once: the owner bounds the orders in flight. Results are
// delivered to the owner on the event loop, unless its ownership has ended by then.
func (d *Daemon) execute(sh *shard, a wigeonshard.Actions) {
	e := execution{Daemon: d, owner: sh.owner, ctx: sh.ctx}
	for _, decision := range a.Decisions {
		d.logDecision(decision)
	}
	if a.Append != nil {
		e.appendProgress(sh, a.Append)
	}
	d.work.add(workOrders, len(a.Heartbeats)+len(a.Stops)+len(a.Starts)+len(a.Throttles))
	d.work.add(workWritten, len(a.Append))
	for _, h := range a.Heartbeats {
		e.sendHeartbeat(h)
	}
	for _, s := range a.Stops {
		e.sendStop(s)
	}
	for _, s := range a.Starts {
		d.config.Metrics.starts.Inc()
		e.sendStart(s)
	}
	for _, t := range a.Throttles {
		e.sendThrottle(t)
	}
	for _, id := range a.Registrations {
		e.register(sh.part, id)
	}
	for _, c := range a.ForwardedCancels {
		e.forwardCancel(c)
	}
	for _, request := range a.AdviceRequests {
		go func() {
			advice, err := d.advise(e.ctx, request)
			e.post(func() { e.owner.AdviceAnswered(d.config.Now(), request, advice, err) })
		}()
	}
}

// execution sends the orders of one ownership of a shard. An order goes through a relay, whose result arrives on the event
// loop, or on a goroutine of its own.
type execution struct {
	*Daemon
	owner *wigeonshard.Owner
	// ctx ends with the ownership.
	ctx context.Context
}

// post delivers an event on the event loop unless the ownership has ended by then.
func (e execution) post(event func()) {
	e.Daemon.post(func() { e.deliver(event) })
}

func (e execution) deliver(event func()) {
	if e.ctx.Err() == nil {
		e.work.add(workAnswers, 1)
		event()
	}
}

// sendHeartbeat sends a heartbeat. If the relay fails, or the worker did not answer the one before, it is sent directly, so that
// a relay that can't reach a worker does not make it look lost.
func (e execution) sendHeartbeat(h wigeonshard.Heartbeat) {
	if h.Retry {
		e.sendHeartbeatDirectly(h)
		return
	}
	relay := e.relayFor(e.owner, h.Worker.ID)
	if relay == nil {
		e.sendHeartbeatDirectly(h)
		return
	}
	relay.Heartbeat(h.Worker, h.Request, h.AckBefore, func(result wigeonstep.HeartbeatResult, acked bool, err error) {
		e.deliver(func() {
			if err != nil {
				h.Resent = true
				e.sendHeartbeatDirectly(h)
				return
			}
			if !acked {
				h.Request.AckedEnd = 0
			}
			e.owner.HeartbeatAnswered(e.config.Now(), h, result, nil)
		})
	})
}

// maxRenewalDelay is the time after the decision on a heartbeat in which it may leave and renew the lease. An owner takes it that an
// order without an answer is not executed any more 13 s after the decision, so one that leaves later must not renew.
const maxRenewalDelay = time.Second

func (e execution) sendHeartbeatDirectly(h wigeonshard.Heartbeat) {
	go func() {
		now := e.config.Now().Steady
		if now >= h.AckBefore {
			h.Request.AckedEnd = 0
		}
		if now-h.SentAt >= maxRenewalDelay {
			h.Request.LeaseEnd = 0
		}
		result, err := e.config.Orders.Heartbeat(e.ctx, h.Worker, h.Request)
		e.post(func() { e.owner.HeartbeatAnswered(e.config.Now(), h, result, err) })
	}()
}

func (e execution) sendStop(s wigeonshard.Stop) {
	if relay := e.relayFor(e.owner, s.Worker.ID); relay != nil {
		relay.Stop(s.Worker, s.Run, s.Fence, func(err error) {
			e.deliver(func() { e.owner.StopAnswered(e.config.Now(), s, err) })
		})
		return
	}
	go func() {
		err := e.config.Orders.Stop(e.ctx, s.Worker, s.Run, s.Fence)
		e.post(func() { e.owner.StopAnswered(e.config.Now(), s, err) })
	}()
}

func (e execution) sendStart(s wigeonshard.Start) {
	if relay := e.relayFor(e.owner, s.Worker.ID); relay != nil {
		relay.Start(s.Worker, s.Order, s.SendBefore, func(result wigeonstep.StartResult) {
			e.deliver(func() { e.owner.StartAnswered(e.config.Now(), s, result) })
		})
		return
	}
	go func() {
		result := wigeonstep.StartResult{Verdict: wigeonstep.StartNotSent}
		if e.config.Now().Steady < s.SendBefore {
			result = e.config.Orders.Start(e.ctx, s.Worker, s.Order)
		}
		e.post(func() { e.owner.StartAnswered(e.config.Now(), s, result) })
	}()
}

func (e execution) sendThrottle(t wigeonshard.Throttle) {
	if relay := e.relayFor(e.owner, t.Worker.ID); relay != nil {
		relay.Throttle(t.Worker, t.Run, t.Percent, t.Fence, func(err error) {
			e.deliver(func() { e.owner.ThrottleAnswered(e.config.Now(), t, err) })
		})
		return
	}
	go func() {
		err := e.config.Orders.Throttle(e.ctx, t.Worker, t.Run, t.Percent, t.Fence)
		e.post(func() { e.owner.ThrottleAnswered(e.config.Now(), t, err) })
	}()
}

func (d *Daemon) advise(ctx context.Context, request wigeonshard.AdviceRequest) (wigeonstep.Advice, error) {
	if d.config.Advisor == nil {
		return wigeonstep.Advice{}, wigeonstep.ErrUnavailable
	}
	return d.config.Advisor.Advise(ctx, request.Job, request.Occurrence, request.Step, request.Workers)
}

// logDecision logs and counts a decision of an owner.
func (d *Daemon) logDecision(decision wigeonshard.Decision) {
	d.config.Metrics.countDecision(decision.Event)
	fields := []zap.Field{zap.String("worker", string(decision.Worker)), zap.String("cause", decision.Cause)}
	if decision.Run.Task.Job != "" {
		fields = append(fields, zap.String("job", string(decision.Run.Task.Job)), zap.String("task", decision.Run.Task.Path()), zap.Uint32("run", uint32(decision.Run.Number)))
	}
	if decision.Age > 0 {
		fields = append(fields, zap.Duration("age", decision.Age))
	}
	if decision.RunAge > 0 {
		fields = append(fields, zap.Duration("run_age", decision.RunAge))
	}
	if decision.Runs > 0 {
		fields = append(fields, zap.Int("runs", decision.Runs))
	}
	d.config.Logger.Info(decision.Event, fields...)
}
