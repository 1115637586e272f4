package main

import (
	"fmt"
	"strings"
	"time"
)

// gangWait is the time for which a member waits for the others.
const gangWait = 3 * time.Second

// gang is the members of one run of a gang that are present.
type gang struct {
	members map[*taskRun]*worker
	over    bool
	// began is the time at which the last member came; zero before.
	began time.Time
}

func gangKey(r *taskRun) string {
	return fmt.Sprintf("%s/%d", r.task[:strings.LastIndex(r.task, ".")], r.run)
}

// joinGang adds a member; with the last one the gang begins to work, and all members end done together.
func (f *fleet) joinGang(w *worker, r *taskRun) {
	f.gangMu.Lock()
	defer f.gangMu.Unlock()
	key := gangKey(r)
	g := f.gangs[key]
	if g == nil {
		g = &gang{members: map[*taskRun]*worker{}}
		f.gangs[key] = g
	}
	if g.over {
		go w.end(r, "broken")
		return
	}
	g.members[r] = w
	if len(g.members) < r.kind.gang {
		time.AfterFunc(gangWait, func() {
			f.gangMu.Lock()
			alone := len(g.members) < r.kind.gang && !g.over
			f.gangMu.Unlock()
			if alone {
				w.end(r, "alone")
			}
		})
		return
	}
	g.began = time.Now()
	time.AfterFunc(r.kind.lasts, func() {
		f.gangMu.Lock()
		if g.over {
			f.gangMu.Unlock()
			return
		}
		g.over = true
		members := g.members
		f.gangMu.Unlock()
		for member, on := range members {
			on.end(member, "done")
		}
	})
}

// leaveGang breaks the gang of a run that has ended otherwise than done.
func (f *fleet) leaveGang(r *taskRun, how string) {
	f.gangMu.Lock()
	g := f.gangs[gangKey(r)]
	if g == nil || g.over || how == "done" {
		f.gangMu.Unlock()
		return
	}
	full := len(g.members) == r.kind.gang
	delete(g.members, r)
	if !full {
		f.gangMu.Unlock()
		return
	}
	g.over = true
	members := g.members
	f.gangMu.Unlock()
	for member, on := range members {
		on.end(member, "broken")
	}
}

// gangWork returns the time for which the gang of a run has worked.
func (f *fleet) gangWork(r *taskRun) time.Duration {
	f.gangMu.Lock()
	defer f.gangMu.Unlock()
	g := f.gangs[gangKey(r)]
	if g == nil || g.began.IsZero() {
		return 0
	}
	return time.Since(g.began)
}
