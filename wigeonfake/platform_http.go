package wigeonfake

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonplatform"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// serverTimeout bounds a call to the log, because faults can delay it without limit.
const serverTimeout = 2 * wigeonplatform.MaxWait

// PlatformServer serves a Platform over HTTP with the API of wigeonplatform, and with a control endpoint:
//
//	GET /control/faults            returns the faults as JSON; durations are in milliseconds
//	PUT /control/faults            replaces the faults; absent fields take their defaults
//	PATCH /control/faults          changes the faults; absent fields keep their values
//	PUT /control/cut/{client}      disconnects a client; DELETE reconnects it
//	GET /control/vms               returns the current states of the VMs, without the lag of the VM list
//	POST /control/vms              adds or replaces a VM, given as an element of the VM list
//	DELETE /control/vms/{id}       removes a VM
//	PUT /control/vms/{id}/up|down|leaving|staying  changes a VM as SetVMUp and SetVMLeaving do
//
// The server closes the connection without an answer when a disconnected client calls, and when the answer to an append is
// lost.
type PlatformServer struct {
	// Platform is the platform to serve. It is set before Start.
	Platform *Platform

	http *httpServer
}

// Start listens on host:port and starts to serve.
func (s *PlatformServer) Start(address string) error {
	started, err := startHTTP(address, 0, s.registerRoutes)
	s.http = started
	return err
}

// Address returns the host:port on which the server listens.
func (s *PlatformServer) Address() string {
	return s.http.address()
}

// Close stops the server and resets all connections.
func (s *PlatformServer) Close() {
	s.http.kill()
}

func (s *PlatformServer) registerRoutes(engine *server.Hertz) {
	engine.POST(wigeonplatform.PathLog+":stream", s.append)
	engine.GET(wigeonplatform.PathLog+":stream", s.read)
	engine.GET(wigeonplatform.PathVMs, s.listVMs)
	engine.POST(wigeonplatform.PathVMs+"/:action", s.performAction)
	s.registerControlRoutes(engine)
	engine.NoRoute(func(_ context.Context, c *app.RequestContext) {
		writeJSON(c, http.StatusNotFound, wigeonplatform.ErrorResponse{Reason: "no such path"})
	})
}

// clientName returns the name that the client states in its request.
func clientName(c *app.RequestContext) string {
	return c.Request.Header.Get(wigeonplatform.HeaderClient)
}

func (s *PlatformServer) append(ctx context.Context, c *app.RequestContext) {
	ctx, cancel := context.WithTimeout(ctx, serverTimeout)
	defer cancel()
	offset, err := s.Platform.append(ctx, clientName(c), wigeonstep.Stream(c.Param("stream")), c.Request.Body())
	if err != nil {
		s.writeError(ctx, c, err)
		return
	}
	writeJSON(c, http.StatusOK, wigeonplatform.AppendResponse{Offset: &offset})
}

func (s *PlatformServer) read(ctx context.Context, c *app.RequestContext) {
	from, err := strconv.ParseUint(c.Query("from"), 10, 64)
	limit, limitErr := strconv.Atoi(c.Query("limit"))
	waitMS, waitErr := strconv.ParseInt(c.Query("wait_ms"), 10, 64)
	if err := errors.Join(err, limitErr, waitErr); err != nil || waitMS < 0 {
		writeJSON(c, http.StatusBadRequest, wigeonplatform.ErrorResponse{Reason: "from, limit and wait_ms must be whole numbers"})
		return
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, wigeonplatform.MaxWait)
	ctx, cancel := context.WithTimeout(ctx, serverTimeout)
	defer cancel()
	read, err := s.Platform.read(ctx, clientName(c), wigeonstep.Stream(c.Param("stream")), wigeonstep.Offset(from), limit, wait)
	if errors.Is(err, wigeonstep.ErrCompacted) {
		writeJSON(c, http.StatusGone, wigeonplatform.ErrorResponse{Reason: err.Error(), First: read.First, Next: read.Next})
		return
	}
	if err != nil {
		s.writeError(ctx, c, err)
		return
	}
	records := &wigeonwire.Records{FirstOffset: uint64(read.First), NextOffset: uint64(read.Next)}
	for _, r := range read.Records {
		records.Records = append(records.Records, &wigeonwire.LogRecord{Offset: uint64(r.Offset), Payload: r.Payload})
	}
	body, err := proto.Marshal(records)
	if err != nil {
		s.writeError(ctx, c, err)
		return
	}
	c.Data(http.StatusOK, "application/x-protobuf", body)
}

func (s *PlatformServer) listVMs(ctx context.Context, c *app.RequestContext) {
	changes, err := s.Platform.listChanges(ctx, clientName(c), c.Query("since"))
	if err != nil {
		s.writeError(ctx, c, err)
		return
	}
	writeJSON(c, http.StatusOK, changes)
}

func (s *PlatformServer) performAction(ctx context.Context, c *app.RequestContext) {
	var request wigeonplatform.VMRequest
	if err := decodeJSON(c.Request.Body(), &request); err != nil {
		writeJSON(c, http.StatusBadRequest, wigeonplatform.ErrorResponse{Reason: err.Error()})
		return
	}
	client := s.Platform.Client(clientName(c))
	var err error
	switch wigeonplatform.VMAction(c.Param("action")) {
	case wigeonplatform.ActionDrain:
		err = client.DrainVM(ctx, request.VM, request.Epoch)
	case wigeonplatform.ActionReboot:
		err = client.RebootVM(ctx, request.VM, request.Epoch)
	case wigeonplatform.ActionAssign:
		err = client.AssignVM(ctx, request.VM, request.Pool, request.Epoch)
	case wigeonplatform.ActionCheckpoint:
		err = client.CheckpointVM(ctx, request.VM, request.Epoch)
	default:
		writeJSON(c, http.StatusNotFound, wigeonplatform.ErrorResponse{Reason: "no such action"})
		return
	}
	if err != nil {
		s.writeError(ctx, c, err)
		return
	}
	c.Status(http.StatusNoContent)
}

// writeError answers with the status for the error. If the answer is lost or the client is disconnected, it closes the
// connection instead.
func (s *PlatformServer) writeError(ctx context.Context, c *app.RequestContext, err error) {
	status := http.StatusInternalServerError
	switch {
	case errors.Is(err, wigeonstep.ErrAnswerLost), errors.Is(err, errDisconnected):
		connFromContext(ctx).closeAfter(0)
	case errors.Is(err, wigeonstep.ErrUnavailable):
		status = http.StatusServiceUnavailable
	case errors.Is(err, errRate):
		status = http.StatusTooManyRequests
	case errors.Is(err, errTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, wigeonstep.ErrRejected):
		status = http.StatusConflict
	}
	writeJSON(c, status, wigeonplatform.ErrorResponse{Reason: err.Error()})
}
