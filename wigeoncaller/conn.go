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

const (
	connIdle int32 = iota
	connBusy
	connClosed
)

// lingerTime and lingerBytes bound how long the rest of a refused request is read. Closing with unread bytes would reset the connection and could destroy the response before the caller reads it.
const (
	lingerTime  = time.Second
	lingerBytes = 64 << 20
)

// callerConn is one connection of a caller.
type callerConn struct {
	network.Conn
	// state leaves connIdle by compare-and-swap only, so a stop never closes a connection whose request has begun.
	state atomic.Int32
	// begun is set once the caller sent a whole request on the connection.
	begun bool
}

func (s *Server) serveConn(ctx context.Context, raw network.Conn) {
	c := &callerConn{Conn: raw}
	s.track(c)
	defer s.untrack(c)
	defer s.recoverPanic(c)
	request, answer := protocol.AcquireRequest(), protocol.AcquireResponse()
	for s.waitRequest(c) {
		s.inFlight.Add(1)
		keep := s.serveOne(ctx, c, request, answer)
		s.inFlight.Add(-1)
		if !keep || !c.state.CompareAndSwap(connBusy, connIdle) {
			break
		}
		request.Reset()
		answer.Reset()
	}
	protocol.ReleaseRequest(request)
	protocol.ReleaseResponse(answer)
}

func (s *Server) recoverPanic(c *callerConn) {
	cause := recover()
	if cause == nil {
		return
	}
	if c.state.Load() == connBusy {
		s.inFlight.Add(-1)
	}
	s.config.Logger.Error("handling a request panicked; its connection is closed", zap.String("peer", c.RemoteAddr().String()), zap.Any("cause", cause), zap.Stack("stack"))
}

// waitRequest returns true when the first byte of a request has arrived.
func (s *Server) waitRequest(c *callerConn) bool {
	timeout := s.config.IdleTimeout
	if !c.begun {
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

// serveOne reads one request and writes its response. It returns whether the connection may carry another request.
func (s *Server) serveOne(ctx context.Context, c *callerConn, request *protocol.Request, answer *protocol.Response) bool {
	body, refusal := s.readRequest(c, request)
	if refusal != nil {
		s.refuse(c, "", refusal)
		_ = s.write(c, answer, refusal, "", true)
		linger(c)
		return false
	}
	c.begun = true
	id := s.nextID()
	response := s.handle(ctx, c, request, body, id)
	closing := request.Header.ConnectionClose() || s.leaving.Load()
	shown := id
	if own := request.Header.Peek(wigeonstep.HeaderRequestID); len(own) > 0 && len(own) <= maxNameBytes {
		// A caller that names its request recognises the answer by that name.
		shown = wigeonstep.RequestID(own)
	}
	answer.SkipBody = request.Header.IsHead()
	if err := s.write(c, answer, &response, shown, closing); err != nil {
		s.config.Logger.Debug("the caller was gone before its response was written",
			zap.String("request", string(id)), zap.String("peer", c.RemoteAddr().String()), zap.String("outcome", string(response.Outcome)), zap.Error(err))
		return false
	}
	_ = c.Release()
	return !closing
}

// readRequest reads header and body within the limits. A refusal ends the connection, because the start of the next request is not known.
func (s *Server) readRequest(c *callerConn, request *protocol.Request) ([]byte, *wigeonstep.Response) {
	if c.SetReadTimeout(s.config.ReadTimeout) != nil {
		return nil, refusal(http.StatusBadRequest, "the connection failed")
	}
	if err := req.ReadHeaderWithLimit(&request.Header, c, s.config.MaxHeader); err != nil {
		return nil, s.readFailure(err, "header")
	}
	if request.MayContinue() {
		if _, err := c.WriteBinary([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil || c.Flush() != nil {
			return nil, refusal(http.StatusBadRequest, "the connection failed")
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
		return nil, s.readFailure(err, "body")
	}
	return body, nil
}

func refusal(status int, reason string) *wigeonstep.Response {
	r := BadInput(status, reason)
	return &r
}

func (s *Server) readFailure(err error, part string) *wigeonstep.Response {
	switch {
	case errors.Is(err, errs.ErrBodyTooLarge):
		return refusal(http.StatusRequestEntityTooLarge, "the body of the request is larger than the limit")
	case errors.Is(err, errs.ErrHeaderTooLarge):
		return refusal(http.StatusRequestHeaderFieldsTooLarge, "the header of the request is larger than the limit")
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, errs.ErrTimeout) || strings.Contains(err.Error(), "i/o timeout"):
		return refusal(http.StatusRequestTimeout, "the "+part+" of the request did not arrive in time")
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || strings.Contains(err.Error(), "EOF"):
		return refusal(http.StatusBadRequest, "the "+part+" of the request is truncated")
	default:
		return refusal(http.StatusBadRequest, "the "+part+" of the request cannot be read as HTTP/1.1")
	}
}

func (s *Server) refuse(c *callerConn, id wigeonstep.RequestID, response *wigeonstep.Response) {
	s.config.Logger.Warn("bad input refused",
		zap.String("request", string(id)), zap.String("peer", c.RemoteAddr().String()),
		zap.Int("status", response.Status), zap.String("reason", response.Refusal.Reason))
}

func (s *Server) write(c *callerConn, answer *protocol.Response, response *wigeonstep.Response, id wigeonstep.RequestID, closing bool) error {
	fill(answer, response, id)
	if closing {
		answer.Header.SetConnectionClose(true)
	}
	if err := c.SetWriteTimeout(s.config.WriteTimeout); err != nil {
		return err
	}
	if err := resp.Write(answer, c); err != nil {
		return err
	}
	return c.Flush()
}

func linger(c *callerConn) {
	if c.SetReadTimeout(lingerTime) != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c, lingerBytes)
}
