package wigeonfake

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonstep/wigeonstep"
)

// Request headers that only the stand-ins use. Unlike the headers, the query parameters run_ms and answer_bytes, which have
// the same meaning, pass through an entry process.
const (
	// HeaderRunMS sets the run time of the request in milliseconds.
	HeaderRunMS = "Wigeonfake-Run-Ms"
	// HeaderAnswerBytes sets the size of the padding in the answer.
	HeaderAnswerBytes = "Wigeonfake-Answer-Bytes"
)

var (
	// ErrIncompleteAnswer is returned for a truncated or damaged answer.
	ErrIncompleteAnswer = errors.New("answer is truncated or damaged")
	// ErrMismatchedAnswer is returned for the answer to another request.
	ErrMismatchedAnswer = errors.New("answer belongs to another request")
)

// Answer is the response body of a BackendServer for a request that ran.
type Answer struct {
	VM        wigeonstep.VMID           `json:"vm"`
	RequestID wigeonstep.RequestID      `json:"request_id"`
	Key       wigeonstep.IdempotencyKey `json:"key"`
	// BodyHash is the result of BodyHash for the body of the request.
	BodyHash string `json:"body_hash"`
	// Run is the number of runs of this body so far, including this one.
	Run int `json:"run"`
	// PaddingBytes is the length of Padding.
	PaddingBytes int    `json:"padding_bytes"`
	Padding      string `json:"padding"`
	// Complete is always true. It is the last field, so that it is missing from a truncated answer.
	Complete bool `json:"whole"`
}

// BodyHash returns the 64-bit xxHash of a body in hexadecimal.
func BodyHash(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

// CheckAnswer parses the answer to a request with the given body. The error wraps ErrIncompleteAnswer or
// ErrMismatchedAnswer.
func CheckAnswer(answer, requestBody []byte) (Answer, error) {
	var a Answer
	if err := json.Unmarshal(answer, &a); err != nil {
		return a, fmt.Errorf("%w: %w", ErrIncompleteAnswer, err)
	}
	if !a.Complete || len(a.Padding) != a.PaddingBytes {
		return a, fmt.Errorf("%w: %d of %d bytes of padding", ErrIncompleteAnswer, len(a.Padding), a.PaddingBytes)
	}
	if want := BodyHash(requestBody); a.BodyHash != want {
		return a, fmt.Errorf("%w: hash %s, want %s", ErrMismatchedAnswer, a.BodyHash, want)
	}
	return a, nil
}
