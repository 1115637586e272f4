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
	// leaseSpan, expireSpan and viewSpan are the times of section 5 and 7 of the design page.
	leaseSpan  = 8 * time.Second
	expireSpan = 10 * time.Second
	viewSpan   = 6 * time.Second
)

// process is one incarnation after another of an entry process or a control daemon.
type process struct {
	driver     *driver
	role       wigeonwire.Role
	dataCentre wigeonstep.DataCentreName
	address    string
	ids        *rand.Rand
	session    wigeonstep.SessionID
	sequence   uint64
	renewals   uint64
	// life rises when the process starts anew; what an earlier life planned is void.
	life        int
	dead        bool
	pausedUntil time.Duration
	// view is the last view, confirmed when it was last known to be at the end of the log.
	view      *wigeonstate.View
	confirmed time.Duration
	// renewed is when the last renewal was sent that the log confirmed.
	renewed time.Duration
	// silent is how long the others have seen no renewal while the log could be read.
	silent time.Duration
	// onStart builds what the process holds in memory.
	onStart func()
	// busy returns the VMs out of service with requests in flight.
	busy func() []string
}

func (d *driver) addProcesses(seed uint64) {
	ids := rand.New(rand.NewPCG(seed, 4))
	d.operator = d.process(wigeonwire.Role_ROLE_OPERATOR, d.trace.DataCentres[0], "operator", ids)
	for _, dataCentre := range d.trace.DataCentres {
		for i := range d.trace.EntryVMs {
			e := &entry{seed: seed + uint64(len(d.entries))}
			e.process = d.process(wigeonwire.Role_ROLE_ENTRY, dataCentre, fmt.Sprintf("%s-entry-%d", dataCentre, i), ids)
			e.onStart, e.busy = e.reset, e.busyVMs
			d.entries = append(d.entries, e)
			c := &daemon{}
			c.process = d.process(wigeonwire.Role_ROLE_CONTROL, dataCentre, fmt.Sprintf("%s-control-%d", dataCentre, i), ids)
			c.onStart = c.reset
			d.daemons = append(d.daemons, c)
		}
	}
	// Until an entry session opens, no drain waits for one, so the VMs are recorded first.
	for _, p := range d.processes {
		if p.role != wigeonwire.Role_ROLE_ENTRY {
			d.start(p)
		}
	}
	d.recordVMs()
	for _, e := range d.entries {
		d.start(e.process)
	}
}

func (d *driver) process(role wigeonwire.Role, dataCentre wigeonstep.DataCentreName, address string, ids *rand.Rand) *process {
	p := &process{driver: d, role: role, dataCentre: dataCentre, address: address, ids: ids}
	d.processes = append(d.processes, p)
	return p
}

// runs reports whether the process executes now.
func (p *process) runs() bool { return !p.dead && p.driver.now >= p.pausedUntil }

// reaches reports whether the process can use the log now.
func (d *driver) reaches(p *process) bool { return p.runs() && !d.logDown && !d.cut[p.dataCentre] }

// connected reports whether messages pass between two data centres.
func (d *driver) connected(a, b wigeonstep.DataCentreName) bool {
	return a == b || (!d.cut[a] && !d.cut[b])
}

// start begins a new life of the process.
func (d *driver) start(p *process) {
	p.life++
	p.dead, p.pausedUntil, p.session = false, 0, 0
	p.view = (&wigeonstate.State{}).View()
	if p.onStart != nil {
		p.onStart()
	}
	d.follow(p)
	d.renew(p)
}

// open opens a session under a new id.
func (d *driver) open(p *process) {
	if !d.reaches(p) {
		return
	}
	p.session = wigeonstep.SessionID(p.ids.Uint64()>>1 + 1)
	p.sequence, p.renewals, p.silent = 0, 0, 0
	d.append(p, &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionOpen{SessionOpen: &wigeonwire.SessionOpen{
		Role: p.role, DataCentre: string(p.dataCentre), PeerAddress: p.address,
	}}})
	p.renewed = d.now
}

// follow brings the view up to date, and opens a new session when the log shows that the last one has ended.
func (d *driver) follow(p *process) {
	if !d.reaches(p) {
		return
	}
	if _, open := d.state.OpenSession(p.session); !open {
		d.open(p)
		d.renew(p)
	}
	p.view, p.confirmed = d.state.View(), d.now
}

// renew appends a renewal of the session.
func (d *driver) renew(p *process) {
	if p.session == 0 || !d.reaches(p) {
		return
	}
	p.renewals++
	var busy []string
	if p.busy != nil {
		busy = p.busy()
	}
	verdict, ok := d.append(p, &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionRenew{SessionRenew: &wigeonwire.SessionRenew{
		Renewal: p.renewals, AppliedOffset: uint64(max(p.view.Next, 1)) - 1, Ready: p.role == wigeonwire.Role_ROLE_ENTRY, BusyVms: busy,
	}}})
	if ok && verdict.Accepted {
		p.renewed, p.silent = d.now, 0
	}
}

// leaseValid reports whether the process may still act as the holder of its session.
func (p *process) leaseValid() bool { return p.driver.now-p.renewed < leaseSpan }

// viewAge returns how long ago the view was last known to be current.
func (p *process) viewAge() time.Duration { return p.driver.now - p.confirmed }

// expireSilent expires the sessions that were not renewed for so long that another process may end them.
func (d *driver) expireSilent() {
	var witness *process
	for _, p := range d.processes {
		if d.reaches(p) {
			witness = p
			break
		}
	}
	if witness == nil {
		return
	}
	for _, p := range d.processes {
		p.silent += time.Second
		if p.silent <= expireSpan || p.session == 0 {
			continue
		}
		if _, open := d.state.OpenSession(p.session); open {
			d.append(witness, &wigeonwire.Entry{Body: &wigeonwire.Entry_SessionExpire{SessionExpire: &wigeonwire.SessionExpire{
				Session: uint64(p.session), LastRenewal: p.renewals,
			}}})
		}
	}
}
