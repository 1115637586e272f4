package wigeonrelay

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// maxSilence is the time without a frame of the relay after which it counts as lost. It covers a processor that stops
	// for a tenth of a second.
	maxSilence = 400 * time.Millisecond
	// maxTick bounds the part of a silence that one call of Tick adds, so that a pause of this process does not count as one
	// of the relay.
	maxTick = 50 * time.Millisecond
	// clockRate is the lowest rate of the relay's clock that a deadline allows for.
	clockRate = 0.98
	// maxQueuedFrames bounds the frames that wait until the connection takes them.
	maxQueuedFrames = 64
)

// Link is an owner's end of the connection to a relay. It is not safe for concurrent use, except that Send runs on a goroutine of
// its own. The function that comes with an order is called exactly once, by Apply or Fail.
type Link struct {
	// Address is the address of the relay.
	Address string

	frames chan *wigeonwire.RelayOrders
	// outgoing holds the orders since the last Flush.
	outgoing []*wigeonwire.RelayOrder
	// pending holds the orders without a result by number, lastNumber the number of the newest.
	pending    map[uint64]func(result *wigeonwire.RelayResult, lost error)
	lastNumber uint64
	// relayClock is the newest known reading of the relay's clock, which was received at relayClockAt.
	relayClock, relayClockAt time.Duration
	silentFor                time.Duration
	closed                   bool
}

// NewLink returns the link to a relay whose first frame was received at now.
func NewLink(address string, now time.Duration, first *wigeonwire.RelayResults) *Link {
	l := &Link{Address: address, frames: make(chan *wigeonwire.RelayOrders, maxQueuedFrames), pending: map[uint64]func(*wigeonwire.RelayResult, error){}}
	l.readClock(now, first)
	return l
}

// Send sends the frames of the link until Fail is called or the connection ends.
func (l *Link) Send(conn Conn) {
	defer conn.Close()
	for frame := range l.frames {
		if conn.Send(frame) != nil {
			return
		}
	}
}

func (l *Link) readClock(now time.Duration, frame *wigeonwire.RelayResults) {
	l.relayClock, l.relayClockAt, l.silentFor = time.Duration(frame.GetClockNs()), now, 0
}

// relayTime returns a reading of the relay's clock that is not later than the time t. The clock was read before its reading
// arrived, so at that time the relay's clock was ahead of it.
func (l *Link) relayTime(t time.Duration) time.Duration {
	return l.relayClock + time.Duration(float64(t-l.relayClockAt)*clockRate)
}

// Pending returns the number of orders without a result.
func (l *Link) Pending() int { return len(l.pending) }

// Closed reports whether Fail was called.
func (l *Link) Closed() bool { return l.closed }

func (l *Link) add(order *wigeonwire.RelayOrder, worker wigeonstep.WorkerRef, fence wigeonstep.FencingToken, done func(*wigeonwire.RelayResult, error)) {
	l.lastNumber++
	order.Number, order.Worker, order.Address, order.Fence = l.lastNumber, string(worker.ID), worker.Address, uint64(fence)
	l.pending[order.Number] = done
	l.outgoing = append(l.outgoing, order)
}

// Start adds a start that the relay sends only before the time sendBefore. The result of a lost link is StartUnknown.
func (l *Link) Start(worker wigeonstep.WorkerRef, order wigeonstep.StartOrder, sendBefore time.Duration, done func(wigeonstep.StartResult)) {
	start := &wigeonwire.RelayStart{
		Run: encodeRun(order.Run), Spec: []byte(order.Spec), LeaseEndMs: int64(order.LeaseEnd), Checkpoint: []byte(order.Checkpoint),
		Ticket: []byte(order.Ticket), SendBeforeNs: int64(l.relayTime(sendBefore)),
	}
	l.add(&wigeonwire.RelayOrder{Order: &wigeonwire.RelayOrder_Start{Start: start}}, worker, order.Fence, func(result *wigeonwire.RelayResult, lost error) {
		if lost != nil {
			done(wigeonstep.StartResult{Verdict: wigeonstep.StartUnknown, Err: lost})
			return
		}
		done(decodeStarted(result))
	})
}

