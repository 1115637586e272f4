package wigeonreplay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonstate"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// leaseDuration, sessionTimeout and maxViewAge are defined in sections 5 and 7 of the design page.
	leaseDuration  = 8 * time.Second
	sessionTimeout = 10 * time.Second
	maxViewAge     = 6 * time.Second
)

// process is a simulated entry process, control daemon or operator. It keeps its identity over restarts.
type process struct {
	driver     *driver
	role       wigeonwire.Role
	dataCentre wigeonstep.DataCentreName
	address    string
	sessionIDs *rand.Rand
	session    wigeonstep.SessionID
	sequence   uint64
	renewals   uint64
	// incarnation counts the starts of the process. Functions that an earlier incarnation scheduled must not act for the
	// current one.
	incarnation int
	crashed     bool
	pausedUntil time.Duration
	// view is the state as the process last read it, confirmedAt the time of that read.
	view        *wigeonstate.View
	confirmedAt time.Duration
	// renewedAt is the time at which the session was opened or last renewed. The lease starts from it.
	renewedAt time.Duration
	// sinceRenewal is the time since the session was opened or last renewed, counted only while some process can reach
	// the log.
	sinceRenewal time.Duration
	// onStart initializes the in-memory state at each start.
	onStart func()
	// busy returns the VMs that are not in service and on which the process has requests in flight. It is nil for
	// control daemons and the operator.
	busy func() []string
}

func (d *driver) addProcesses(seed uint64) {
	ids := rand.New(rand.NewPCG(seed, 4))
	d.operator = d.addProcess(wigeonwire.Role_ROLE_OPERATOR, d.trace.DataCentres[0], "operator", ids)
	for _, dataCentre := range d.trace.DataCentres {
		for i := range d.trace.EntryVMs {
			e := &entryCore{seed: seed + uint64(len(d.entryCores))}
			e.process = d.addProcess(wigeonwire.Role_ROLE_ENTRY, dataCentre, fmt.Sprintf("%s-entry-%d", dataCentre, i), ids)
			e.onStart, e.busy = e.reset, e.busyVMs
			d.entryCores = append(d.entryCores, e)
			c := &daemon{}
			c.process = d.addProcess(wigeonwire.Role_ROLE_CONTROL, dataCentre, fmt.Sprintf("%s-control-%d", dataCentre, i), ids)
			c.onStart = c.reset
			d.daemons = append(d.daemons, c)
		}
	}
	// recordVMs drains every VM. A drain waits for all open entry sessions, so the entry processes start after it.
	for _, p := range d.processes {
		if p.role != wigeonwire.Role_ROLE_ENTRY {
			d.startProcess(p)
		}
	}
	d.recordVMs()
	for _, e := range d.entryCores {
		d.startProcess(e.process)
	}
}

func (d *driver) addProcess(role wigeonwire.Role, dataCentre wigeonstep.DataCentreName, address string, ids *rand.Rand) *process {
	p := &process{driver: d, role: role, dataCentre: dataCentre, address: address, sessionIDs: ids}
	d.processes = append(d.processes, p)
	return p
}

// isRunning reports whether the process is neither crashed nor paused.
func (p *process) isRunning() bool { return !p.crashed && p.driver.now >= p.pausedUntil }

// canReachLog reports whether the process is running and connected to an available log.
func (d *driver) canReachLog(p *process) bool {
	return p.isRunning() && !d.logDown && !d.isolated[p.dataCentre]
}

// connected reports whether messages are delivered between the two data centres.
func (d *driver) connected(a, b wigeonstep.DataCentreName) bool {
	return a == b || (!d.isolated[a] && !d.isolated[b])
}

// startProcess starts a new incarnation of the process and opens a session for it if the log can be reached.
func (d *driver) startProcess(p *process) {
	p.incarnation++
	p.crashed, p.pausedUntil, p.session = false, 0, 0
	p.view = (&wigeonstate.State{}).View()
	if p.onStart != nil {
		p.onStart()
	}
	d.refreshView(p)
	d.renewSession(p)
}

// openSession opens a session with a new id.
func (d *driver) openSession(p *process) {
	if !d.canReachLog(p) {
		return
	}
	p.session = wigeonstep.SessionID(p.sessionIDs.Uint64()>>1 + 1)
	p.sequence, p.renewals, p.sinceRenewal = 0, 0, 0
	d.append(p, &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionOpen{SessionOpen: &wigeonwire.SessionOpen{
		Role: p.role, DataCentre: string(p.dataCentre), PeerAddress: p.address,
	}}})
	p.renewedAt = d.now
}

// refreshView updates the view from the log, and opens a new session if the log has no open session of the process.
func (d *driver) refreshView(p *process) {
	if !d.canReachLog(p) {
		return
	}
	if _, open := d.state.SessionStatus(p.session); !open {
		d.openSession(p)
		d.renewSession(p)
	}
	p.view, p.confirmedAt = d.state.View(), d.now
}

// renewSession appends a renewal of the session.
func (d *driver) renewSession(p *process) {
	if p.session == 0 || !d.canReachLog(p) {
		return
	}
	p.renewals++
	var busy []string
	if p.busy != nil {
		busy = p.busy()
	}
	verdict, ok := d.append(p, &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionRenew{SessionRenew: &wigeonwire.SessionRenew{
		Renewal: p.renewals, AppliedOffset: uint64(max(p.view.NextOffset, 1)) - 1, Ready: p.role == wigeonwire.Role_ROLE_ENTRY, BusyVms: busy,
	}}})
	if ok && verdict.Accepted {
		p.renewedAt, p.sinceRenewal = d.now, 0
	}
}

// leaseValid reports whether the lease of the session is valid. Once the lease has ended, other processes may act in
// place of this one.
func (p *process) leaseValid() bool { return p.driver.now-p.renewedAt < leaseDuration }

// viewAge returns the time since the view was last read from the log.
func (p *process) viewAge() time.Duration { return p.driver.now - p.confirmedAt }

// expireSessions expires the open sessions that have not been renewed for longer than sessionTimeout. The first process
// that can reach the log appends the records. While none can, the time since the renewals does not advance.
func (d *driver) expireSessions() {
	var appender *process
	for _, p := range d.processes {
		if d.canReachLog(p) {
			appender = p
			break
		}
	}
	if appender == nil {
		return
	}
	for _, p := range d.processes {
		p.sinceRenewal += time.Second
		if p.sinceRenewal <= sessionTimeout || p.session == 0 {
			continue
		}
		if _, open := d.state.SessionStatus(p.session); open {
			d.append(appender, &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionExpire{SessionExpire: &wigeonwire.SessionExpire{
				Session: uint64(p.session), LastRenewal: p.renewals,
			}}})
		}
	}
}
