package conformance

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/configlog"
	"boragehinge.example/boragehinge/internal/logservice"
	"boragehinge.example/boragehinge/internal/logservice/standin"
	"boragehinge.example/boragehinge/internal/pause"
)

const (
	registerFollowers = 3
	// historyEnd is the return of an operation that may still take effect.
	historyEnd = int64(1) << 40
)

type registerKind string

const (
	registerRead      registerKind = "read"
	registerAccepted  registerKind = "accepted"
	registerRefused   registerKind = "refused"
	registerUndecided registerKind = "undecided"
)

// registerOp is a conditional write by an operator, or what a follower has in force. Versions are named by change ID.
type registerOp struct {
	kind      registerKind
	follower  int
	base, id  string
	call, end int64
}

// registerState is the configuration as a register: all versions in order, and the newest that each follower had.
type registerState struct {
	versions string // each as "id,"
	read     [registerFollowers]int
}

func (s registerState) list() []string {
	return strings.Split(strings.TrimSuffix(s.versions, ","), ",")
}

func (s registerState) current() string {
	list := s.list()
	return list[len(list)-1]
}

func (s registerState) with(id string) registerState {
	s.versions += id + ","
	return s
}

// registerModel is a register with conditional writes. Readers may be behind, but never go back.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, input, _ any) []any {
		s, op := state.(registerState), input.(registerOp)
		fits := s.current() == op.base
		switch {
		case op.kind == registerAccepted && fits:
			return []any{s.with(op.id)}
		case op.kind == registerRefused && !fits:
			return []any{s}
		case op.kind == registerUndecided && fits:
			return []any{s, s.with(op.id)}
		case op.kind == registerUndecided:
			return []any{s}
		case op.kind == registerRead:
			at := slices.Index(s.list(), op.id)
			if at >= 0 && at >= s.read[op.follower] {
				s.read[op.follower] = at
				return []any{s}
			}
		}
		return nil
	},
}

func registerOperations(list []registerOp) []porcupine.Operation {
	var ops []porcupine.Operation
	for i, op := range list {
		ops = append(ops, porcupine.Operation{ClientId: i, Input: op, Call: op.call, Return: op.end})
	}
	return ops
}

// registerRun collects a history. Its clock counts events, so that operations in the same instant keep their order.
type registerRun struct {
	log   *standin.Server
	clock atomic.Int64
	mu    sync.Mutex
	ops   []registerOp
}

func (r *registerRun) add(op registerOp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if op.end == 0 {
		op.end = r.clock.Add(1)
	}
	r.ops = append(r.ops, op)
}

// operate makes changes from the version that it reads, sometimes after a while.
func (r *registerRun) operate(ctx context.Context, name string, rng *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		fold, err := configlog.Load(ctx, r.log)
		if err == nil {
			base := fold.Current()
			pause.For(ctx, time.Duration(rng.IntN(3000))*time.Millisecond)
			id := fmt.Sprint(name, n)
			op := registerOp{base: base.ChangeID, id: id, call: r.clock.Add(1)}
			limited, cancel := context.WithTimeout(ctx, time.Duration(1+rng.IntN(10))*time.Second)
			d, err := configlog.Submit(limited, r.log, fold, configlog.Submission{
				ChangeID: id, Base: base.Offset, Operator: name, Inventory: inventoryJSON("{}")})
			cancel()
			r.decided(op, d, err)
		}
		pause.For(ctx, time.Duration(rng.IntN(4000))*time.Millisecond)
	}
}

func (r *registerRun) decided(op registerOp, d configlog.Decision, err error) {
	var none configlog.ErrNotSubmitted
	switch {
	case errors.As(err, &none):
		return
	case err != nil:
		op.kind, op.end = registerUndecided, historyEnd
	case d.Accepted:
		op.kind = registerAccepted
	default:
		op.kind = registerRefused
	}
	r.add(op)
}

// follow runs one follower and reads what it has in force.
func (r *registerRun) follow(ctx context.Context, i int) {
	self := logservice.Host{Name: fmt.Sprint("e", i), DataCentre: "dc"}
	f := configlog.NewFollower(configlog.FollowerSettings{Log: r.log, Self: self, Retention: time.Minute})
	var running sync.WaitGroup
	running.Go(func() { _ = f.Run(ctx) })
	for ctx.Err() == nil {
		pause.For(ctx, 700*time.Millisecond)
		call := r.clock.Add(1)
		if id := f.View().Version.ChangeID; id != "" {
			r.add(registerOp{kind: registerRead, follower: i, id: id, call: call})
		}
	}
	running.Wait()
}

