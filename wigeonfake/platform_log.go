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

	// maxReadRecords and maxReadBytes bound one answer.
	maxReadRecords = 1000
	maxReadBytes   = 4 << 20
)

var (
	errRate     = fmt.Errorf("%w: append rate exceeded", wigeonstep.ErrRejected)
	errTooLarge = fmt.Errorf("%w: payload too large", wigeonstep.ErrRejected)
)

// stream is one stream of the log. The first record of an empty stream gets offset 0.
type stream struct {
	records []storedRecord
	next    wigeonstep.Offset
}

type storedRecord struct {
	wigeonstep.LogRecord
	at time.Time
}

func (s *stream) first() wigeonstep.Offset {
	return s.next - wigeonstep.Offset(len(s.records))
}

// compact drops the records that the retention no longer covers.
func (s *stream) compact(faults Faults, now time.Time) {
	drop := 0
	if keep := faults.RetainRecords; keep > 0 && len(s.records) > keep {
		drop = len(s.records) - keep
	}
	if age := faults.RetainAge; age > 0 {
		for drop < len(s.records) && now.Sub(s.records[drop].at) > age {
			drop++
		}
	}
	s.records = s.records[drop:]
}

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

func (p *Platform) streamLocked(name wigeonstep.Stream) *stream {
	if p.streams == nil {
		p.streams = map[wigeonstep.Stream]*stream{}
	}
	s := p.streams[name]
	if s == nil {
		s = &stream{}
		p.streams[name] = s
	}
	s.compact(p.faults, p.now())
	return s
}

// delayLocked returns half of the delay of one call to the log.
func (p *Platform) delayLocked() time.Duration {
	delay := p.faults.LogDelay
	if jitter := p.faults.LogDelayJitter; jitter > 0 {
		delay += time.Duration(p.randomLocked().Int64N(int64(jitter)))
	}
	return delay / 2
}

func (p *Platform) append(ctx context.Context, client string, name wigeonstep.Stream, payload []byte) (wigeonstep.Offset, error) {
	p.mu.Lock()
	delay := p.delayLocked()
	p.mu.Unlock()
	if err := pause(ctx, delay); err != nil {
		return 0, stepError(stepAppend, fmt.Errorf("%w: %w", wigeonstep.ErrUnavailable, err))
	}
	offset, err := p.appendNow(client, name, payload)
	if err != nil {
		return 0, err
	}
	if err := pause(ctx, delay); err != nil {
		return 0, stepError(stepAppend, fmt.Errorf("%w: %w", wigeonstep.ErrAnswerLost, err))
	}
	return offset, nil
}

func (p *Platform) appendNow(client string, name wigeonstep.Stream, payload []byte) (wigeonstep.Offset, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.reachLocked(client, stepAppend); err != nil {
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
		LogRecord: wigeonstep.LogRecord{Offset: offset, Payload: bytes.Clone(payload)},
		at:        p.now(),
	})
	s.next++
	p.appends++
	p.wakeLocked()
	if p.loseAnswerLocked() {
		return 0, stepError(stepAppend, wigeonstep.ErrAnswerLost)
	}
	return offset, nil
}

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

func (p *Platform) loseAnswerLocked() bool {
	if p.faults.LoseNextAppendAnswers > 0 {
		p.faults.LoseNextAppendAnswers--
		return true
	}
	return p.faults.LoseAppendAnswers > 0 && p.randomLocked().Float64() < p.faults.LoseAppendAnswers
}

func (p *Platform) read(ctx context.Context, client string, name wigeonstep.Stream, from wigeonstep.Offset, limit int, wait time.Duration) (wigeonstep.LogRead, error) {
	if limit <= 0 || limit > maxReadRecords {
		limit = maxReadRecords
	}
	p.mu.Lock()
	delay := p.delayLocked()
	p.mu.Unlock()
	if err := pause(ctx, 2*delay); err != nil {
		return wigeonstep.LogRead{}, stepError(stepRead, fmt.Errorf("%w: %w", wigeonstep.ErrUnavailable, err))
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		read, changed, err := p.readNow(client, name, from, limit)
		if err != nil || len(read.Records) > 0 || wait <= 0 {
			return read, err
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			return wigeonstep.LogRead{}, stepError(stepRead, fmt.Errorf("%w: %w", wigeonstep.ErrUnavailable, ctx.Err()))
		}
	}
}

// readNow reads without waiting. The channel is closed when another read may have another result.
func (p *Platform) readNow(client string, name wigeonstep.Stream, from wigeonstep.Offset, limit int) (wigeonstep.LogRead, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.reachLocked(client, stepRead); err != nil {
		return wigeonstep.LogRead{}, nil, err
	}
	s := p.streamLocked(name)
	read := wigeonstep.LogRead{First: s.first(), Next: s.next}
	if from < read.First {
		return read, nil, stepError(stepRead, fmt.Errorf("%w: offset %d, the oldest is %d", wigeonstep.ErrCompacted, from, read.First))
	}
	read.Records = s.read(from, limit)
	return read, p.changedLocked(), nil
}

// pause waits for the time to pass or for ctx to end, whichever is first.
func pause(ctx context.Context, delay time.Duration) error {
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
