package wigeonsoak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// connection is a kept-alive connection to one process. It is used until the process closes it, also after an answer that
// asks to close it, and is then opened again, so that requests arrive until the process is gone.
type connection struct {
	address string
	history *history
	conn    net.Conn
	reader  *bufio.Reader
}

// roundTrip sends a request and returns the answer. The status is 0 if no complete answer arrived, or if the process does
// not listen.
func (c *connection) roundTrip(r *http.Request) (status int, answer []byte) {
	if c.conn == nil && !c.open(r.Context()) {
		return 0, nil
	}
	_ = c.conn.SetDeadline(time.Now().Add(requestDeadline))
	if err := r.Write(c.conn); err != nil {
		c.close()
		return 0, nil
	}
	sentAt := time.Now()
	status, answer, err := c.readAnswer(r)
	if err == nil {
		return status, answer
	}
	c.close()
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.history.recordCut(cutRequest{fmt.Sprintf("%s %s at %s (%v)", r.Method, r.URL.Path, c.address, err), sentAt, time.Now()})
	}
	return 0, nil
}

func (c *connection) readAnswer(r *http.Request) (status int, answer []byte, err error) {
	response, err := http.ReadResponse(c.reader, r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

func (c *connection) open(ctx context.Context) bool {
	conn, err := (&net.Dialer{Timeout: requestDeadline}).DialContext(ctx, "tcp", c.address)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *connection) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