// disturb switches the faults of the log.
func (r *registerRun) disturb(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		f := standin.Faults{KeepMs: time.Minute.Milliseconds()}
		switch rng.IntN(5) {
		case 0:
			f.LogOutage = true
		case 1:
			f.LoseAnswers = -1
		case 2:
			f.LoseAppends = 1 + rng.IntN(2)
		case 3:
			f.DelayMs = rng.IntN(500)
		}
		r.log.SetFaults(f)
		pause.For(ctx, time.Duration(rng.IntN(4000))*time.Millisecond)
	}
}

func runRegister(t *testing.T, seed uint64) []registerOp {
	r := &registerRun{log: standin.New(nil)}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
		defer cancel()
		faulty, end := context.WithTimeout(ctx, 90*time.Second)
		defer end()
		var followers, others sync.WaitGroup
		for i, name := range []string{"a", "b", "c"} {
			others.Go(func() { r.operate(faulty, name, rand.New(rand.NewPCG(seed, uint64(i)))) })
		}
		for i := range registerFollowers {
			followers.Go(func() { r.follow(ctx, i) })
		}
		others.Go(func() { r.disturb(faulty, rand.New(rand.NewPCG(seed, 9))) })
		others.Wait()
		r.log.SetFaults(standin.Faults{})
		r.finalChange(ctx, t)
		followers.Wait()
	})
	return r.ops
}

// finalChangeID names the last change. It is made without faults, so all followers have it in force at the end.
const finalChangeID = "final"

func (r *registerRun) finalChange(ctx context.Context, t *testing.T) {
	fold, err := configlog.Load(ctx, r.log)
	require.NoError(t, err)
	op := registerOp{base: fold.Current().ChangeID, id: finalChangeID, call: r.clock.Add(1)}
	d, err := configlog.Submit(ctx, r.log, fold, configlog.Submission{
		ChangeID: op.id, Base: fold.Current().Offset, Operator: "op", Inventory: inventoryJSON("{}")})
	require.NoError(t, err)
	require.True(t, d.Accepted)
	r.decided(op, d, nil)
}

func checkRegister(list []registerOp) porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(registerModel.ToModel(), registerOperations(list), 20*time.Second)
}

// Guards against an accepted change that is lost or overwritten by a concurrent one, a change that is reported as refused
// but takes effect, and an entry whose configuration goes back, with outages, lost answers and lost appends.
func TestConfigurationIsARegister(t *testing.T) {
	for seed := range uint64(4) {
		list := runRegister(t, seed)
		counts := map[registerKind]int{}
		for _, op := range list {
			counts[op.kind]++
		}
		t.Logf("seed %d: %v", seed, counts)
		require.Equal(t, porcupine.Ok, checkRegister(list), "seed %d", seed)
		for i := range registerFollowers {
			require.True(t, slices.ContainsFunc(list, func(op registerOp) bool {
				return op.kind == registerRead && op.follower == i && op.id == finalChangeID
			}), "follower %d has the last change in force", i)
		}
		require.Greater(t, counts[registerAccepted], 5)
		require.Greater(t, counts[registerRefused], 2)
		require.Greater(t, counts[registerRead], 100)
		requireRegisterViolationsFound(t, list)
	}
}

// requireRegisterViolationsFound injects one violation at a time; each must be rejected.
func requireRegisterViolationsFound(t *testing.T, list []registerOp) {
	var first, refused registerOp
	last := int64(0)
	for _, op := range list {
		if op.end != historyEnd {
			last = max(last, op.end)
		}
		if op.kind == registerAccepted && (first.id == "" || op.end < first.end) {
			first = op
		}
		if op.kind == registerRefused {
			refused = op
		}
	}
	for name, extra := range map[string]registerOp{
		"a second change accepted from the first version": {kind: registerAccepted, base: first.id, id: "x", call: last + 1, end: last + 2},
		"a change refused although its base is current":   {kind: registerRefused, base: finalChangeID, id: "x", call: last + 1, end: last + 2},
		"a follower that goes back":                       {kind: registerRead, follower: 0, id: first.id, call: last + 1, end: last + 2},
		"a refused change in force":                       {kind: registerRead, follower: 0, id: refused.id, call: last + 1, end: last + 2},
		"a change in force before it was made":            {kind: registerRead, follower: 0, id: first.id, call: -2, end: -1},
	} {
		require.Equal(t, porcupine.Illegal, checkRegister(append(slices.Clone(list), extra)), name)
	}
}
