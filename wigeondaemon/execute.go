package wigeondaemon

import (
	"context"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
)

// execute executes the actions that a shard's owner returned, each at once: the owner bounds the orders in flight. Results are
// delivered to the owner on the event loop, unless its ownership has ended by then.
func (d *Daemon) execute(sh *shard, a wigeonshard.Actions) {
	owner, ctx, fence := sh.owner, sh.ctx, sh.fence
	deliver := func(event func(now wigeonshard.Timestamp)) {
		d.post(func() {
			if ctx.Err() == nil {
				event(d.config.Now())
			}
		})
	}
	for _, decision := range a.Decisions {
		d.logDecision(decision)
	}
	if a.Append != nil {
		d.appendFenced(sh, a.Append, func(answer appendAnswer) { owner.AppendAcknowledged(d.config.Now(), answer.sentAt) })
	}
	for _, h := range a.Heartbeats {
		go func() {
			if d.config.Now().Steady >= h.AckBefore {
				h.Request.AckedEnd = 0
			}
			result, err := d.config.Orders.Heartbeat(ctx, h.Worker, h.Request)
			deliver(func(now wigeonshard.Timestamp) { owner.HeartbeatAnswered(now, h, result, err) })
		}()
	}
	for _, s := range a.Stops {
		go func() {
			err := d.config.Orders.Stop(ctx, s.Worker, s.Run, fence)
			deliver(func(now wigeonshard.Timestamp) { owner.StopAnswered(now, s, err) })
		}()
	}
	for _, s := range a.Starts {
		d.config.Metrics.starts.Inc()
		go func() {
			result := wigeonstep.StartResult{Verdict: wigeonstep.StartNotSent}
			if d.config.Now().Steady < s.SendBefore {
				result = d.config.Orders.Start(ctx, s.Worker, s.Order)
			}
			deliver(func(now wigeonshard.Timestamp) { owner.StartAnswered(now, s, result) })
		}()
	}
	for _, t := range a.Throttles {
		go func() {
			err := d.config.Orders.Throttle(ctx, t.Worker, t.Run, t.Percent, fence)
			deliver(func(now wigeonshard.Timestamp) { owner.ThrottleAnswered(now, t, err) })
		}()
	}
	for _, request := range a.AdviceRequests {
		go func() {
			advice, err := d.advise(ctx, request)
			deliver(func(now wigeonshard.Timestamp) { owner.AdviceAnswered(now, request, advice, err) })
		}()
	}
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
