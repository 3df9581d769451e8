package configlog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/logservice"
	"boragehinge.example/boragehinge/internal/logservice/standin"
)

type submitInput struct{ base, id string }

type submitOutput struct{ accepted, unknown bool }

// submitModel is a compare-and-set register: a change replaces the value if its base is the current value. A change with
// an unknown outcome may take effect at any later time.
var submitModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in, out := input.(submitInput), output.(submitOutput)
		if out.unknown {
			if state == in.base {
				return true, in.id
			}
			return true, state
		}
		if out.accepted {
			return state == in.base, in.id
		}
		return state != in.base, state
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// runOperators submits changes from concurrent operators during lost responses and log outages, and returns the history.
func runOperators(t *testing.T, seed uint64) []porcupine.Operation {
	log := standin.New(nil)
	rng := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	var history []porcupine.Operation
	began := time.Now()
	done := make(chan struct{})
	var faults, operators sync.WaitGroup
	faults.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Duration(rng.IntN(400)) * time.Millisecond):
			}
			log.SetFaults(standin.Faults{
				LogOutage: rng.IntN(3) == 0, LoseAnswers: rng.IntN(3), LoseAppends: rng.IntN(2), DelayMs: rng.IntN(50),
			})
		}
	})
	for operator := range 4 {
		operators.Go(func() {
			for i := range 6 {
				ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
				fold, err := Load(ctx, log)
				if err != nil {
					cancel()
					time.Sleep(100 * time.Millisecond)
					continue
				}
				time.Sleep(20 * time.Millisecond) // The operators edit at the same time.
				in := submitInput{base: fold.Current().ChangeID, id: fmt.Sprintf("o%d-%d", operator, i)}
				call := time.Since(began)
				d, err := Submit(ctx, log, fold, Submission{
					ChangeID: in.id, Base: fold.Current().Offset, Operator: fmt.Sprint(operator), Inventory: inventoryJSON(i, ""),
				})
				cancel()
				op := porcupine.Operation{
					ClientId: operator, Input: in, Call: int64(call), Output: submitOutput{accepted: d.Accepted}, Return: int64(time.Since(began)),
				}
				var undecided ErrUndecided
				var refused ErrNotSubmitted
				switch {
				case errors.As(err, &undecided):
					op.Output, op.Return = submitOutput{unknown: true}, int64(time.Hour)
				case errors.As(err, &refused):
					continue
				default:
					require.NoError(t, err)
				}
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
			}
		})
	}
	operators.Wait()
	close(done)
	faults.Wait()
	return history
}

// Guards against two changes accepted on one base, an accepted change reported as refused, and an accepted change that
// disappears. A history with a forged response must be rejected, which shows that the checker detects one.
func TestSubmitHistories(t *testing.T) {
	t.Parallel()
	accepted, lost := 0, 0
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			history := runOperators(t, seed)
			require.True(t, porcupine.CheckOperations(submitModel, history), "seed %d", seed)
			won := map[string]bool{} // bases with a known winner; only for these is a second accepted change certainly wrong
			for _, op := range history {
				if op.Output.(submitOutput).accepted {
					won[op.Input.(submitInput).base] = true
				}
			}
			forgeries := 0
			for i, op := range history {
				out := op.Output.(submitOutput)
				if out.unknown {
					continue
				}
				if out.accepted {
					accepted++
				} else {
					lost++
					if !won[op.Input.(submitInput).base] {
						continue
					}
					forgeries++
					forged := append([]porcupine.Operation(nil), history...)
					forged[i].Output = submitOutput{accepted: true}
					require.False(t, porcupine.CheckOperations(submitModel, forged), "seed %d, operation %d", seed, i)
				}
			}
			require.Positive(t, forgeries)
		})
	}
	require.Greater(t, accepted, 40)
	require.Greater(t, lost, 10)
	t.Logf("accepted %d, lost %d", accepted, lost)
}

