package wigeonfake

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonplatform"
)

const (
	stepAppend = "log append"
	stepRead   = "log read"

	// maxReadRecords and maxReadBytes limit the answer to one read. A larger first record is returned nevertheless.
	maxReadRecords = 1000
	maxReadBytes   = 4 << 20
)

var (
	errRate     = fmt.Errorf("%w: append rate exceeded", wigeonstep.ErrRejected)
	errTooLarge = fmt.Errorf("%w: payload too large", wigeonstep.ErrRejected)
)

// stream is one stream of the log. Offsets begin at 0.
type stream struct {
	// records holds the retained records.
	records []storedRecord
	// next is the offset of the next append.
	next wigeonstep.Offset
}

type storedRecord struct {
	wigeonstep.LogRecord
	appendedAt time.Time
}

// first returns the offset of the oldest retained record, or next if there is none.
func (s *stream) first() wigeonstep.Offset {
	return s.next - wigeonstep.Offset(len(s.records))
}

// enforceRetention drops the records that exceed the retention by count or by age.
func (s *stream) enforceRetention(faults Faults, now time.Time) {
	drop := 0
	if retain := faults.RetainRecords; retain > 0 && len(s.records) > retain {
		drop = len(s.records) - retain
	}
	if age := faults.RetainAge; age > 0 {
		for drop < len(s.records) && now.Sub(s.records[drop].appendedAt) > age {
			drop++
		}
	}
	s.records = s.records[drop:]
}

// read returns records from the offset on, which must not be below first, within the limits of one answer.
func (s *stream) read(from wigeonstep.Offset, limit int) []wigeonstep.LogRecord {
	if from >= s.next {
		return nil
	}
	stored := s.records[from-s.first():]
	if len(stored) > limit {
		stored = stored[:limit]
	}
	records := make([]wigeonstep.LogRecord, 0, len(stored))
	size := 0
	for _, r := range stored {
		size += len(r.Payload)
		if size > maxReadBytes && len(records) > 0 {
			break
		}
		records = append(records, r.LogRecord)
	}
	return records
}

// streamLocked returns the named stream after enforcing its retention, and creates it if it does not exist.
func (p *Platform) streamLocked(name wigeonstep.Stream) *stream {
	if p.streams == nil {
		p.streams = map[wigeonstep.Stream]*stream{}
	}
	s := p.streams[name]
	if s == nil {
		s = &stream{}
		p.streams[name] = s
	}
	s.enforceRetention(p.faults, p.now())
	return s
}

// halfDelayLocked returns half of the delay of one call to the log, with a random jitter.
func (p *Platform) halfDelayLocked() time.Duration {
	delay := p.faults.LogDelay
	if jitter := p.faults.LogDelayJitter; jitter > 0 {
		delay += time.Duration(p.randomLocked().Int64N(int64(jitter)))
	}
	return delay / 2
}

func (p *Platform) append(ctx context.Context, client string, name wigeonstep.Stream, payload []byte) (wigeonstep.Offset, error) {
	p.mu.Lock()
	delay := p.halfDelayLocked()
	p.mu.Unlock()
	if err := sleepContext(ctx, delay); err != nil {
		return 0, stepError(stepAppend, fmt.Errorf("%w: %w", wigeonstep.ErrUnavailable, err))
	}
	offset, err := p.appendRecord(client, name, payload)
	if err != nil {
		return 0, err
	}
	if err := sleepContext(ctx, delay); err != nil {
		return 0, stepError(stepAppend, fmt.Errorf("%w: %w", wigeonstep.ErrAnswerLost, err))
	}
	return offset, nil
}

// appendRecord appends without the delay of the log. It returns ErrAnswerLost if a fault loses the answer.
func (p *Platform) appendRecord(client string, name wigeonstep.Stream, payload []byte) (wigeonstep.Offset, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.checkLogAvailableLocked(client, stepAppend); err != nil {
		return 0, err
	}
	if len(payload) > wigeonplatform.MaxPayloadBytes {
		return 0, stepError(stepAppend, fmt.Errorf("%w: %d bytes, the limit is %d", errTooLarge, len(payload), wigeonplatform.MaxPayloadBytes))
	}
	if !p.allowAppendLocked() {
		return 0, stepError(stepAppend, fmt.Errorf("%w: more than %d appends a second", errRate, p.faults.appendsPerSecond()))
	}
	s := p.streamLocked(name)
	offset := s.next
	s.records = append(s.records, storedRecord{
		LogRecord:  wigeonstep.LogRecord{Offset: offset, Payload: bytes.Clone(payload)},
		appendedAt: p.now(),
	})
	s.next++
	p.appends++
	p.wakeReadersLocked()
	if p.loseAnswerLocked() {
		return 0, stepError(stepAppend, wigeonstep.ErrAnswerLost)
	}
	return offset, nil
}

// allowAppendLocked reports whether the append rate permits another append.
func (p *Platform) allowAppendLocked() bool {
	perSecond := p.faults.appendsPerSecond()
	if perSecond < 0 {
		return true
	}
	if p.limiter == nil {
		p.limiter = rate.NewLimiter(rate.Limit(perSecond), perSecond)
	}
	return p.limiter.AllowN(p.now(), 1)
}

// loseAnswerLocked reports whether the answer to the current append is lost.
func (p *Platform) loseAnswerLocked() bool {
	if p.faults.LoseNextAppendAnswers > 0 {
		p.faults.LoseNextAppendAnswers--
		return true
	}
	return p.faults.LoseAppendAnswerProbability > 0 && p.randomLocked().Float64() < p.faults.LoseAppendAnswerProbability
}

func (p *Platform) read(ctx context.Context, client string, name wigeonstep.Stream, from wigeonstep.Offset, limit int, wait time.Duration) (wigeonstep.LogRead, error) {
	if limit <= 0 || limit > maxReadRecords {
		limit = maxReadRecords
	}
	p.mu.Lock()
	delay := p.halfDelayLocked()
	p.mu.Unlock()
	if err := sleepContext(ctx, 2*delay); err != nil {
		return wigeonstep.LogRead{}, stepError(stepRead, fmt.Errorf("%w: %w", wigeonstep.ErrUnavailable, err))
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		read, woken, err := p.readAvailable(client, name, from, limit)
		if err != nil || len(read.Records) > 0 || wait <= 0 {
			return read, err
		}
		select {
		case <-woken:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			return wigeonstep.LogRead{}, stepError(stepRead, fmt.Errorf("%w: %w", wigeonstep.ErrUnavailable, ctx.Err()))
		}
	}
}

// readAvailable reads without waiting. It also returns a channel that is closed when a repeated read may have another
// result.
func (p *Platform) readAvailable(client string, name wigeonstep.Stream, from wigeonstep.Offset, limit int) (wigeonstep.LogRead, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.checkLogAvailableLocked(client, stepRead); err != nil {
		return wigeonstep.LogRead{}, nil, err
	}
	s := p.streamLocked(name)
	read := wigeonstep.LogRead{First: s.first(), Next: s.next}
	if from < read.First {
		return read, nil, stepError(stepRead, fmt.Errorf("%w: offset %d, the oldest is %d", wigeonstep.ErrCompacted, from, read.First))
	}
	read.Records = s.read(from, limit)
	return read, p.readersWokenLocked(), nil
}

// sleepContext waits for the delay or until ctx ends, and returns the error of ctx in the latter case.
func sleepContext(ctx context.Context, delay time.Duration) error {
	if delay <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
