package wigeonteam

import (
	"bytes"
	"fmt"
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/wigeonstep/wigeonstep"
)

// team returns a team with the keys.
func team(name string, keys ...string) wigeonstep.Team {
	t := wigeonstep.Team{Name: wigeonstep.TeamName(name), Weight: 2}
	for _, key := range keys {
		t.Credentials = append(t.Credentials, wigeonstep.DigestCredential([]byte(key)))
	}
	return t
}

// Guards against a credential that is taken for another one's, and against odd values of the header that are let through or end
// the process.
func TestAuthenticate(t *testing.T) {
	d, faults := NewDirectory([]wigeonstep.Team{team("one", "key-a", "key-b"), team("two", "key-c", "both"), team("three", "both")})
	qt.Assert(t, faults, qt.HasLen, 1)
	long := strings.Repeat("x", maxCredentialBytes)
	for _, tc := range []struct {
		name        string
		credentials []string
		team        wigeonstep.TeamName
		err         error
	}{
		{"first key", []string{"key-a"}, "one", nil},
		{"second key", []string{"key-b"}, "one", nil},
		{"other team", []string{"key-c"}, "two", nil},
		{"none", nil, "", ErrMissing},
		{"unknown", []string{"key-d"}, "", ErrUnknown},
		{"prefix of a key", []string{"key-"}, "", ErrUnknown},
		{"listed twice", []string{"both"}, "", ErrAmbiguous},
		{"empty", []string{""}, "", ErrMalformed},
		{"twice", []string{"key-a", "key-a"}, "", ErrMalformed},
		{"valid and invalid", []string{"key-a", ""}, "", ErrMalformed},
		{"longest", []string{long}, "", ErrUnknown},
		{"too long", []string{long + "x"}, "", ErrMalformed},
		{"blank", []string{"key a"}, "", ErrMalformed},
		{"control byte", []string{"key-a\x00"}, "", ErrMalformed},
		{"byte above ASCII", []string{"key-a\xff"}, "", ErrMalformed},
		{"delete", []string{"\x7f"}, "", ErrMalformed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var credentials [][]byte
			for _, credential := range tc.credentials {
				credentials = append(credentials, []byte(credential))
			}
			name, err := d.Authenticate(credentials)
			qt.Assert(t, name, qt.Equals, tc.team)
			qt.Assert(t, err, qt.Equals, tc.err)
		})
	}
	_, err := (*Directory)(nil).Authenticate([][]byte{[]byte("key-a")})
	qt.Assert(t, err, qt.Equals, ErrUnknown)
}

// Guards against a faulty team that harms the others, or whose weight or limit can't be computed with, and against faults and
// valid teams that hold a whole digest.
func TestFaultyTeams(t *testing.T) {
	c := qt.New(t)
	weighed := func(name string, weight float64) wigeonstep.Team {
		return wigeonstep.Team{Name: wigeonstep.TeamName(name), Weight: weight}
	}
	limited := wigeonstep.Team{Name: "limited", Weight: 1, Limit: wigeonstep.Resources{CPU: -1, Memory: 5}}
	again := team("good", "later-key")
	again.Weight = 9
	d, faults := NewDirectory([]wigeonstep.Team{
		team("good", "key-a"), team("", "key-b"), again, weighed("negative", -1), weighed("nan", math.NaN()),
		weighed("infinite", math.Inf(1)), weighed("zero", 0), limited, team("twin", "shared"), team("twins", "shared"), team("triplet", "shared"),
	})
	weights := map[wigeonstep.TeamName]float64{}
	for _, team := range d.Teams() {
		weights[team.Name] = team.Weight
		c.Check(team.Credentials, qt.HasLen, 0)
		c.Check(team.Limit, qt.Equals, wigeonstep.Resources{})
	}
	c.Assert(weights, qt.DeepEquals, map[wigeonstep.TeamName]float64{
		"good": 2, "negative": 1, "nan": 1, "infinite": 1, "zero": 1, "limited": 1, "twin": 2, "twins": 2, "triplet": 2,
	})
	var listed []string
	for _, f := range faults {
		listed = append(listed, fmt.Sprintf("%s: %s", f.Team, f.Cause))
	}
	shared := wigeonstep.DigestCredential([]byte("shared")).Fingerprint()
	c.Assert(listed, qt.DeepEquals, []string{
		": entry 1 has no name and is left out",
		"good: entry 2 has the name of an earlier one and is left out",
		"negative: the weight is not a number of 0 or more; it counts as 1",
		"nan: the weight is not a number of 0 or more; it counts as 1",
		"infinite: the weight is not a number of 0 or more; it counts as 1",
		"limited: the limit is negative or not a number; the team has none",
		"twins: credential " + shared + " is listed under team \"twin\" too and is refused",
		"triplet: credential " + shared + " is listed under further teams too and is refused",
	})
	for key, want := range map[string]error{"key-a": nil, "key-b": ErrUnknown, "later-key": ErrUnknown, "shared": ErrAmbiguous} {
		_, err := d.Authenticate([][]byte{[]byte(key)})
		c.Check(err, qt.Equals, want, qt.Commentf("%s", key))
	}
}

