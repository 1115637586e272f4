package wigeoncaller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	errs "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/ext"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
)

// The values of callerConn.state.
const (
	connIdle int32 = iota
	connBusy
	connClosed
)

// discardTimeout bounds the wait for each read of the rest of a refused request, and maxDiscardBytes the size of that rest.
// Closing a connection with unread bytes resets it, and the caller may then lose the response before reading it.
const (
	discardTimeout  = time.Second
	maxDiscardBytes = 64 << 20
)

// callerConn is a connection from a caller with the state of its request loop.
type callerConn struct {
	network.Conn
	// state leaves connIdle only by compare-and-swap, so Drain never closes a connection on which a request has begun.
	state atomic.Int32
	// requestReceived is set after the first complete request; IdleTimeout applies from then on in place of ReadTimeout.
	requestReceived bool
}

// serveConn serves the requests of a connection one after the other until one of them ends it, no further request arrives in
// time, or the connection is closed. Hertz closes the connection when serveConn returns.
func (s *Server) serveConn(ctx context.Context, conn network.Conn) {
	c := &callerConn{Conn: conn}
	s.track(c)
	defer s.untrack(c)
	defer s.recoverPanic(c)
	request, httpResponse := protocol.AcquireRequest(), protocol.AcquireResponse()
	for s.waitForRequest(c) {
		s.inFlight.Add(1)
		keepAlive := s.serveRequest(ctx, c, request, httpResponse)
		s.inFlight.Add(-1)
		if !keepAlive || !c.state.CompareAndSwap(connBusy, connIdle) {
			break
		}
		request.Reset()
		httpResponse.Reset()
	}
	protocol.ReleaseRequest(request)
	protocol.ReleaseResponse(httpResponse)
}

// recoverPanic logs a panic in a request, which ends only its connection and not the process.
func (s *Server) recoverPanic(c *callerConn) {
	cause := recover()
	if cause == nil {
		return
	}
	if c.state.Load() == connBusy {
		s.inFlight.Add(-1)
	}
	s.config.Logger.Error("panic while serving a request; closing the connection", zap.String("peer", c.RemoteAddr().String()), zap.Any("cause", cause), zap.Stack("stack"))
}

// waitForRequest waits for the first byte of the next request and marks the connection as busy. It returns false when no
// byte arrives in time, the read fails, or the connection was closed.
func (s *Server) waitForRequest(c *callerConn) bool {
	timeout := s.config.IdleTimeout
	if !c.requestReceived {
		timeout = s.config.ReadTimeout
	}
	if c.SetReadTimeout(timeout) != nil {
		return false
	}
	if _, err := c.Peek(1); err != nil {
		return false
	}
	return c.state.CompareAndSwap(connIdle, connBusy)
}

// serveRequest reads one request and writes its response. It reports whether the connection can be reused.
func (s *Server) serveRequest(ctx context.Context, c *callerConn, request *protocol.Request, httpResponse *protocol.Response) bool {
	body, refusal := s.readRequest(c, request)
	if refusal != nil {
		s.logBadInput(c, "", refusal)
		_ = s.writeResponse(c, httpResponse, refusal, "", true)
		discardRequestRest(c)
		return false
	}
	c.requestReceived = true
	id := s.nextID()
	response := s.handle(ctx, c, request, body, id)
	closing := request.Header.ConnectionClose() || s.closeAfterResponse.Load()
	responseID := id
	if callerID := request.Header.Peek(wigeonstep.HeaderRequestID); len(callerID) > 0 && len(callerID) <= maxNameBytes {
		// The caller matches the response to its request by the ID that it sent.
		responseID = wigeonstep.RequestID(callerID)
	}
	httpResponse.SkipBody = request.Header.IsHead()
	if err := s.writeResponse(c, httpResponse, &response, responseID, closing); err != nil {
		s.config.Logger.Debug("cannot write the response to the caller",
			zap.String("request", string(id)), zap.String("peer", c.RemoteAddr().String()), zap.String("outcome", string(response.Outcome)), zap.Error(err))
		return false
	}
	_ = c.Release()
	return !closing
}

// readRequest reads the header and the body within the limits. After a refusal the connection cannot be reused, because
// the start of the next request is unknown.
func (s *Server) readRequest(c *callerConn, request *protocol.Request) ([]byte, *wigeonstep.Response) {
	if c.SetReadTimeout(s.config.ReadTimeout) != nil {
		return nil, badInput(http.StatusBadRequest, "the connection failed")
	}
	if err := req.ReadHeaderWithLimit(&request.Header, c, s.config.MaxHeader); err != nil {
		return nil, s.readErrorResponse(err, "header")
	}
	if request.MayContinue() {
		if _, err := c.WriteBinary([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil || c.Flush() != nil {
			return nil, badInput(http.StatusBadRequest, "the connection failed")
		}
	}
	length := request.Header.ContentLength()
	if length == 0 || length < -1 {
		return nil, nil
	}
	body, err := ext.ReadBody(c, length, s.config.MaxBody, nil)
	if err == nil && length == -1 {
		err = ext.ReadTrailer(request.Header.Trailer(), c)
	}
	if err != nil {
		return nil, s.readErrorResponse(err, "body")
	}
	return body, nil
}

// badInput returns BadInput as a pointer.
func badInput(status int, reason string) *wigeonstep.Response {
	r := BadInput(status, reason)
	return &r
}

// readErrorResponse maps an error from reading the header or the body to the response that the caller gets.
func (s *Server) readErrorResponse(err error, part string) *wigeonstep.Response {
	switch {
	case errors.Is(err, errs.ErrBodyTooLarge):
		return badInput(http.StatusRequestEntityTooLarge, "the body of the request is larger than the limit")
	case errors.Is(err, errs.ErrHeaderTooLarge):
		return badInput(http.StatusRequestHeaderFieldsTooLarge, "the header of the request is larger than the limit")
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, errs.ErrTimeout) || strings.Contains(err.Error(), "i/o timeout"):
		return badInput(http.StatusRequestTimeout, "the "+part+" of the request did not arrive in time")
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || strings.Contains(err.Error(), "EOF"):
		return badInput(http.StatusBadRequest, "the "+part+" of the request is truncated")
	default:
		return badInput(http.StatusBadRequest, "the "+part+" of the request cannot be read as HTTP/1.1")
	}
}

// logBadInput logs an invalid request and the response to it.
func (s *Server) logBadInput(c *callerConn, id wigeonstep.RequestID, response *wigeonstep.Response) {
	s.config.Logger.Warn("bad input refused",
		zap.String("request", string(id)), zap.String("peer", c.RemoteAddr().String()),
		zap.Int("status", response.Status), zap.String("reason", response.Refusal.Reason))
}

func (s *Server) writeResponse(c *callerConn, httpResponse *protocol.Response, response *wigeonstep.Response, id wigeonstep.RequestID, closing bool) error {
	encodeResponse(httpResponse, response, id)
	if closing {
		httpResponse.Header.SetConnectionClose(true)
	}
	if err := c.SetWriteTimeout(s.config.WriteTimeout); err != nil {
		return err
	}
	if err := resp.Write(httpResponse, c); err != nil {
		return err
	}
	return c.Flush()
}

// discardRequestRest reads and discards the rest of a refused request.
func discardRequestRest(c *callerConn) {
	if c.SetReadTimeout(discardTimeout) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c, maxDiscardBytes)
}
