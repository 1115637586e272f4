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
	// snapshotTimeout allows for a snapshot of MaxFrameBytes (16 MB) at about 1 MB/s.
	snapshotTimeout = 15 * time.Second
)

// RecordSource fetches records and snapshots of the fleet stream from one peer. It implements
// wigeonfollow.RecordSource.
type RecordSource struct {
	Client *Client
	// Address is the host:port of the peer.
	Address string
	// Session returns the ID of the log session of this process, which is sent as PeerRequest.from_session. If Session is
	// nil, 0 is sent.
	Session func() wigeonstep.SessionID
}

// FetchRecords returns at most limit records from the offset on. The error wraps wigeonstep.ErrCompacted when the peer no
// longer holds the offset.
func (s *RecordSource) FetchRecords(ctx context.Context, from wigeonstep.Offset, limit int) (*wigeonwire.Records, error) {
	ctx, cancel := context.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	response, err := s.Client.Call(ctx, s.Address, &wigeonwire.PeerRequest{
		FromSession: s.fromSession(),
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

// FetchSnapshot returns the encoded state of the peer, which was folded from the fleet stream.
func (s *RecordSource) FetchSnapshot(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	response, err := s.Client.Call(ctx, s.Address, &wigeonwire.PeerRequest{
		FromSession: s.fromSession(),
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

func (s *RecordSource) fromSession() uint64 {
	if s.Session == nil {
		return 0
	}
	return uint64(s.Session())
}

func (s *RecordSource) unexpected(step string) error {
	return &wigeonstep.StepError{Step: step, Peer: s.Address, Err: fmt.Errorf("%w: the response has an unexpected type", wigeonstep.ErrRejected)}
}
