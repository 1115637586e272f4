package wigeonpeer

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// StreamHandler is implemented by a Handler that answers some requests with a stream of messages.
type StreamHandler interface {
	// HandleStream serves the stream that the request opened, until it returns or the stream closes. It reports false, and
	// does nothing, for a request that HandlePeer answers.
	HandleStream(ctx context.Context, request *wigeonwire.PeerRequest, stream *Stream) bool
}

// Stream carries messages in both directions, in order. One goroutine may send while another one receives.
type Stream struct {
	inner *yamux.Stream
}

// Open sends the request to the peer at the address and returns the stream that the request opens. The error is a
// *wigeonstep.StepError. The caller closes the stream.
func (c *Client) Open(ctx context.Context, address string, request *wigeonwire.PeerRequest) (*Stream, error) {
	stream, err := c.open(ctx, address, request)
	if err != nil {
		return nil, &wigeonstep.StepError{Step: "peer stream", Peer: address, Err: fmt.Errorf("%w: %w", wigeonstep.ErrUnavailable, err)}
	}
	return stream, nil
}

func (c *Client) open(ctx context.Context, address string, request *wigeonwire.PeerRequest) (*Stream, error) {
	l, err := c.link(address)
	if err != nil {
		return nil, err
	}
	session, err := l.sessionOrDial(ctx)
	if err != nil {
		return nil, err
	}
	inner, err := session.OpenStream()
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	stream := &Stream{inner: inner}
	if err := stream.Send(request); err != nil {
		l.checkSession(session)
		stream.Close()
		return nil, err
	}
	return stream, nil
}

// Send sends a message. It blocks while the peer does not read, at most for the time limit of a response.
func (s *Stream) Send(message proto.Message) error {
	frame, err := encodeFrame(message)
	if err != nil {
		return err
	}
	if err := s.inner.SetWriteDeadline(time.Now().Add(responseTimeout)); err != nil {
		return fmt.Errorf("send message: %w", err)
	}
	if _, err := s.inner.Write(frame); err != nil {
		return fmt.Errorf("send message: %w", err)
	}
	return nil
}

// Receive waits for the next message and decodes it.
func (s *Stream) Receive(message proto.Message) error {
	return readFrame(s.inner, message)
}

// Close closes the stream in both directions. It ends calls of Send and Receive, here and at the peer.
func (s *Stream) Close() {
	_ = s.inner.SetDeadline(time.Unix(1, 0))
	_ = s.inner.Close()
}
