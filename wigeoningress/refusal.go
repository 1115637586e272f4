package wigeoningress

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/wigeonstep/wigeonstep"
)

// Reason names the bound that a client has exceeded or the rule that it has broken. It is a label of metrics and log lines.
type Reason int

// The reasons. None means that nothing is wrong.
const (
	None Reason = iota
	HeadTooLarge
	RequestLineTooLong
	TooManyFields
	TooManyEmptyLines
	MalformedHead
	WrongVersion
	AmbiguousLength
	UnknownCoding
	UnexpectedBody
	BodyTooLarge
	MalformedChunk
	ChunkLineTooLong
	TooManyChunks
	TooMuchFraming
	TrailersTooLarge
	HeadTimeout
	BodyTimeout
	RequestTimeout
	WriteTimeout
	BudgetExhausted
	TooManyConnections
	TooManyAddressConnections
	// Disconnected means that the client has closed the connection, or that it was idle for too long. It is no refusal.
	Disconnected
	reasonCount
)

// refusals holds for each reason its name, the status of the response, which is 0 if there is none, and a text for the client.
// TooManyConnections and TooManyAddressConnections answer a victim that has begun a request. A new connection that is not admitted
// is closed without a response.
var refusals = [reasonCount]struct {
	name   string
	status int
	text   string
}{
	HeadTooLarge:              {"head_bytes", http.StatusRequestHeaderFieldsTooLarge, "the head is too large"},
	RequestLineTooLong:        {"request_line", http.StatusRequestURITooLong, "the request line is too long"},
	TooManyFields:             {"fields", http.StatusRequestHeaderFieldsTooLarge, "the head has too many fields"},
	TooManyEmptyLines:         {"empty_lines", http.StatusBadRequest, "too many empty lines before the request"},
	MalformedHead:             {"malformed_head", http.StatusBadRequest, "the head is malformed"},
	WrongVersion:              {"version", http.StatusBadRequest, "only HTTP/1.1 is served"},
	AmbiguousLength:           {"ambiguous_length", http.StatusBadRequest, "the length of the body is ambiguous"},
	UnknownCoding:             {"transfer_coding", http.StatusBadRequest, "the transfer coding is unknown"},
	UnexpectedBody:            {"unexpected_body", http.StatusBadRequest, "the method takes no body"},
	BodyTooLarge:              {"body_bytes", http.StatusRequestEntityTooLarge, "the body is too large"},
	MalformedChunk:            {"malformed_chunk", http.StatusBadRequest, "a chunk of the body is malformed"},
	ChunkLineTooLong:          {"chunk_line", http.StatusBadRequest, "the size line of a chunk is too long"},
	TooManyChunks:             {"chunks", http.StatusRequestEntityTooLarge, "the body has too many chunks"},
	TooMuchFraming:            {"framing", http.StatusBadRequest, "the body has more framing than its content allows"},
	TrailersTooLarge:          {"trailer_bytes", http.StatusRequestHeaderFieldsTooLarge, "the trailers are too large"},
	HeadTimeout:               {"head_timeout", http.StatusRequestTimeout, "the head did not arrive in time"},
	BodyTimeout:               {"body_timeout", http.StatusRequestTimeout, "the body did not arrive in time"},
	RequestTimeout:            {"request_timeout", http.StatusServiceUnavailable, "the request did not arrive before its deadline"},
	WriteTimeout:              {"write_timeout", 0, ""},
	BudgetExhausted:           {"budget", http.StatusServiceUnavailable, "the memory for requests is used up"},
	TooManyConnections:        {"connections", http.StatusServiceUnavailable, "too many connections"},
	TooManyAddressConnections: {"address_connections", http.StatusServiceUnavailable, "too many connections from this address"},
	Disconnected:              {"disconnected", 0, ""},
}

func (r Reason) String() string { return refusals[r].name }

// response returns the bytes of the response to a request that is refused, nil if there is none. The request has not run.
func (r Reason) response() []byte {
	refusal := refusals[r]
	if refusal.status == 0 {
		return nil
	}
	body, err := json.Marshal(wigeonstep.Refusal{Reason: refusal.text, Step: "receive", Peer: "client"})
	if err != nil {
		body = nil
	}
	retry := ""
	if refusal.status == http.StatusServiceUnavailable {
		retry = "Retry-After: 1\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/problem+json\r\n%s: %s\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		refusal.status, http.StatusText(refusal.status), wigeonstep.HeaderOutcome, wigeonstep.OutcomeNotRun, retry, len(body), body)
}