// Guards against a caller that sees a job of another team, or that doesn't see its own.
func TestMayAccess(t *testing.T) {
	for _, tc := range []struct {
		caller Caller
		team   wigeonstep.TeamName
		want   bool
	}{
		{Caller{Team: "one"}, "one", true},
		{Caller{Team: "one"}, "two", false},
		{Caller{Team: "one"}, "", true},
		{Caller{}, "", true},
		{Caller{}, "one", false},
		{Caller{PublicQueue: "orders"}, "one", true},
		{Caller{PublicQueue: "other"}, "one", false},
		{Caller{PublicQueue: "other"}, "", true},
	} {
		qt.Check(t, tc.caller.MayAccess(tc.team, "orders"), qt.Equals, tc.want, qt.Commentf("%+v, team %q", tc.caller, tc.team))
	}
	qt.Check(t, Caller{}.MayAccess("one", ""), qt.IsFalse)
}

// Guards against two teams that get one id, and against reservations that grow without bound or are never given back.
func TestReservations(t *testing.T) {
	c := qt.New(t)
	var r Reservations
	holder, reserved := r.Reserve(0, "job", "one")
	c.Assert(holder, qt.Equals, wigeonstep.TeamName("one"))
	c.Assert(reserved, qt.IsTrue)
	holder, reserved = r.Reserve(reservationLifetime, "job", "two")
	c.Assert(holder, qt.Equals, wigeonstep.TeamName("one"))
	c.Assert(reserved, qt.IsFalse)
	_, reserved = r.Reserve(reservationLifetime, "job", "one")
	c.Assert(reserved, qt.IsTrue)
	_, reserved = r.Reserve(2*reservationLifetime, "job", "")
	c.Assert(reserved, qt.IsFalse, qt.Commentf("the reservation was renewed"))
	_, reserved = r.Reserve(6*reservationLifetime, "job", "two")
	c.Assert(reserved, qt.IsTrue)
	for i := range 5 * maxReservations {
		r.Reserve(6*reservationLifetime, wigeonstep.JobID(fmt.Sprint(i)), "one")
	}
	c.Assert(len(r.newer)+len(r.older) <= 2*maxReservations, qt.IsTrue)
}

// BenchmarkAuthenticate compares the look-up in a small and in a large configuration.
func BenchmarkAuthenticate(b *testing.B) {
	for _, size := range []struct{ teams, keys int }{{20, 1}, {1000, 100}} {
		b.Run(fmt.Sprintf("keys=%d", size.teams*size.keys), func(b *testing.B) {
			var teams []wigeonstep.Team
			for i := range size.teams {
				var keys []string
				for k := range size.keys {
					keys = append(keys, fmt.Sprintf("key-%d-%d", i, k))
				}
				teams = append(teams, team(fmt.Sprintf("team-%d", i), keys...))
			}
			d, _ := NewDirectory(teams)
			credentials := [][]byte{bytes.Clone([]byte("key-7-0"))}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := d.Authenticate(credentials); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
