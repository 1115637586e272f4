package wigeononce

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonstep/wigeonstep"
)

// issuedPrefix starts every key that a session issues. The session id as 16 hexadecimal digits, a dash and a suffix
// that is unique within the session follow.
const issuedPrefix = "wigeonstep-"

// IssuedBy returns the session that issued the key, and false for a key that a caller chose itself.
func IssuedBy(key wigeonstep.IdempotencyKey) (wigeonstep.SessionID, bool) {
	rest, ok := strings.CutPrefix(string(key), issuedPrefix)
	if !ok || len(rest) < 18 || rest[16] != '-' {
		return 0, false
	}
	session, err := wigeonstep.ParseSessionID(rest[:16])
	return session, err == nil
}

func issuedKey(session wigeonstep.SessionID, serial, random uint64) wigeonstep.IdempotencyKey {
	return wigeonstep.IdempotencyKey(issuedPrefix + session.String() + "-" + strconv.FormatUint(serial, 36) + "-" + strconv.FormatUint(random, 36))
}

// HashRequest returns a hash of the method, path, team, class and body. It distinguishes a repetition of a request from
// a different request under the same key.
func HashRequest(request *wigeonstep.Request) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{request.Method, request.Path, string(request.Team), string(request.Class)} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(request.Body)
	return d.Sum64()
}
