package conformance

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"boragehinge.example/boragehinge/internal/configlog"
	"boragehinge.example/boragehinge/internal/logservice"
	"boragehinge.example/boragehinge/internal/rollout"
)

// refLease is the fold of spec/lease.pml. DURATION is rollout.LeaseDuration.
type refLease struct {
	offset  int64
	holder  string
	stamp   time.Time
	stopped bool
	share   float64
	taken   map[*decision]bool
}

// lease is the branch of inline fold for a lease record. It reports whether the lease is granted.
func (f *refLease) lease(offset int64, holder string, stamp time.Time) bool {
	if f.offset != 0 && stamp.Before(f.stamp.Add(rollout.LeaseDuration)) && f.holder != holder {
		return false
	}
	f.offset, f.holder, f.stamp = offset, holder, stamp
	return true
}

// step is the branch of inline fold for a step. It reports whether the step takes effect.
func (f *refLease) step(s *decision) bool {
	if s.token != f.offset || f.stopped || s.target <= f.share {
		return false
	}
	f.taken[s] = true
	f.share = s.target
	return true
}

// decision is a step that a holder has decided on and may append later, or more than once.
type decision struct {
	holder string
	token  int64
	target float64
	record configlog.Record
}

type leaseRun struct {
	t         *rapid.T
	now       time.Time // log's time
	entries   []logservice.Entry
	fold      *configlog.Fold // has read everything
	ref       refLease
	views     map[string]configlog.View // what each holder has read; it may be behind
	decisions []*decision
	accepted  int
}

const moveName = "m"

func newLeaseRun(t *rapid.T) *leaseRun {
	r := &leaseRun{t: t, now: logStart, fold: configlog.NewFold(), ref: refLease{taken: map[*decision]bool{}},
		views: map[string]configlog.View{}}
	rules := fmt.Sprintf(`{"versions":[{"service":"orders","from":"1","to":"2","move":%q,"by":%q}]}`,
		moveName, logStart.Add(1000*time.Hour).Format(time.RFC3339))
	r.append(configlog.Record{Kind: configlog.KindChange, Change: &configlog.Change{ID: "c", Operator: "op", Inventory: inventoryJSON(rules)}})
	return r
}

func (r *leaseRun) append(rec configlog.Record) configlog.Result {
	e := logservice.Entry{Offset: int64(len(r.entries)) + 1, Time: r.now, Data: encode(r.t, rec)}
	r.entries = append(r.entries, e)
	return r.fold.Apply(e)
}

func (r *leaseRun) percent() float64 {
	return r.fold.View().Moves[configlog.Move{Service: "orders", Name: moveName}].Percent
}

// lease is the leader's append of a lease record, implemented by rollout.LeaseRecord and Fold.Apply.
func (r *leaseRun) lease(holder string) {
	res := r.append(rollout.LeaseRecord(holder))
	granted := r.ref.lease(res.Offset, holder, r.now)
	require.Equal(r.t, granted, res.Outcome == configlog.Accepted, res.Reason)
}

// decide is the leader's decision under the token that it last read, implemented by rollout.Decision.Records. The holder
// may be paused afterwards, so its clock and its view may be old.
func (r *leaseRun) decide(holder string) {
	view := r.views[holder]
	clock := r.now
	if rapid.Bool().Draw(r.t, "slowClock") {
		clock = view.LogTime
	}
	percent := view.Moves[configlog.Move{Service: "orders", Name: moveName}].Percent + float64(rapid.IntRange(1, 3).Draw(r.t, "gain"))
	if percent > 100 {
		return
	}
	d := rollout.Decision{Step: percent}
	d.Status.Service, d.Status.Move = "orders", moveName
	for _, rec := range d.Records(clock, view, holder) {
		r.decisions = append(r.decisions, &decision{holder, rec.Step.Token, rec.Step.Percent, rec})
	}
}

// step appends a decided step, perhaps again after a lost answer.
func (r *leaseRun) step() {
	if len(r.decisions) > 0 {
		r.stepOf(rapid.IntRange(0, len(r.decisions)-1).Draw(r.t, "decision"))
	}
}

func (r *leaseRun) stepOf(i int) {
	if i < 0 {
		return
	}
	d := r.decisions[i]
	expired := !r.now.Before(r.ref.stamp.Add(rollout.LeaseDuration))
	twice := r.ref.taken[d]
	res := r.append(d.record)
	took := res.Outcome == configlog.Accepted
	if expired {
		// The code refuses more than the model: a step after the lease has run out, although nobody took it over.
		require.False(r.t, took)
		return
	}
	require.Equal(r.t, r.ref.step(d), took, res.Reason)
	require.Equal(r.t, r.ref.share, r.percent())
	if took {
		r.accepted++
		require.False(r.t, twice, "a decision took effect twice")
		require.Equal(r.t, r.ref.holder, d.holder, "the step was written by the holder of the newest lease")
	}
}

// stop is the stopper, implemented by rollout.Stop.Record.
func (r *leaseRun) stop() {
	res := r.append(rollout.Stop{Service: "orders", Move: moveName, Version: "2", Reason: "errors"}.Record())
	require.Equal(r.t, !r.ref.stopped, res.Outcome == configlog.Accepted)
	r.ref.stopped = true
}

// restore replaces the fold by one that starts from a snapshot: leases, steps and stops must survive it.
func (r *leaseRun) restore() {
	data, err := r.fold.Snapshot()
	require.NoError(r.t, err)
	e := logservice.Entry{Offset: int64(len(r.entries)) + 1, Time: r.now, Data: data}
	r.entries = append(r.entries, e)
	fresh := configlog.NewFold()
	require.Equal(r.t, configlog.Restored, fresh.Apply(e).Outcome)
	require.Equal(r.t, configlog.Noted, fresh.Apply(e).Outcome)
	require.Equal(r.t, configlog.Noted, r.fold.Apply(e).Outcome)
	require.Equal(r.t, r.fold.View(), fresh.View())
	r.fold = fresh
}

// Guards against a step that takes effect although its writer lost the lease while it was paused, a decision that takes
// effect twice after a lost answer, a lease that is taken over early, and a stopped move that gains share: the rules of
// spec/lease.pml.
func TestLeaseConformsToModel(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		r := newLeaseRun(t)
		holder := rapid.SampledFrom([]string{"e0", "e1", "e2"})
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			switch a := rapid.SampledFrom([]string{"lease", "read", "read", "decide", "decide", "step", "step", "lead", "lead", "time", "restore", "stop?"}).Draw(t, "action"); a {
			case "lease":
				r.lease(holder.Draw(t, "holder"))
			case "read":
				r.views[holder.Draw(t, "holder")] = r.fold.View()
			case "decide":
				r.decide(holder.Draw(t, "holder"))
			case "step":
				r.step()
			case "lead": // the holder reads, decides and may append at once
				if r.ref.holder != "" {
					r.views[r.ref.holder] = r.fold.View()
					r.decide(r.ref.holder)
					r.stepOf(len(r.decisions) - 1)
				}
			case "time":
				r.now = r.now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "ms")) * time.Millisecond)
			case "restore":
				r.restore()
			default:
				if strings.HasSuffix(a, "?") && rapid.IntRange(0, 9).Draw(t, "stop") == 0 {
					r.stop()
				}
			}
		}
		accepted += r.accepted
	})
	require.Greater(t, accepted, 50, "schedules without accepted steps compare nothing")
}
