package wigeoningress

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/common/test/mock"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
)

// scriptedConn returns the input in reads of at most step bytes, and then io.EOF. It collects what is written.
type scriptedConn struct {
	net.Conn
	input   []byte
	step    int
	written bytes.Buffer
}

func (c *scriptedConn) Read(b []byte) (int, error) {
	if len(c.input) == 0 {
		return 0, io.EOF
	}
	n := copy(b, c.input[:min(c.step, len(c.input))])
	c.input = c.input[n:]
	return n, nil
}

func (c *scriptedConn) Write(b []byte) (int, error) { return c.written.Write(b) }
func (c *scriptedConn) Close() error                { return nil }
func (c *scriptedConn) RemoteAddr() net.Addr {
	return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}
}
func (c *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// scriptedListener accepts the connections in its list.
type scriptedListener struct {
	net.Listener
	conns []net.Conn
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	if len(l.conns) == 0 {
		return nil, net.ErrClosed
	}
	c := l.conns[0]
	l.conns = l.conns[1:]
	return c, nil
}

var testLimits = Limits{
	HeadBytes: 512, RequestLineBytes: 200, Fields: 8, EmptyLines: 2, BodyBytes: 64, ChunkLineBytes: 16, Chunks: 20, FramingRatio: 8, TrailerBytes: 40,
}

// receiveAll returns the requests that the library gets for the input, and what the client is answered by the connection itself.
func receiveAll(t testing.TB, gate *Gate, input []byte, step int, limits Limits) (requests []string, written string) {
	t.Helper()
	inner := &scriptedConn{input: bytes.Clone(input), step: step}
	accepted, err := gate.Listen(&scriptedListener{conns: []net.Conn{inner}}, ListenerSettings{Limits: limits}).Accept()
	qt.Assert(t, err, qt.IsNil)
	c := accepted.(*Conn)
	var request []byte
	p := make([]byte, 4096)
	for {
		n, err := c.Read(p)
		if err != nil {
			qt.Assert(t, errors.Is(err, io.EOF), qt.IsTrue)
			qt.Assert(t, request, qt.HasLen, 0)
			break
		}
		qt.Assert(t, n > 0, qt.IsTrue)
		request = append(request, p[:n]...)
		if len(c.out[0])+len(c.out[1]) == 0 {
			requests, request = append(requests, string(request)), nil
		}
	}
	qt.Assert(t, c.Close(), qt.IsNil)
	qt.Assert(t, gate.used.Load(), qt.Equals, int64(0))
	return requests, inner.written.String()
}

// checkLibraryAgrees fails unless the library takes each request for exactly one.
func checkLibraryAgrees(t testing.TB, requests []string) {
	t.Helper()
	for _, text := range requests {
		var r protocol.Request
		reader := mock.NewZeroCopyReader(text)
		err := req.Read(&r, reader, false)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%q", text))
		qt.Assert(t, reader.Len(), qt.Equals, 0, qt.Commentf("%q", text))
	}
}

const (
	get  = "GET /q/ HTTP/1.1\r\nHost: a\r\n"
	post = "POST /q/1 HTTP/1.1\r\nHost: a\r\n"
	// chunked begins a request with a body in chunks.
	chunked = post + "Transfer-Encoding: chunked\r\n\r\n"
)

// Guards against a request within the limits that is refused, changed or cut, however its bytes arrive.
func TestRequestsWithinLimits(t *testing.T) {
	withLength := func(n int, body string) string { return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", post, n, body) }
	for _, test := range []struct {
		name, input string
		want        []string
	}{
		{"no body", get + "\r\n", []string{get + "\r\n"}},
		{"length 0", get + "Content-Length: 0\r\n\r\n", []string{get + "Content-Length: 0\r\n\r\n"}},
		{"body", withLength(2, "{}"), []string{withLength(2, "{}")}},
		{"largest body", withLength(64, strings.Repeat("a", 64)), []string{withLength(64, strings.Repeat("a", 64))}},
		{"empty lines", "\r\n\r\n" + get + "\r\n", []string{get + "\r\n"}},
		{"pipelined", get + "\r\n" + withLength(2, "{}") + get + "\r\n", []string{get + "\r\n", withLength(2, "{}"), get + "\r\n"}},
		{"chunks", chunked + "1\r\n{\r\n1;x=y\r\n}\r\n0\r\n\r\n", []string{withLength(2, "{}")}},
		{"trailers", chunked + "2\r\n{}\r\n0\r\nX-A: b\r\nX-C: d\r\n\r\n" + get + "\r\n", []string{withLength(2, "{}"), get + "\r\n"}},
		{"leading zeros", chunked + "0002\r\n{}\r\n000\r\n\r\n", []string{withLength(2, "{}")}},
		{"empty chunked body", chunked + "0\r\n\r\n", []string{withLength(0, "")}},
		{"no final bytes", get + "\r\n" + get, []string{get + "\r\n"}},
	} {
		for _, step := range []int{1, 2, 3, 7, 4096} {
			requests, written := receiveAll(t, NewGate(Settings{}), []byte(test.input), step, testLimits)
			qt.Assert(t, requests, qt.DeepEquals, test.want, qt.Commentf("%s, %d bytes at once", test.name, step))
			qt.Assert(t, written, qt.Equals, "")
			checkLibraryAgrees(t, requests)
		}
	}
}

// Guards against a body that a client never sends because it waits for an interim response.
func TestExpectedContinue(t *testing.T) {
	for _, step := range []int{1, 4096} {
		requests, written := receiveAll(t, NewGate(Settings{}), []byte(post+"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n{}"), step, testLimits)
		qt.Assert(t, requests, qt.DeepEquals, []string{post + "Content-Length: 2\r\n\r\n{}"})
		qt.Assert(t, written == "HTTP/1.1 100 Continue\r\n\r\n", qt.Equals, step == 1)
	}
}

// Guards against a large request after which the library keeps its buffers for the life of the connection.
func TestLargeRequestEndsItsConnection(t *testing.T) {
	for name, head := range map[string]string{
		"bytes":  fmt.Sprintf("%sContent-Length: %d\r\n", post, smallBytes),
		"fields": fmt.Sprintf("%s%sContent-Length: %d\r\n", post, strings.Repeat("X: y\r\n", smallFields), 2),
	} {
		body := strings.Repeat("a", smallBytes)
		if name == "fields" {
			body = "{}"
		}
		requests, _ := receiveAll(t, NewGate(Settings{}), []byte(head+"\r\n"+body), 1000, Limits{})
		qt.Assert(t, requests, qt.DeepEquals, []string{head + "Connection: close\r\n\r\n" + body}, qt.Commentf("%s", name))
		checkLibraryAgrees(t, requests)
	}
}

// refusedInputs holds for each refused input the reason.
var refusedInputs = []struct {
	input  string
	reason Reason
}{
	{get + "X: " + strings.Repeat("a", 600), HeadTooLarge},
	{get + "X: " + strings.Repeat("a", 400) + "\r\nY: " + strings.Repeat("a", 200) + "\r\n\r\n", HeadTooLarge},
	{"GET /" + strings.Repeat("a", 300), RequestLineTooLong},
	{"GET /" + strings.Repeat("a", 300) + " HTTP/1.1\r\n\r\n", RequestLineTooLong},
	{get + strings.Repeat("X: a\r\n", 8) + "\r\n", TooManyFields},
	{"\r\n\r\n\r\n" + get + "\r\n", TooManyEmptyLines},
	{"GET / HTTP/1.1\nHost: a\n\n", MalformedHead},
	{"GET / HTTP/1.1\r\nHost: a\rb\r\n\r\n", MalformedHead},
	{"GET / HTTP/1.1\r\nHost: a\r\nX: b\n\r\n", MalformedHead},
	{"GET / HTTP/1.1\r\nHost : a\r\n\r\n", MalformedHead},
	{"GET / HTTP/1.1\r\nHost: a\r\n X: b\r\n\r\n", MalformedHead},
	{"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", MalformedHead},
	{"GET / HTTP/1.1\r\nX: \x00\r\n\r\n", MalformedHead},
	{"GET / HTTP/1.1\r\nnocolon\r\n\r\n", MalformedHead},
	{"GET / HTTP/1.1\r\n: a\r\n\r\n", MalformedHead},
	{"GET  / HTTP/1.1\r\n\r\n", MalformedHead},
	{"GET /a b HTTP/1.1\r\n\r\n", MalformedHead},
	{"GET /\r\n\r\n", MalformedHead},
	{"GET / HTTP/1.0\r\nHost: a\r\n\r\n", WrongVersion},
	{"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", WrongVersion},
	{post + "Content-Length: 2\r\nContent-Length: 2\r\n\r\n{}", AmbiguousLength},
	{post + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}", AmbiguousLength},
	{post + "Content-Length: 2, 2\r\n\r\n{}", AmbiguousLength},
	{post + "Content-Length: +2\r\n\r\n{}", AmbiguousLength},
	{post + "Content-Length: 0x2\r\n\r\n{}", AmbiguousLength},
	{post + "Content-Length:\r\n\r\n{}", AmbiguousLength},
	{post + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", AmbiguousLength},
	{post + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n", AmbiguousLength},
	{post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", AmbiguousLength},
	{post + "Transfer-Encoding: gzip, chunked\r\n\r\n", UnknownCoding},
	{post + "Transfer-Encoding: identity\r\n\r\n", UnknownCoding},
	{get + "Content-Length: 2\r\n\r\n{}", UnexpectedBody},
	{get + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", UnexpectedBody},
	{post + "Content-Length: 65\r\n\r\n", BodyTooLarge},
	{post + "Content-Length: 99999999999999999999\r\n\r\n", BodyTooLarge},
	{chunked + "80000000\r\n", BodyTooLarge},
	{chunked + "FFFFFFFFFFFFFFFF\r\n", BodyTooLarge},
	{chunked + "40\r\n" + strings.Repeat("a", 64) + "\r\n1\r\na\r\n0\r\n\r\n", BodyTooLarge},
	{chunked + " 2\r\n{}\r\n0\r\n\r\n", MalformedChunk},
	{chunked + "2 \r\n{}\r\n0\r\n\r\n", MalformedChunk},
	{chunked + "2\n{}\r\n0\r\n\r\n", MalformedChunk},
	{chunked + "2\r{}\r\n0\r\n\r\n", MalformedChunk},
	{chunked + "-2\r\n{}\r\n0\r\n\r\n", MalformedChunk},
	{chunked + "0x2\r\n{}\r\n0\r\n\r\n", MalformedChunk},
	{chunked + "\r\n{}\r\n0\r\n\r\n", MalformedChunk},
	{chunked + ";a\r\n{}\r\n0\r\n\r\n", MalformedChunk},
	{chunked + "2\r\n{}0\r\n\r\n", MalformedChunk},
	{chunked + "2;a\nb\r\n{}\r\n0\r\n\r\n", MalformedChunk},
	{chunked + "2;" + strings.Repeat("a", 16) + "\r\n{}\r\n0\r\n\r\n", ChunkLineTooLong},
	{chunked + strings.Repeat("0", 17), ChunkLineTooLong},
	{chunked + strings.Repeat("1\r\na\r\n", 21) + "0\r\n\r\n", TooManyChunks},
	{chunked + "0\r\nX: " + strings.Repeat("a", 40) + "\r\n\r\n", TrailersTooLarge},
	{chunked + "0\r\nX: a\n\r\n", MalformedChunk},
}

// Guards against an input outside the limits or with ambiguous framing that reaches the library, against a refusal with the wrong
// status, and against bytes behind it that are taken for a request.
func TestRefusals(t *testing.T) {
	for _, test := range refusedInputs {
		for _, step := range []int{1, 3, 4096} {
			comment := qt.Commentf("%q, %d bytes at once", test.input, step)
			gate := NewGate(Settings{})
			requests, written := receiveAll(t, gate, []byte(get+"\r\n"+test.input+get+"\r\n"), step, testLimits)
			qt.Check(t, requests, qt.DeepEquals, []string{get + "\r\n"}, comment)
			qt.Check(t, written, qt.Equals, string(test.reason.response()), comment)
			qt.Check(t, gate.counters[test.reason].unlogged.Load(), qt.Equals, int64(1), comment)
		}
	}
}

// Guards against framing that is unbounded because its ratio to the content isn't checked.
func TestFramingRatio(t *testing.T) {
	limits := testLimits
	limits.BodyBytes, limits.Chunks, limits.FramingRatio = 10_000, 10_000, 4
	_, written := receiveAll(t, NewGate(Settings{}), []byte(chunked+strings.Repeat("1\r\na\r\n", 9000)), 4096, limits)
	qt.Assert(t, written, qt.Equals, string(TooMuchFraming.response()))
}

// Guards against requests whose framing the connection and the library read differently, and against a request that depends on
// how its bytes arrive.
func FuzzRequests(f *testing.F) {
	for _, test := range refusedInputs {
		f.Add([]byte(test.input), 3)
	}
	f.Add([]byte(get+"\r\n"+chunked+"2;a=b\r\n{}\r\n0\r\nX: y\r\n\r\n"), 5)
	f.Fuzz(func(t *testing.T, input []byte, step int) {
		if step <= 0 || len(input) > 1<<14 {
			return
		}
		requests, written := receiveAll(t, NewGate(Settings{}), input, step, testLimits)
		checkLibraryAgrees(t, requests)
		whole, _ := receiveAll(t, NewGate(Settings{}), input, len(input)+1, testLimits)
		qt.Assert(t, requests, qt.DeepEquals, whole)
		qt.Assert(t, strings.Count(written, string(wigeonstep.OutcomeNotRun)) <= 1, qt.IsTrue)
	})
}
