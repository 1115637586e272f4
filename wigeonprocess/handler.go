package wigeonprocess

import (
	"context"
	"errors"
	"fmt"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonfollow"
	"github.com/wigeonstep/wigeonstep/wigeonoperator"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// stateHandler serves peers and operators from the folded state and the records that the follower holds.
type stateHandler struct {
	follower *wigeonfollow.Follower
}

// HandlePeer answers requests for records, snapshots and status queries.
func (h stateHandler) HandlePeer(ctx context.Context, request *wigeonwire.PeerRequest) *wigeonwire.PeerResponse {
	response := &wigeonwire.PeerResponse{FromSession: uint64(h.follower.Session())}
	var err error
	switch body := request.GetBody().(type) {
	case *wigeonwire.PeerRequest_FetchRecords:
		err = h.fetchRecords(ctx, body.FetchRecords, response)
	case *wigeonwire.PeerRequest_FetchSnapshot:
		var state []byte
		state, err = h.follower.FetchSnapshot(ctx)
		response.Body = &wigeonwire.PeerResponse_Snapshot{Snapshot: &wigeonwire.SnapshotData{State: state}}
	case *wigeonwire.PeerRequest_Status:
		var status *wigeonwire.StatusData
		status, err = wigeonoperator.AnswerStatusQuery(body.Status, h.follower)
		response.Body = &wigeonwire.PeerResponse_Status{Status: status}
	default:
		err = fmt.Errorf("this process does not answer %T", body)
	}
	if err != nil {
		return &wigeonwire.PeerResponse{FromSession: response.FromSession, Error: err.Error()}
	}
	return response
}

// fetchRecords sets the response to the records from the requested offset. When that offset is no longer held, it sets a
// first offset above the requested one, which the client of the peer turns into wigeonstep.ErrCompacted.
func (h stateHandler) fetchRecords(ctx context.Context, fetch *wigeonwire.FetchRecords, response *wigeonwire.PeerResponse) error {
	records, err := h.follower.FetchRecords(ctx, wigeonstep.Offset(fetch.GetFromOffset()), int(fetch.GetMaxRecords()))
	if err != nil && !errors.Is(err, wigeonstep.ErrCompacted) {
		return err
	}
	if records == nil {
		records = &wigeonwire.Records{FirstOffset: fetch.GetFromOffset() + 1}
	}
	response.Body = &wigeonwire.PeerResponse_Records{Records: records}
	return nil
}
