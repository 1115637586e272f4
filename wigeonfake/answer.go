package wigeonfake

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonstep/wigeonstep"
)

// Names of the headers that only the stand-ins use. The query parameters run_ms and answer_bytes have the same meaning
// and pass through an entry process.
const (
	// HeaderRunMS is how long the request runs, in milliseconds.
	HeaderRunMS = "Wigeonfake-Run-Ms"
	// HeaderAnswerBytes is the size of the padding in the answer.
	HeaderAnswerBytes = "Wigeonfake-Answer-Bytes"
)

var (
	// ErrNotWhole means that an answer is truncated or damaged.
	ErrNotWhole = errors.New("the answer is not whole")
	// ErrNotOwn means that an answer belongs to another request.
	ErrNotOwn = errors.New("the answer belongs to another request")
)

// Answer is the body of a BackendServer's answer to a request that ran.
type Answer struct {
	VM        wigeonstep.VMID      `json:"vm"`
	RequestID wigeonstep.RequestID `json:"request_id"`
	Key       wigeonstep.Key       `json:"key"`
	// BodyHash is BodyHash of the request's body.
	BodyHash string `json:"body_hash"`
	// Run is 1 for the first run of the body.
	Run int `json:"run"`
	// PaddingBytes is the length of Padding.
	PaddingBytes int    `json:"padding_bytes"`
	Padding      string `json:"padding"`
	// Whole is the last field, and true.
	Whole bool `json:"whole"`
}

// BodyHash returns the xxhash of a body in hexadecimal.
func BodyHash(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

// CheckAnswer parses the answer to a request with the given body. The error wraps ErrNotWhole or ErrNotOwn.
func CheckAnswer(answer, requestBody []byte) (Answer, error) {
	var a Answer
	if err := json.Unmarshal(answer, &a); err != nil {
		return a, fmt.Errorf("%w: %w", ErrNotWhole, err)
	}
	if !a.Whole || len(a.Padding) != a.PaddingBytes {
		return a, fmt.Errorf("%w: %d of %d bytes of padding", ErrNotWhole, len(a.Padding), a.PaddingBytes)
	}
	if want := BodyHash(requestBody); a.BodyHash != want {
		return a, fmt.Errorf("%w: hash %s, want %s", ErrNotOwn, a.BodyHash, want)
	}
	return a, nil
}
