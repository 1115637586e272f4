package wigeonpeer

import (
	"context"
	"fmt"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	stepFetchRecords  = "peer fetch records"
	stepFetchSnapshot = "peer fetch snapshot"

	recordsTimeout = 2 * time.Second
	// snapshotTimeout allows 16 MB at about 1 MB/s.
	snapshotTimeout = 15 * time.Second
)

// RecordSource reads the fleet stream from one peer. It implements wigeonfollow.RecordSource.
type RecordSource struct {
	Client *Client
	// Address is host:port of the peer.
	Address string
	// Session returns the session of this process for PeerRequest.from_session; nil sends zero.
	Session func() wigeonstep.SessionID
}

// FetchRecords returns records from the offset on, or ErrCompacted when the peer no longer holds it.
func (s *RecordSource) FetchRecords(ctx context.Context, from wigeonstep.Offset, limit int) (*wigeonwire.Records, error) {
	ctx, cancel := context.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	response, err := s.Client.Call(ctx, s.Address, &wigeonwire.PeerRequest{
		FromSession: s.session(),
		Body: &wigeonwire.PeerRequest_FetchRecords{FetchRecords: &wigeonwire.FetchRecords{
			FromOffset: uint64(from),
			MaxRecords: uint32(max(limit, 0)), //nolint:gosec // limits are small
		}},
	})
	if err != nil {
		return nil, err
	}
	records := response.GetRecords()
	if records == nil {
		return nil, s.unexpected(stepFetchRecords)
	}
	if uint64(from) < records.GetFirstOffset() {
		return nil, &wigeonstep.StepError{Step: stepFetchRecords, Peer: s.Address, Err: fmt.Errorf(
			"%w: offset %d, the oldest is %d", wigeonstep.ErrCompacted, from, records.GetFirstOffset())}
	}
	return records, nil
}

// FetchSnapshot returns the encoded state of the peer.
func (s *RecordSource) FetchSnapshot(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	response, err := s.Client.Call(ctx, s.Address, &wigeonwire.PeerRequest{
		FromSession: s.session(),
		Body:        &wigeonwire.PeerRequest_FetchSnapshot{FetchSnapshot: &wigeonwire.FetchSnapshot{}},
	})
	if err != nil {
		return nil, err
	}
	if response.GetSnapshot() == nil {
		return nil, s.unexpected(stepFetchSnapshot)
	}
	return response.GetSnapshot().GetState(), nil
}

func (s *RecordSource) session() uint64 {
	if s.Session == nil {
		return 0
	}
	return uint64(s.Session())
}

func (s *RecordSource) unexpected(step string) error {
	return &wigeonstep.StepError{Step: step, Peer: s.Address, Err: fmt.Errorf("%w: the response is of another kind", wigeonstep.ErrRejected)}
}
