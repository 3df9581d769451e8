package soak

import (
	"context"
	"fmt"
	"time"

	"boragehinge.example/boragehinge/internal/dev"
	"boragehinge.example/boragehinge/internal/emulator"
	"boragehinge.example/boragehinge/internal/operators"
	"boragehinge.example/boragehinge/internal/pause"
	"boragehinge.example/boragehinge/internal/rollout"
)

const (
	pollInterval = 50 * time.Millisecond
	// faultsAfter is when the faults of a bad version begin, so that it has traffic by then.
	faultsAfter = 4 * time.Second
)

// away takes a data centre or an upstream out of service and brings it back. Half of the data centres leave by the
// urgent command of an entry; the next change then names the same state.
func (j *injector) away(ctx context.Context, f Fault) {
	what := fmt.Sprintf("e-%d", f.Pick%centreCount+1)
	if f.Kind == UpstreamLeave {
		what = fmt.Sprintf("bench-%d", f.Pick%oldUpstreams+1)
	}
	end := j.rec.begin(f.Kind, what)
	defer end()
	leave := Leave{What: what, Upstreams: upstreamsIn(what)}
	if f.Kind == CentreLeaves && f.Pick/centreCount%2 == 0 {
		if err := j.leaveAtOnce(ctx, what); err != nil {
			j.failed(ctx, f.Kind, err)
			return
		}
		leave.Begin = time.Now()
	}
	if err := j.ops.change(ctx, func(d *desired) { d.leaving[what] = true }); err != nil {
		j.failed(ctx, f.Kind, err)
		return
	}
	if leave.Begin.IsZero() {
		leave.Begin = time.Now()
	}
	pause.For(ctx, f.For)
	leave.End = time.Now()
	j.rec.add(func(r *Records) { r.Leaves = append(r.Leaves, leave) })
	// The return is made also at the end of the run, so that nothing stays away.
	err := j.ops.change(context.WithoutCancel(ctx), func(d *desired) {
		delete(d.leaving, what)
		if f.Kind == CentreLeaves {
			d.returned[what] = true
		}
	})
	j.failed(ctx, f.Kind, err)
}

// leaveAtOnce gives the urgent command to the first entry that takes it.
func (j *injector) leaveAtOnce(ctx context.Context, dc string) error {
	var last error
	for _, e := range j.in.List() {
		if ok, _ := e.Ready(); !ok {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, 5*time.Second)
		_, last = e.Leave(limited, operators.Leaving{DataCentre: dc, Reason: "soak", Operator: "soak"})
		cancel()
		if last == nil {
			return nil
		}
	}
	return last
}

// version moves the bench service to a new version, which turns bad after a while if the fault says so.
func (j *injector) version(ctx context.Context, f Fault) {
	move := Move{Name: string(f.Kind)}
	for i := 1; i <= newUpstreams; i++ {
		move.Upstreams = append(move.Upstreams, fmt.Sprintf("next-%d", i))
	}
	for i := 1; i <= oldUpstreams; i++ {
		move.Old = append(move.Old, fmt.Sprintf("bench-%d", i))
	}
	end := j.rec.begin(f.Kind, "")
	defer end()
	number := 0
	err := j.ops.change(ctx, func(d *desired) {
		d.move++
		number = d.move
		d.moving, d.by = true, time.Now().Add(f.For-5*time.Second)
	})
	if err != nil {
		j.failed(ctx, f.Kind, err)
		return
	}
	move.Begin = time.Now()
	move.Name = fmt.Sprintf("%s 2.%d", f.Kind, number)
	j.followMove(ctx, f, &move, fmt.Sprintf("2.%d", number))
	j.rec.add(func(r *Records) { r.Moves = append(r.Moves, move) })
	j.failed(ctx, f.Kind, j.ops.change(context.WithoutCancel(ctx), func(d *desired) { d.moving = false }))
}

func (j *injector) followMove(ctx context.Context, f Fault, move *Move, version string) {
	bad := switches(Slow)
	if f.Pick%2 == 0 {
		bad = func(f *emulator.Faults) { f.FailRoutes = map[string]float64{"/bench": 0.5} }
	}
	for _, name := range move.Upstreams {
		j.apply(name, func(*emulator.Faults) {})
	}
	for time.Since(move.Begin) < f.For && pause.Sleep(ctx, 4*pollInterval) == nil {
		if f.Kind == BadVersion && move.Faulty.IsZero() && time.Since(move.Begin) >= faultsAfter {
			move.Faulty = time.Now()
			for _, name := range move.Upstreams {
				defer j.apply(name, bad)()
			}
		}
		for _, e := range j.in.List() {
			j.look(e, move, version)
		}
	}
	move.Ended = time.Now()
}

func (j *injector) look(e *dev.Entry, move *Move, version string) {
	if ok, _ := e.Ready(); !ok {
		return
	}
	for _, m := range e.State().Moves {
		if m.To != version {
			continue
		}
		move.State = string(m.State)
		if m.State == rollout.RolledBack && move.Stopped.IsZero() {
			move.Stopped, move.Why = time.Now(), m.Why
		}
	}
}

// follow records the configurations in force and the presence of entries until ctx ends.
func follow(ctx context.Context, in *dev.Installation, rec *recorder) {
	last := map[string]int64{}
	present := map[string]*Presence{}
	for pause.Sleep(ctx, pollInterval) == nil {
		for _, e := range in.List() {
			run := e.Incarnation()
			snapshot := e.Snapshot()
			if snapshot != nil && last[run] != snapshot.Version() {
				last[run] = snapshot.Version()
				rec.add(func(r *Records) { r.Versions = append(r.Versions, Version{run, time.Now(), snapshot.Version()}) })
			}
			if ok, _ := e.Ready(); !ok {
				continue
			}
			if present[run] == nil {
				present[run] = &Presence{Incarnation: run, Begin: time.Now()}
			}
			present[run].End = time.Now()
		}
	}
	for _, p := range present {
		rec.add(func(r *Records) { r.Presences = append(r.Presences, *p) })
	}
}
