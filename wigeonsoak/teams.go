package wigeonsoak

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/wigeonstep/wigeonstep/platform/wigeonstandin"
)

const (
	// teamCount is the number of teams of a soak with teams. Job IDs with an even client number belong to the first one.
	teamCount = 2
	// keysInForce is the number of keys of a team in each version of the configuration, which adds one and withdraws one. Clients use
	// the one that is clientKeyAge versions old, so that most processes know it when they read a version late.
	keysInForce  = 4
	clientKeyAge = 2
	// probeInterval is the time between two calls that must be refused.
	probeInterval = 120 * time.Millisecond
	// configurationTime is the time after the acknowledgement of a configuration within which it is in force in all processes, unless
	// there is a disruption.
	configurationTime = 3 * time.Second
)

// teams holds the API keys of a soak with teams. A nil *teams stands for a soak without.
type teams struct {
	mu sync.Mutex
	// version is the version of the configuration that was stored last.
	version int
	// storedAt holds the time at which each version was acknowledged, from version 1 on.
	storedAt []time.Time
}

// teamKey returns the key of a team that a version of the configuration adds.
func teamKey(team, version int) string { return fmt.Sprintf("soak-key-%d-%d", team, version) }

// store stores a version of the configuration with the keys of that version.
func (t *teams) store(store *wigeonstandin.Store, version int) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	var settings []wigeonstandin.TeamSettings
	for team := range teamCount {
		s := wigeonstandin.TeamSettings{Name: fmt.Sprintf("team-%d", team), Weight: 100}
		for age := range keysInForce {
			s.Keys = append(s.Keys, teamKey(team, version-age))
		}
		settings = append(settings, s)
	}
	if err := store.PutTeams(version, service, jobHost, jobPathPrefix, addedPathPrefix, settings...); err != nil {
		return err
	}
	t.version, t.storedAt = version, append(t.storedAt, time.Now())
	return nil
}

// teamOf returns the team of a job ID, which begins with the number of its client.
func teamOf(id string) int {
	number, err := strconv.ParseUint(id[:4], 16, 16)
	if err != nil {
		return 0
	}
	return int(number) % teamCount
}

// key returns the key with which clients send requests about a job; empty in a soak without teams.
func (t *teams) key(id string) string {
	if t == nil {
		return ""
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return teamKey(teamOf(id), t.version-clientKeyAge)
}

// withdrawn returns the key that the newest version has withdrawn, and the time at which it has.
func (t *teams) withdrawn(team int) (string, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return teamKey(team, t.version-keysInForce), t.storedAt[t.version-1]
}

// validSince returns the time since which the key of the clients is in the configuration.
func (t *teams) validSince() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.storedAt[max(t.version-clientKeyAge, 1)-1]
}

// outdatedAnswer is an answer to a call that follows from an older configuration than the one stored at changedAt.
type outdatedAnswer struct {
	description        string
	changedAt, endedAt time.Time
}

// probeKeys sends calls that must be refused until ctx ends.
func (s *system) probeKeys(ctx context.Context, c *client) {
	methods := []string{http.MethodGet, http.MethodDelete}
	for ; ctx.Err() == nil; time.Sleep(probeInterval) {
		accepted := s.history.acceptedJobs(func(clientJob) bool { return true })
		if len(accepted) == 0 {
			continue
		}
		id := accepted[c.random.IntN(len(accepted))]
		method := methods[c.random.IntN(len(methods))]
		refuse := func(key string, want int) {
			status, _ := c.sendWithKey(s.ctx, key, method, id, nil)
			if status != want && !unanswered(status) {
				s.history.recordViolation("isolation: %s of job %s with key %q got status %d, want %d", method, id, key, status, want)
			}
		}
		switch c.random.IntN(4) {
		case 0:
			refuse("", http.StatusUnauthorized)
		case 1:
			refuse("soak-key-unknown", http.StatusUnauthorized)
		case 2:
			other := fmt.Sprintf("%04x", teamOf(id)+1)
			refuse(s.teams.key(other), http.StatusGone)
		default:
			key, withdrawnAt := s.teams.withdrawn(teamOf(id))
			sentAt := time.Now()
			status, _ := c.sendWithKey(s.ctx, key, http.MethodGet, id, nil)
			if status != http.StatusUnauthorized && !unanswered(status) && sentAt.Sub(withdrawnAt) > configurationTime {
				s.history.recordOutdated(outdatedAnswer{fmt.Sprintf("GET of job %s with withdrawn key %q got status %d", id, key, status), withdrawnAt, time.Now()})
			}
		}
	}
}

// unanswered reports whether a status, or 0 for none, says that a process could not serve the call.
func unanswered(status int) bool {
	return status == 0 || status == http.StatusServiceUnavailable || status == http.StatusBadGateway || status == http.StatusGatewayTimeout
}

func (h *history) recordOutdated(a outdatedAnswer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outdatedAnswers = append(h.outdatedAnswers, a)
	h.writeLog(a.endedAt, "outdated: %s", a.description)
}

// checkOutdatedAnswers returns a violation for each outdated answer although no disruption kept the configuration from the process.
// The caller holds h.mu.
func (h *history) checkOutdatedAnswers() []string {
	var found []string
	for _, a := range h.outdatedAnswers {
		if h.calm(a.changedAt.Add(-calmBefore), a.endedAt) {
			found = append(found, fmt.Sprintf("isolation: %s; the configuration was stored at %s", a.description, a.changedAt.UTC().Format(timeFormat)))
		}
	}
	return found
}

// keyRefused records a submission that was refused although the key of the client was valid when it was sent.
func (c *client) keyRefused(id string, sentAt time.Time) {
	if validSince := c.teams.validSince(); sentAt.Sub(validSince) > configurationTime {
		c.history.recordOutdated(outdatedAnswer{fmt.Sprintf("submission of job %s with a valid key got status 401", id), validSince, time.Now()})
	}
}
