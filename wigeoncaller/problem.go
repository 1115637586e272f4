package wigeoncaller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/wigeonstep/wigeonstep"
)

const (
	problemType = "application/problem+json"
	jsonType    = "application/json"
	stepRead    = "read request"
	peerCaller  = "caller"
)

// problem is the RFC 9457 problem document that is the body of a refusal.
type problem struct {
	Type    string             `json:"type"`
	Title   string             `json:"title"`
	Status  int                `json:"status"`
	Outcome wigeonstep.Outcome `json:"outcome"`
	wigeonstep.Refusal
	// RetryAfterS is in seconds, and zero when a retry would not help.
	RetryAfterS int `json:"retry_after_s,omitempty"`
}

// BadInput returns the response to an invalid request. A retry would fail in the same way, so the response has no
// Retry-After.
func BadInput(status int, reason string) wigeonstep.Response {
	return wigeonstep.NotRunResponse(status, reason, stepRead, peerCaller, 0)
}

// JSON returns a response with the JSON encoding of the document as its body. It is for responses of wigeonstep itself,
// not of a backend server.
func JSON(status int, outcome wigeonstep.Outcome, document any) wigeonstep.Response {
	body, err := json.Marshal(document)
	if err != nil {
		return wigeonstep.UnknownResponse(false, "the answer cannot be encoded: "+err.Error(), "encode answer", "entry process")
	}
	return wigeonstep.Response{Outcome: outcome, Status: status, ContentType: jsonType, Body: append(body, '\n')}
}

// retryAfterSeconds rounds up, so that no caller retries before the delay has passed.
func retryAfterSeconds(after time.Duration) int {
	return int(math.Ceil(after.Seconds()))
}

// encodeResponse sets the status, headers and body of the HTTP response. A refusal becomes a problem document. A not_run
// response with status 429 or 503 has a Retry-After of at least 1 s.
func encodeResponse(httpResponse *protocol.Response, response *wigeonstep.Response, id wigeonstep.RequestID) {
	h := &httpResponse.Header
	h.SetNoDefaultContentType(true)
	h.SetStatusCode(response.Status)
	if response.Outcome != "" {
		h.Set(wigeonstep.HeaderOutcome, string(response.Outcome))
	}
	if id != "" {
		h.Set(wigeonstep.HeaderRequestID, string(id))
	}
	seconds := retryAfterSeconds(response.RetryAfter)
	if response.Outcome == wigeonstep.OutcomeNotRun && (response.Status == http.StatusTooManyRequests || response.Status == http.StatusServiceUnavailable) {
		seconds = max(seconds, 1)
	}
	if seconds > 0 {
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	if response.Refusal == nil {
		if response.ContentType != "" {
			h.SetContentTypeBytes([]byte(response.ContentType))
		}
		httpResponse.SetBodyRaw(response.Body)
		return
	}
	body, err := json.Marshal(problem{
		Type:        "about:blank",
		Title:       http.StatusText(response.Status),
		Status:      response.Status,
		Outcome:     response.Outcome,
		Refusal:     *response.Refusal,
		RetryAfterS: seconds,
	})
	if err != nil {
		body = []byte("{}")
	}
	h.SetContentTypeBytes([]byte(problemType))
	httpResponse.SetBodyRaw(body)
}
