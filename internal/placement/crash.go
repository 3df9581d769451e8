package placement

import (
	"slices"
	"time"
)

type crash struct {
	upstreams []string
	last      time.Time
}

// noteCrash remembers a request whose connection was lost. It becomes a crash when the upstream can't be reached then.
func (p *Pool) noteCrash(now time.Time, c *call, e End) {
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
	c.up.suspects = append(c.up.suspects, suspect{c.ask.Fingerprint, now})
	if !c.up.reachable {
		p.confirmCrashes(now, c.up)
	}
}

// confirmCrashes blames the crash of an upstream on the requests that it lost just before.
func (p *Pool) confirmCrashes(now time.Time, u *upstream) {
	for _, s := range u.suspects {
		if now.Sub(s.at) > suspectTime {
			continue
		}
		known := p.crashes[s.fingerprint]
		if !slices.Contains(known.upstreams, u.spec.ID) {
			known.upstreams = append(known.upstreams, u.spec.ID)
		}
		known.last = now
		p.crashes[s.fingerprint] = known
	}
	u.suspects = u.suspects[:0]
}

func (p *Pool) expireCrashes(now time.Time) {
	for f, c := range p.crashes {
		if now.Sub(c.last) > crashMemory {
			delete(p.crashes, f)
		}
	}
}
