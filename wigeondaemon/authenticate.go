package wigeondaemon

import (
	"errors"
	"net/http"

	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonteam"
)

const (
	// maxUnauthorizedLines and unauthorizedLineBurst bound the lines a second about calls that are refused, and their burst, so
	// that a client without a key doesn't displace the other lines.
	maxUnauthorizedLines  = 5
	unauthorizedLineBurst = 20
)

// unauthorizedReasons names the reasons for which a call is refused in metrics and logs.
var unauthorizedReasons = map[error]string{
	wigeonteam.ErrMissing: "missing", wigeonteam.ErrMalformed: "malformed", wigeonteam.ErrUnknown: "unknown", wigeonteam.ErrAmbiguous: "ambiguous",
}

var (
	responseNoConfiguration       = wigeonstep.NotRunResponse(http.StatusServiceUnavailable, errNoConfiguration.Error(), "authenticate", "configuration", refusalRetryAfter)
	responseConfigurationOutdated = wigeonstep.NotRunResponse(http.StatusServiceUnavailable, "this process can't tell whether the API keys that it knows are still in force", "authenticate", "configuration", refusalRetryAfter)
)

// requiresCredentials reports whether calls on queues that aren't public need a credential under the configuration.
func (d *Daemon) requiresCredentials(table *routeTable) bool {
	return d.config.RequireCredentials || table != nil && table.listsTeams
}

// Authenticate returns the caller of a call on a queue. If ok is false, the call must be refused with the response.
func (d *Daemon) Authenticate(queue wigeonstep.Queue, credentials [][]byte) (caller wigeonteam.Caller, refusal wigeonstep.Response, ok bool) {
	table := d.routes.Load()
	switch {
	case table == nil:
		return wigeonteam.Caller{}, responseNoConfiguration, false
	case queue.Public:
		return wigeonteam.Caller{PublicQueue: queue.Name}, wigeonstep.Response{}, true
	case !d.requiresCredentials(table):
		return wigeonteam.Caller{}, wigeonstep.Response{}, true
	case d.configurationOutdated():
		d.config.Metrics.outdatedRefusals.Inc()
		return wigeonteam.Caller{}, responseConfigurationOutdated, false
	}
	team, err := table.directory.Authenticate(credentials)
	if err != nil {
		d.recordUnauthorized(table, queue, credentials, err)
		return wigeonteam.Caller{}, wigeonstep.NotRunResponse(http.StatusUnauthorized, err.Error(), "authenticate", "client", 0), false
	}
	return wigeonteam.Caller{Team: team}, wigeonstep.Response{}, true
}

// recordUnauthorized counts and logs a call that is refused for its credentials.
func (d *Daemon) recordUnauthorized(table *routeTable, queue wigeonstep.Queue, credentials [][]byte, cause error) {
	for reason, name := range unauthorizedReasons {
		if !errors.Is(cause, reason) {
			continue
		}
		d.config.Metrics.unauthorized[name].Inc()
		if d.unauthorizedLines.Allow() {
			d.config.Logger.Warn("unauthorized", zap.String("reason", name), zap.String("queue", string(queue.Name)), zap.String("credential", wigeonteam.Fingerprint(credentials)), zap.Uint64("version", uint64(table.version)))
		}
	}
}
