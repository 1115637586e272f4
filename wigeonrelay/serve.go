package wigeonrelay

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// resultsPause is the time for which a relay collects results before it sends them in one frame.
	resultsPause = 4 * time.Millisecond
	// keepAlive is the longest time between two frames of a relay, so that the owner notices a relay that stands still.
	keepAlive = 100 * time.Millisecond
	// maxInFlight bounds the orders without a result of one owner at a relay. Further ones are not sent.
	maxInFlight = 2048
)

// Conn carries messages between an owner and a relay.
type Conn interface {
	Send(message proto.Message) error
	Receive(message proto.Message) error
	Close()
}

// Relay sends the orders of owners to workers.
type Relay struct {
	// Workers sends the orders.
	Workers wigeonstep.WorkerClient
	// Now is a monotonic clock that includes the time in which the process is paused.
	Now func() time.Duration
}

// Serve sends the orders that arrive on the connection and returns their results on it, until it or ctx ends.
func (r *Relay) Serve(ctx context.Context, conn Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer conn.Close()
	s := &session{Relay: r, ctx: ctx, conn: conn, wake: make(chan struct{}, 1)}
	go s.sendResults()
	for {
		var orders wigeonwire.RelayOrders
		if err := conn.Receive(&orders); err != nil {
			return
		}
		for _, order := range orders.GetOrders() {
			s.accept(order)
		}
	}
}

// session is the state of one connection.
type session struct {
	*Relay
	ctx  context.Context
	conn Conn
	// wake holds a token while results may be non-empty.
	wake chan struct{}

	mu       sync.Mutex
	results  []*wigeonwire.RelayResult
	inFlight int
}

// accept sends an order, or refuses it while too many are in flight.
func (s *session) accept(order *wigeonwire.RelayOrder) {
	s.mu.Lock()
	full := s.inFlight >= maxInFlight
	if !full {
		s.inFlight++
	}
	s.mu.Unlock()
	if full {
		s.addResult(refused(order))
		return
	}
	go func() {
		result := s.execute(order)
		s.mu.Lock()
		s.inFlight--
		s.mu.Unlock()
		s.addResult(result)
	}()
}

// refused returns the result of an order that was not sent.
func refused(order *wigeonwire.RelayOrder) *wigeonwire.RelayResult {
	result := &wigeonwire.RelayResult{Number: order.GetNumber()}
	if order.GetStart() != nil {
		result.Started = encodeStarted(wigeonstep.StartResult{Verdict: wigeonstep.StartNotSent})
		return result
	}
	result.Error = encodeError(fmt.Errorf("%w: the relay has too many orders in flight", wigeonstep.ErrUnavailable))
	return result
}

func (s *session) addResult(result *wigeonwire.RelayResult) {
	s.mu.Lock()
	s.results = append(s.results, result)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// sendResults sends the results until the session ends. Results that come close together share a frame.
func (s *session) sendResults() {
	defer s.conn.Close()
	ticker := time.NewTicker(keepAlive)
	defer ticker.Stop()
	for s.sendFrame() == nil {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		case <-s.wake:
			select {
			case <-s.ctx.Done():
				return
			case <-time.After(resultsPause):
			}
		}
	}
}

func (s *session) sendFrame() error {
	s.mu.Lock()
	results := s.results
	s.results = nil
	s.mu.Unlock()
	return s.conn.Send(&wigeonwire.RelayResults{ClockNs: int64(s.Now()), Results: results})
}

// execute sends one order and returns its result.
func (s *session) execute(order *wigeonwire.RelayOrder) *wigeonwire.RelayResult {
	worker := wigeonstep.WorkerRef{ID: wigeonstep.WorkerID(order.GetWorker()), Address: order.GetAddress()}
	fence := wigeonstep.FencingToken(order.GetFence())
	result := &wigeonwire.RelayResult{Number: order.GetNumber()}
	switch body := order.GetOrder().(type) {
	case *wigeonwire.RelayOrder_Start:
		result.Started = encodeStarted(s.start(worker, fence, body.Start))
	case *wigeonwire.RelayOrder_Stop:
		result.Error = encodeError(s.Workers.Stop(s.ctx, worker, decodeRun(body.Stop.GetRun()), fence))
	case *wigeonwire.RelayOrder_Throttle:
		result.Error = encodeError(s.Workers.Throttle(s.ctx, worker, decodeRun(body.Throttle.GetRun()), int(body.Throttle.GetPercent()), fence))
	case *wigeonwire.RelayOrder_Heartbeat:
		result.Report, result.Error = s.heartbeat(worker, fence, body.Heartbeat)
	default:
		result.Error = encodeError(fmt.Errorf("%w: the relay doesn't know the order", wigeonstep.ErrRejected))
	}
	return result
}

func (s *session) start(worker wigeonstep.WorkerRef, fence wigeonstep.FencingToken, start *wigeonwire.RelayStart) wigeonstep.StartResult {
	if s.Now() >= time.Duration(start.GetSendBeforeNs()) {
		return wigeonstep.StartResult{Verdict: wigeonstep.StartNotSent}
	}
	return s.Workers.Start(s.ctx, worker, wigeonstep.StartOrder{
		Run: decodeRun(start.GetRun()), Spec: string(start.GetSpec()), LeaseEnd: wigeonstep.WorkerMillis(start.GetLeaseEndMs()), Fence: fence,
		Checkpoint: wigeonstep.Checkpoint(start.GetCheckpoint()), Ticket: wigeonstep.Ticket(start.GetTicket()),
	})
}

func (s *session) heartbeat(worker wigeonstep.WorkerRef, fence wigeonstep.FencingToken, h *wigeonwire.RelayHeartbeat) (*wigeonwire.RelayReport, *wigeonwire.RelayError) {
	request := wigeonstep.HeartbeatRequest{
		Fence: fence, LeaseEnd: wigeonstep.WorkerMillis(h.GetLeaseEndMs()), AckedEnd: h.GetAckedEnd(), Wait: time.Duration(h.GetWaitMs()) * time.Millisecond,
	}
	acked := s.Now() < time.Duration(h.GetAckBeforeNs())
	if !acked {
		request.AckedEnd = 0
	}
	result, err := s.Workers.Heartbeat(s.ctx, worker, request)
	if err != nil {
		return nil, encodeError(err)
	}
	return encodeReport(result, acked), nil
}
