package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"boragehinge.example/boragehinge/internal/configlog"
)

const (
	// LeaseName is the lease under which steps of all moves are written.
	LeaseName = "rollout"
	// LeaseDuration is long enough for two renewals to fail before the lease ends.
	LeaseDuration = 15 * time.Second
)

// WantsLease reports whether this entry should append a lease record now: to renew its own after half its time, or to
// take over one that ended. Entries try at different times after the end, by a hash of their name. A clock that differs
// from the log's costs time or a refused record, never safety: the fold decides by the log's time and steps are fenced
// by the token.
func WantsLease(now time.Time, view configlog.View, holder string) bool {
	if !anyActive(view) {
		return false
	}
	l, ok := view.Leases[LeaseName]
	if ok && l.Holder == holder {
		return !now.Before(l.Until.Add(-LeaseDuration / 2))
	}
	delay := time.Duration(xxhash.Sum64String(holder) % uint64(LeaseDuration/2))
	if !ok {
		return !now.Before(view.Version.Time.Add(delay))
	}
	return !now.Before(l.Until.Add(delay))
}

// Token returns the fencing token for steps when this entry holds the lease.
func Token(now time.Time, view configlog.View, holder string) (token int64, ok bool) {
	l, ok := view.Leases[LeaseName]
	if !ok || l.Holder != holder || !now.Before(l.Until) {
		return 0, false
	}
	return l.Token, true
}

func anyActive(view configlog.View) bool {
	for _, m := range view.Moves {
		if !m.Finished && !m.Stopped {
			return true
		}
	}
	return false
}

// LeaseRecord returns the record that asks for the lease.
func LeaseRecord(holder string) configlog.Record {
	return configlog.Record{Kind: configlog.KindLease, Lease: &configlog.Lease{
		Name: LeaseName, Holder: holder, DurationMs: LeaseDuration.Milliseconds(),
	}}
}

// Records returns what a decision adds to the log. Steps are left out when this entry doesn't hold the lease.
func (d Decision) Records(now time.Time, view configlog.View, holder string) []configlog.Record {
	token, leads := Token(now, view, holder)
	s := d.Status
	switch {
	case d.Stop != nil:
		return []configlog.Record{d.Stop.Record()}
	case d.Finish && leads:
		return []configlog.Record{{Kind: configlog.KindFinished, Finished: &configlog.Finished{
			Service: s.Service, Move: s.Move, Lease: LeaseName, Token: token,
		}}}
	case d.Step > 0 && leads:
		return []configlog.Record{{Kind: configlog.KindStep, Step: &configlog.Step{
			Service: s.Service, Move: s.Move, Percent: d.Step, Lease: LeaseName, Token: token,
		}}}
	}
	return nil
}

// Record returns the stop as a record of the log.
func (f Stop) Record() configlog.Record {
	const maxEvidence = 400
	evidence := f.Evidence
	if len(evidence) > maxEvidence {
		evidence = evidence[:maxEvidence]
	}
	return configlog.Record{Kind: configlog.KindStop, Stop: &configlog.Stop{
		Service: f.Service, Move: f.Move, Version: f.Version, Reason: f.Reason, Evidence: evidence,
	}}
}
