package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"boragehinge.example/boragehinge/internal/configlog"
)

const (
	// LeaseName is the lease whose holder appends the steps of all moves to the log.
	LeaseName = "rollout"
	// LeaseDuration allows two renewals to fail before the lease expires.
	LeaseDuration = 15 * time.Second
)

// WantsLease reports whether the entry holder should append a lease record now: to renew its own lease after half of its
// duration, or to acquire an expired one. After the expiry each entry waits for a delay derived from a hash of its name, so
// that they don't all try at once. Clock skew against the log can only cause a delay or a rejected record: configlog.Fold
// decides by the log's time, and the fencing token protects the steps.
func WantsLease(now time.Time, view configlog.View, holder string) bool {
	if !hasActiveMove(view) {
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

// Token returns the fencing token for steps. ok is false unless holder holds the lease.
func Token(now time.Time, view configlog.View, holder string) (token int64, ok bool) {
	l, ok := view.Leases[LeaseName]
	if !ok || l.Holder != holder || !now.Before(l.Until) {
		return 0, false
	}
	return l.Token, true
}

func hasActiveMove(view configlog.View) bool {
	for _, m := range view.Moves {
		if !m.Finished && !m.Stopped {
			return true
		}
	}
	return false
}

// LeaseRecord returns the log record that acquires or renews the lease.
func LeaseRecord(holder string) configlog.Record {
	return configlog.Record{Kind: configlog.KindLease, Lease: &configlog.Lease{
		Name: LeaseName, Holder: holder, DurationMs: LeaseDuration.Milliseconds(),
	}}
}

// Records returns the records to append to the log for a decision. Steps and the finished record are left out unless
// holder holds the lease.
func (d Decision) Records(now time.Time, view configlog.View, holder string) []configlog.Record {
	token, holdsLease := Token(now, view, holder)
	s := d.Status
	switch {
	case d.Stop != nil:
		return []configlog.Record{d.Stop.Record()}
	case d.Finish && holdsLease:
		return []configlog.Record{{Kind: configlog.KindFinished, Finished: &configlog.Finished{
			Service: s.Service, Move: s.Move, Lease: LeaseName, Token: token,
		}}}
	case d.Step > 0 && holdsLease:
		return []configlog.Record{{Kind: configlog.KindStep, Step: &configlog.Step{
			Service: s.Service, Move: s.Move, Percent: d.Step, Lease: LeaseName, Token: token,
		}}}
	}
	return nil
}

// Record returns the log record of the stop, with its evidence truncated to a maximum length.
func (s Stop) Record() configlog.Record {
	const maxEvidence = 400
	evidence := s.Evidence
	if len(evidence) > maxEvidence {
		evidence = evidence[:maxEvidence]
	}
	return configlog.Record{Kind: configlog.KindStop, Stop: &configlog.Stop{
		Service: s.Service, Move: s.Move, Version: s.Version, Reason: s.Reason, Evidence: evidence,
	}}
}
