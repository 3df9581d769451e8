package placement

import (
	"slices"
	"time"
)

// crashHistory lists the upstreams that a request has crashed.
type crashHistory struct {
	upstreams []string
	last      time.Time
}

// trackCrashSuspect records a request whose connection was lost as a possible cause of a crash. It counts as a crash once the
// upstream can't be reached. A success clears the history of the request.
func (p *Pool) trackCrashSuspect(now time.Time, c *call, e End) {
	if c.ask.Fingerprint == 0 {
		return
	}
	if e.Outcome == Success {
		delete(p.crashes, c.ask.Fingerprint)
		return
	}
	if e.Outcome != Lost {
		return
	}
	c.target.suspects = append(c.target.suspects, suspect{c.ask.Fingerprint, now})
	if !c.target.reachable {
		p.attributeCrash(now, c.target)
	}
}

// attributeCrash attributes the crash of an upstream to the requests whose connections were lost within suspectWindow before.
func (p *Pool) attributeCrash(now time.Time, u *upstream) {
	for _, s := range u.suspects {
		if now.Sub(s.at) > suspectWindow {
			continue
		}
		history := p.crashes[s.fingerprint]
		if !slices.Contains(history.upstreams, u.spec.ID) {
			history.upstreams = append(history.upstreams, u.spec.ID)
		}
		history.last = now
		p.crashes[s.fingerprint] = history
	}
	u.suspects = u.suspects[:0]
}

func (p *Pool) expireCrashes(now time.Time) {
	for f, c := range p.crashes {
		if now.Sub(c.last) > crashTTL {
			delete(p.crashes, f)
		}
	}
}