// Guards against a lost append response that is reported as a failure, or a retry that takes effect twice.
func TestSubmitResolvesLostAnswers(t *testing.T) {
	cases := map[string]struct {
		faults standin.Faults
		sent   int
	}{
		"no fault":                 {standin.Faults{}, 1},
		"answer lost":              {standin.Faults{LoseAnswers: 1}, 1},
		"append lost":              {standin.Faults{LoseAppends: 1}, 2},
		"append, then answer lost": {standin.Faults{LoseAppends: 1, LoseAnswers: 1}, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := standin.New(nil)
				log.SetFaults(c.faults)
				d, err := Submit(t.Context(), log, NewFold(), Submission{ChangeID: "a", Operator: "o", Inventory: inventoryJSON(1, "")})
				require.NoError(t, err)
				require.Equal(t, Decision{ChangeID: "a", Accepted: true, Version: 1, Sent: c.sent}, d)
			})
		})
	}
}

// Guards against a client that hides a lost answer or an outage of the HTTP platform from Submit.
func TestSubmitOverHTTP(t *testing.T) {
	log := standin.New(nil)
	server := httptest.NewServer(log.Handler())
	defer server.Close()
	client, err := logservice.NewClient(logservice.ClientSettings{URL: server.URL})
	require.NoError(t, err)
	defer client.Close()
	log.SetFaults(standin.Faults{LogOutage: true})
	time.AfterFunc(50*time.Millisecond, func() { log.SetFaults(standin.Faults{LoseAnswers: 1}) })
	d, err := Submit(t.Context(), client, NewFold(), Submission{ChangeID: "a", Operator: "o", Inventory: inventoryJSON(1, "")})
	require.NoError(t, err)
	require.True(t, d.Accepted)
	require.Equal(t, int64(1), d.Version)
	fold, err := Load(t.Context(), client)
	require.NoError(t, err)
	require.Equal(t, int64(2), fold.Next(), "one record")
}

// Guards against batches of large records that exceed the client's response size limit.
func TestLoadLargeRecordsOverHTTP(t *testing.T) {
	t.Parallel()
	log := standin.New(nil)
	log.SetFaults(standin.Faults{AppendsPerSecond: -1})
	server := httptest.NewServer(log.Handler())
	defer server.Close()
	client, err := logservice.NewClient(logservice.ClientSettings{URL: server.URL, Timeout: time.Minute})
	require.NoError(t, err)
	defer client.Close()
	for range 300 {
		_, err := log.Append(t.Context(), make([]byte, logservice.MaxRecordBytes))
		require.NoError(t, err)
	}
	fold, err := Load(t.Context(), client)
	require.NoError(t, err)
	require.Equal(t, int64(301), fold.Next())
}

// Guards against a refusal that doesn't name the accepted change, and against an invalid inventory that reaches the log.
func TestSubmitAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.New(nil)
		submit := func(id string, slots int) (Decision, error) {
			return Submit(t.Context(), log, NewFold(), Submission{ChangeID: id, Operator: "op-" + id, Inventory: inventoryJSON(slots, "")})
		}
		_, err := submit("a", 1)
		require.NoError(t, err)
		d, err := submit("b", 2)
		require.NoError(t, err)
		require.Equal(t, &Winner{Offset: 1, ChangeID: "a", Operator: "op-a"}, d.Winner)
		require.Equal(t, []string{"services[orders].slots"}, d.Differs)
		_, err = Submit(t.Context(), log, NewFold(), Submission{
			ChangeID: "c", Operator: "o", Inventory: inventoryJSON(1, ""),
			Validate: func(json.RawMessage) error { return errors.New("no upstreams") },
		})
		require.ErrorAs(t, err, &ErrNotSubmitted{})
		require.Equal(t, int64(2), log.Counters().Appends)
	})
}

// Guards against an outage reported as a decision: if the append failed, the change isn't in the log; if the
// response was lost, it is undecided.
func TestSubmitDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := standin.New(nil)
		log.SetFaults(standin.Faults{LogOutage: true})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		s := Submission{ChangeID: "a", Operator: "o", Inventory: inventoryJSON(1, "")}
		_, err := Submit(ctx, log, NewFold(), s)
		require.ErrorAs(t, err, &ErrNotSubmitted{})
		require.ErrorIs(t, err, logservice.ErrUnavailable)

		log.SetFaults(standin.Faults{LoseAppends: -1})
		ctx, cancel = context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err = Submit(ctx, log, NewFold(), s)
		require.ErrorAs(t, err, &ErrUndecided{})
	})
}
