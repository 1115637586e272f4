package wigeonfollow

import (
	"math/rand/v2"

	"github.com/wigeonstep/wigeonstep"
)

// NewSessionID returns a random session id, which is never zero.
func NewSessionID() wigeonstep.SessionID {
	return wigeonstep.SessionID(rand.Uint64() | 1)
}
