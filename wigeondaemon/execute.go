package wigeondaemon

import (
	"context"
	"strconv"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
)

// maxOrdersInFlight bounds the start, stop and pace orders in flight to one worker. Holds are not counted.
const maxOrdersInFlight = 2

// execute executes the actions that a shard's owner returned. Results are delivered to the owner on the event loop,
// unless its ownership has ended by then.
func (d *Daemon) execute(sh *shard, a wigeonshard.Actions) {
	owner, ctx, fence := sh.owner, sh.ctx, sh.epoch
	deliver := func(event func(now wigeonshard.Now)) {
		d.post(func() {
			if ctx.Err() == nil {
				event(d.config.Now())
			}
		})
	}
	for _, n := range a.Notes {
		d.logNote(n)
	}
	if a.Append != nil {
		d.appendFenced(sh, a.Append, func() { owner.Flushed(d.config.Now()) })
	}
	for _, h := range a.Holds {
		go func() {
			result, err := d.config.Orders.Hold(ctx, h.Worker, h.Order)
			deliver(func(now wigeonshard.Now) { owner.Held(now, h.Worker.ID, result, err) })
		}()
	}
	for _, s := range a.Stops {
		d.sendOrder(ctx, s.Worker.ID, func() {
			err := d.config.Orders.Stop(ctx, s.Worker, s.Run, fence)
			deliver(func(now wigeonshard.Now) { owner.Stopped(now, s.Worker.ID, s.Run, err) })
		})
	}
	for _, s := range a.Starts {
		d.config.Metrics.starts.Inc()
		d.sendOrder(ctx, s.Worker.ID, func() {
			result := d.config.Orders.Start(ctx, s.Worker, s.Order)
			deliver(func(now wigeonshard.Now) { owner.Started(now, s.Worker.ID, s.Order.Run, result) })
		})
	}
	for _, p := range a.Paces {
		d.sendOrder(ctx, p.Worker.ID, func() {
			err := d.config.Orders.Throttle(ctx, p.Worker, p.Run, p.Percent, fence)
			deliver(func(wigeonshard.Now) { owner.Paced(p.Worker.ID, p.Run, err) })
		})
	}
	for _, q := range a.Questions {
		go func() {
			advice, err := d.advise(ctx, q)
			deliver(func(now wigeonshard.Now) { owner.Advised(now, q, advice, err) })
		}()
	}
}

func (d *Daemon) advise(ctx context.Context, q wigeonshard.Question) (wigeonstep.Advice, error) {
	if d.config.Advisor == nil {
		return wigeonstep.Advice{}, wigeonstep.ErrUnavailable
	}
	return d.config.Advisor.Advise(ctx, q.Job, q.Occurrence, q.Step, q.Workers)
}

// sendOrder runs order on a goroutine as soon as fewer than maxOrdersInFlight are in flight to the worker.
func (d *Daemon) sendOrder(ctx context.Context, worker wigeonstep.WorkerID, order func()) {
	limit := d.orderSlots[worker]
	if limit == nil {
		limit = make(chan struct{}, maxOrdersInFlight)
		d.orderSlots[worker] = limit
	}
	go func() {
		select {
		case limit <- struct{}{}:
			order()
			<-limit
		case <-ctx.Done():
		}
	}()
}

// logNote logs a decision of an owner.
func (d *Daemon) logNote(n wigeonshard.Note) {
	fields := []zap.Field{zap.String("worker", string(n.Worker)), zap.String("cause", n.Cause)}
	if n.Run.Task.Job != "" {
		fields = append(fields, zap.String("job", string(n.Run.Task.Job)), zap.String("task", formatTaskID(n.Run.Task)), zap.Uint32("run", uint32(n.Run.Number)))
	}
	if n.Age > 0 {
		fields = append(fields, zap.Duration("age", n.Age))
	}
	d.config.Logger.Info(n.Event, fields...)
}

func formatTaskID(id wigeonstep.TaskID) string {
	return strconv.Itoa(id.Occurrence) + "." + strconv.Itoa(id.Step) + "." + strconv.Itoa(id.Index)
}
