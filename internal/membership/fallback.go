package membership

import "time"

// ConfirmedFor is ConfirmedUntil for one pool: the time until which this entry may send requests to the pool's cold
// upstreams, or the zero time if it may not. A view covers only the local data centre. For a pool of another one, the
// result is therefore zero unless the roster rules out a second owner: it lists no host in the pool's data centre, and
// the local data centre is nearer to the pool than any other one with a host on the roster. Reachability doesn't matter
// here, since two data centres that can't reach each other would both consider themselves the nearest. Two owners remain
// possible only while a roster is out of date.
func (t *Table) ConfirmedFor(now time.Time, pool PoolID) time.Time {
	if pool.DataCentre != t.self.DataCentre && !t.soleFallback(pool.DataCentre) {
		return time.Time{}
	}
	owner, ok := t.Owner(pool)
	if !ok || owner.Incarnation != t.self.Incarnation {
		return time.Time{}
	}
	return t.ConfirmedUntil(now)
}

// soleFallback reports whether the local data centre is the only one on the roster that may own pools of dataCentre.
func (t *Table) soleFallback(dataCentre string) bool {
	distance := func(name string) time.Duration {
		if t.cfg.Distance == nil {
			return 0
		}
		return t.cfg.Distance(dataCentre, name)
	}
	own := distance(t.self.DataCentre)
	for _, h := range t.roster {
		if h.DataCentre == dataCentre || h.DataCentre != t.self.DataCentre && distance(h.DataCentre) <= own {
			return false
		}
	}
	return true
}
