package wigeonstep

import (
	"crypto/sha256"
	"encoding/hex"
)

// CredentialDigest is the SHA-256 digest of an API key. The key itself is kept nowhere.
type CredentialDigest [sha256.Size]byte

// DigestCredential returns the digest of an API key.
func DigestCredential(key []byte) CredentialDigest {
	return sha256.Sum256(key)
}

// fingerprintBytes is the length of the prefix of a digest that names a credential in logs.
const fingerprintBytes = 4

// Fingerprint returns the first digits of the digest, which name the credential in logs.
func (d CredentialDigest) Fingerprint() string {
	return hex.EncodeToString(d[:fingerprintBytes])
}

// Team is a team in the configuration: the owner of the jobs that are submitted with one of its credentials.
type Team struct {
	Name TeamName
	// Credentials holds the digests of the API keys in force. A team may hold several while it rotates them.
	Credentials []CredentialDigest
	// Weight is the share of the team when demand exceeds capacity, relative to the other teams, and the number of jobs a
	// second that the team may submit before further ones wait behind those of others.
	Weight float64
	// Limit bounds what the team has running on all workers together. A field that is 0 has no limit.
	Limit Resources
}

// ClientLimits bounds the requests of clients. A zero field means that the configuration sets no limit.
type ClientLimits struct {
	HeaderBytes, BodyBytes int
	// HeaderTimeoutMS and IdleTimeoutMS are in milliseconds.
	HeaderTimeoutMS, IdleTimeoutMS int64
}

// MarshalText returns the fingerprint, so that no encoding holds the whole digest.
func (d CredentialDigest) MarshalText() ([]byte, error) {
	return []byte(d.Fingerprint()), nil
}
