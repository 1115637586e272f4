// Package wigeonteam decides which team a call belongs to and which jobs the caller may see.
package wigeonteam

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/wigeonstep/wigeonstep"
)

// maxCredentialBytes is the length of the longest credential that is looked up.
const maxCredentialBytes = 4096

// DefaultWeight is the weight of a team whose configured weight is 0 or invalid.
const DefaultWeight = 1

// Reasons for which Authenticate refuses a call.
var (
	ErrMissing   = errors.New("the call carries no API key")
	ErrMalformed = errors.New("the API key is malformed or sent more than once")
	ErrUnknown   = errors.New("the API key is not in force")
	ErrAmbiguous = errors.New("the API key is listed under several teams")
)

// Directory holds the credentials of a configuration. It is immutable; the nil Directory holds none.
type Directory struct {
	teamOf map[wigeonstep.CredentialDigest]wigeonstep.TeamName
	// ambiguous holds the credentials that several teams list. They are not in teamOf.
	ambiguous map[wigeonstep.CredentialDigest]bool
	teams     []wigeonstep.Team
}

// Fault is a fault of a team in a configuration. The other parts of the configuration hold.
type Fault struct {
	Team  wigeonstep.TeamName
	Cause string
}

// NewDirectory returns the directory of the configured teams, and the faults that were found in them. A team without a name, or
// with the name of an earlier one, is left out.
func NewDirectory(configured []wigeonstep.Team) (*Directory, []Fault) {
	credentials := 0
	for _, t := range configured {
		credentials += len(t.Credentials)
	}
	d := &Directory{
		teamOf:    make(map[wigeonstep.CredentialDigest]wigeonstep.TeamName, credentials),
		ambiguous: map[wigeonstep.CredentialDigest]bool{},
	}
	var faults []Fault
	known := map[wigeonstep.TeamName]bool{}
	for i, t := range configured {
		switch {
		case t.Name == "":
			faults = append(faults, Fault{Cause: fmt.Sprintf("entry %d has no name and is left out", i)})
			continue
		case known[t.Name]:
			faults = append(faults, Fault{t.Name, fmt.Sprintf("entry %d has the name of an earlier one and is left out", i)})
			continue
		}
		known[t.Name] = true
		faults = append(faults, d.addCredentials(t)...)
		team, found := repair(t)
		faults = append(faults, found...)
		d.teams = append(d.teams, team)
	}
	return d, faults
}

// addCredentials enters the credentials of a team. One that another team lists too is refused for both.
func (d *Directory) addCredentials(t wigeonstep.Team) []Fault {
	var faults []Fault
	for _, digest := range t.Credentials {
		other, taken := d.teamOf[digest]
		switch {
		case d.ambiguous[digest]:
			faults = append(faults, Fault{t.Name, fmt.Sprintf("credential %s is listed under further teams too and is refused", digest.Fingerprint())})
		case taken && other != t.Name:
			delete(d.teamOf, digest)
			d.ambiguous[digest] = true
			faults = append(faults, Fault{t.Name, fmt.Sprintf("credential %s is listed under team %q too and is refused", digest.Fingerprint(), other)})
		default:
			d.teamOf[digest] = t.Name
		}
	}
	return faults
}

// repair returns the team without its credentials, with DefaultWeight in place of an invalid weight and without an invalid limit.
func repair(t wigeonstep.Team) (wigeonstep.Team, []Fault) {
	t.Credentials = nil
	var faults []Fault
	if t.Weight < 0 || math.IsNaN(t.Weight) || math.IsInf(t.Weight, 0) {
		faults = append(faults, Fault{t.Name, "the weight is not a number of 0 or more; it counts as 1"})
		t.Weight = 0
	}
	if t.Weight == 0 {
		t.Weight = DefaultWeight
	}
	if t.Limit.CPU < 0 || t.Limit.Memory < 0 || t.Limit.GPU < 0 {
		faults = append(faults, Fault{t.Name, "the limit is negative or not a number; the team has none"})
		t.Limit = wigeonstep.Resources{}
	}
	return t, faults
}

// Teams returns the valid teams in the order of the configuration, without their credentials. The caller must not change them.
func (d *Directory) Teams() []wigeonstep.Team {
	if d == nil {
		return nil
	}
	return d.teams
}

// Has reports whether a valid team has the name.
func (d *Directory) Has(name wigeonstep.TeamName) bool {
	return slices.ContainsFunc(d.Teams(), func(t wigeonstep.Team) bool { return t.Name == name })
}

// Authenticate returns the team to which the credentials in the head of a call belong. The error is one of the reasons of this
// package.
func (d *Directory) Authenticate(credentials [][]byte) (wigeonstep.TeamName, error) {
	switch {
	case len(credentials) == 0:
		return "", ErrMissing
	case len(credentials) > 1 || !wellFormed(credentials[0]):
		return "", ErrMalformed
	case d == nil:
		return "", ErrUnknown
	}
	digest := wigeonstep.DigestCredential(credentials[0])
	if team, known := d.teamOf[digest]; known {
		return team, nil
	}
	if d.ambiguous[digest] {
		return "", ErrAmbiguous
	}
	return "", ErrUnknown
}

// wellFormed reports whether a credential has a permitted length and consists of visible ASCII characters.
func wellFormed(credential []byte) bool {
	if len(credential) == 0 || len(credential) > maxCredentialBytes {
		return false
	}
	for _, b := range credential {
		if b <= ' ' || b > '~' {
			return false
		}
	}
	return true
}

// Fingerprint returns the name of the credential of a call in logs; empty if the call has no single well-formed one.
func Fingerprint(credentials [][]byte) string {
	if len(credentials) != 1 || !wellFormed(credentials[0]) {
		return ""
	}
	return wigeonstep.DigestCredential(credentials[0]).Fingerprint()
}
