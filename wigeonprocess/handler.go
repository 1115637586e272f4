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

// stateHandler answers the requests of peers and operators that concern the folded state.
type stateHandler struct {
	follower *wigeonfollow.Follower
}

// HandlePeer implements wigeonpeer.Handler.
func (h stateHandler) HandlePeer(ctx context.Context, request *wigeonwire.PeerRequest) *wigeonwire.PeerResponse {
	response := &wigeonwire.PeerResponse{FromSession: uint64(h.follower.Session())}
	var err error
	switch body := request.GetBody().(type) {
	case *wigeonwire.PeerRequest_FetchRecords:
		err = h.records(ctx, body.FetchRecords, response)
	case *wigeonwire.PeerRequest_FetchSnapshot:
		var state []byte
		state, err = h.follower.FetchSnapshot(ctx)
		response.Body = &wigeonwire.PeerResponse_Snapshot{Snapshot: &wigeonwire.SnapshotData{State: state}}
	case *wigeonwire.PeerRequest_Status:
		var status *wigeonwire.StatusData
		status, err = wigeonoperator.Answer(body.Status, h.follower)
		response.Body = &wigeonwire.PeerResponse_Status{Status: status}
	default:
		err = fmt.Errorf("this process does not answer %T", body)
	}
	if err != nil {
		return &wigeonwire.PeerResponse{FromSession: response.FromSession, Error: err.Error()}
	}
	return response
}

// records answers with a first offset above the asked one when that one is no longer held.
func (h stateHandler) records(ctx context.Context, fetch *wigeonwire.FetchRecords, response *wigeonwire.PeerResponse) error {
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
