package membership

import "time"

// ConfirmedFor is ConfirmedUntil for one pool: the time until which its cold upstreams may get work from this entry.
// The view covers only the own data centre. For a pool of another one it is zero, so that cold upstreams get nothing,
// unless two owners are ruled out by the roster: it lists no host in the pool's data centre, and the own data centre is
// nearer to the pool than each other one with a host on the roster. Reachability is not asked, since two data centres
// that cannot reach each other would both see themselves as the nearest. What remains is the lag of the roster.
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

// soleFallback reports whether the own data centre is the only one on the roster that may own pools of another one.
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
