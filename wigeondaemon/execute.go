package wigeondaemon

import (
	"context"
	"strconv"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonshard"
)

// ordersAtOnce bounds the orders on their way to one worker.
const ordersAtOnce = 2

// execute carries out what the owner of a shard decided. Results go back to the owner only while it is the same one.
func (d *Daemon) execute(sh *shard, a wigeonshard.Actions) {
	owner, ctx, fence := sh.owner, sh.ctx, sh.epoch
	back := func(event func(now wigeonshard.Now)) {
		d.post(func() {
			if ctx.Err() == nil {
				event(d.config.Now())
			}
		})
	}
	for _, n := range a.Notes {
		d.log(n)
	}
	if a.Append != nil {
		d.append(sh, a.Append, func() { owner.Flushed(d.config.Now()) })
	}
	for _, h := range a.Holds {
		go func() {
			result, err := d.config.Orders.Hold(ctx, h.Worker, h.Order)
			back(func(now wigeonshard.Now) { owner.Held(now, h.Worker.ID, result, err) })
		}()
	}
	for _, s := range a.Stops {
		d.sendOrder(ctx, s.Worker.ID, func() {
			err := d.config.Orders.Stop(ctx, s.Worker, s.Run, fence)
			back(func(now wigeonshard.Now) { owner.Stopped(now, s.Worker.ID, s.Run, err) })
		})
	}
	for _, s := range a.Starts {
		d.config.Metrics.starts.Inc()
		d.sendOrder(ctx, s.Worker.ID, func() {
			result := d.config.Orders.Start(ctx, s.Worker, s.Order)
			back(func(now wigeonshard.Now) { owner.Started(now, s.Worker.ID, s.Order.Run, result) })
		})
	}
	for _, p := range a.Paces {
		d.sendOrder(ctx, p.Worker.ID, func() {
			err := d.config.Orders.Pace(ctx, p.Worker, p.Run, p.Percent, fence)
			back(func(wigeonshard.Now) { owner.Paced(p.Worker.ID, p.Run, err) })
		})
	}
	for _, q := range a.Questions {
		go func() {
			advice, err := d.advise(ctx, q)
			back(func(now wigeonshard.Now) { owner.Advised(now, q, advice, err) })
		}()
	}
}

func (d *Daemon) advise(ctx context.Context, q wigeonshard.Question) (wigeonstep.Advice, error) {
	if d.config.Advisor == nil {
		return wigeonstep.Advice{}, wigeonstep.ErrUnavailable
	}
	return d.config.Advisor.Advise(ctx, q.Job, q.Occurrence, q.Step, q.Workers)
}

// sendOrder runs one order to a worker as soon as fewer than ordersAtOnce are on their way to it.
func (d *Daemon) sendOrder(ctx context.Context, worker wigeonstep.WorkerID, order func()) {
	limit := d.limits[worker]
	if limit == nil {
		limit = make(chan struct{}, ordersAtOnce)
		d.limits[worker] = limit
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

// log writes the line of a decision.
func (d *Daemon) log(n wigeonshard.Note) {
	fields := []zap.Field{zap.String("worker", string(n.Worker)), zap.String("cause", n.Cause)}
	if n.Run.Task.Job != "" {
		fields = append(fields, zap.String("job", string(n.Run.Task.Job)), zap.String("task", taskText(n.Run.Task)), zap.Uint32("run", uint32(n.Run.Number)))
	}
	if n.Age > 0 {
		fields = append(fields, zap.Duration("age", n.Age))
	}
	d.config.Logger.Info(n.Event, fields...)
}

func taskText(id wigeonstep.TaskID) string {
	return strconv.Itoa(id.Occurrence) + "." + strconv.Itoa(id.Step) + "." + strconv.Itoa(id.Index)
}