// Stop adds an order to stop a run.
func (l *Link) Stop(worker wigeonstep.WorkerRef, run wigeonstep.RunID, fence wigeonstep.FencingToken, done func(error)) {
	l.add(&wigeonwire.RelayOrder{Order: &wigeonwire.RelayOrder_Stop{Stop: &wigeonwire.RelayStop{Run: encodeRun(run)}}}, worker, fence, errorOnly(done))
}

// Throttle adds an order to limit a run to a percentage of its full speed.
func (l *Link) Throttle(worker wigeonstep.WorkerRef, run wigeonstep.RunID, percent int, fence wigeonstep.FencingToken, done func(error)) {
	throttle := &wigeonwire.RelayThrottle{Run: encodeRun(run), Percent: uint32(max(percent, 0))} //nolint:gosec // a percentage
	l.add(&wigeonwire.RelayOrder{Order: &wigeonwire.RelayOrder_Throttle{Throttle: throttle}}, worker, fence, errorOnly(done))
}

func errorOnly(done func(error)) func(*wigeonwire.RelayResult, error) {
	return func(result *wigeonwire.RelayResult, lost error) {
		if lost != nil {
			done(lost)
			return
		}
		done(decodeError(result.GetError()))
	}
}

// Heartbeat adds a heartbeat that acknowledges ends only before the time ackBefore. acked reports whether it has.
func (l *Link) Heartbeat(worker wigeonstep.WorkerRef, request wigeonstep.HeartbeatRequest, ackBefore time.Duration, done func(result wigeonstep.HeartbeatResult, acked bool, err error)) {
	heartbeat := &wigeonwire.RelayHeartbeat{
		LeaseEndMs: int64(request.LeaseEnd), AckedEnd: request.AckedEnd, WaitMs: request.Wait.Milliseconds(), AckBeforeNs: int64(l.relayTime(ackBefore)),
	}
	l.add(&wigeonwire.RelayOrder{Order: &wigeonwire.RelayOrder_Heartbeat{Heartbeat: heartbeat}}, worker, request.Fence, func(result *wigeonwire.RelayResult, lost error) {
		switch {
		case lost != nil:
			done(wigeonstep.HeartbeatResult{}, false, lost)
		case result.GetReport() == nil:
			done(wigeonstep.HeartbeatResult{}, false, decodeError(result.GetError()))
		default:
			done(decodeReport(result.GetReport()), result.GetReport().GetAcked(), nil)
		}
	})
}

// Flush hands the orders since the last Flush to the connection in one frame. It reports false if too many frames wait already.
func (l *Link) Flush() bool {
	if len(l.outgoing) == 0 {
		return true
	}
	select {
	case l.frames <- &wigeonwire.RelayOrders{Orders: l.outgoing}:
		l.outgoing = nil
		return true
	default:
		return false
	}
}

// Apply applies a frame of the relay that was received at now.
func (l *Link) Apply(now time.Duration, frame *wigeonwire.RelayResults) {
	l.readClock(now, frame)
	for _, result := range frame.GetResults() {
		if done := l.pending[result.GetNumber()]; done != nil {
			delete(l.pending, result.GetNumber())
			done(result, nil)
		}
	}
}

// Tick reports whether the relay has been silent for too long, after elapsed has passed since the last call.
func (l *Link) Tick(elapsed time.Duration) bool {
	l.silentFor += min(elapsed, maxTick)
	return l.silentFor > maxSilence
}

// Fail ends the link and all its orders without a result, which may have taken effect.
func (l *Link) Fail(cause error) {
	if l.closed {
		return
	}
	l.closed = true
	close(l.frames)
	lost := fmt.Errorf("%w: relay %s: %w", wigeonstep.ErrAnswerLost, l.Address, cause)
	for _, number := range slices.Sorted(maps.Keys(l.pending)) {
		done := l.pending[number]
		delete(l.pending, number)
		done(nil, lost)
	}
}
