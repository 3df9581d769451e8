package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against new attempts beyond the budget that holds over all entries in any window, also while two entries place, or
// one after the other.
func TestNewAttemptsStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		pools := []*fixture{newFixture(up("a"), up("b")), newFixture(up("a"), up("b"))}
		ask := func(attempt int, returns bool) bool {
			f := pools[rapid.IntRange(0, 1).Draw(t, "entry")]
			f.now = now
			f.healthy("a")
			f.healthy("b")
			d, id := f.ask(func(a *Ask) { a.Attempt, a.Returns = attempt, returns })
			if len(d.Grants) == 0 {
				return false
			}
			f.finish(id, NotRun)
			f.unblock()
			return true
		}
		var requests, repeats []time.Time
		for range rapid.IntRange(10, 60).Draw(t, "seconds") {
			perSecond := rapid.IntRange(0, 12).Draw(t, "requests")
			for range perSecond {
				requests = append(requests, now)
				ask(1, false)
				for ask(2, rapid.Bool().Draw(t, "returns")) {
					repeats = append(repeats, now)
				}
				now = now.Add(time.Second / time.Duration(perSecond))
			}
			if perSecond == 0 {
				now = now.Add(time.Second)
			}
		}
		for _, end := range repeats {
			n := within(repeats, end, 10*time.Second)
			if bound := 0.2*float64(within(requests, end, 10*time.Second)) + 60; float64(n) > bound {
				t.Fatalf("%d new attempts in a window, where %.1f are allowed", n, bound)
			}
		}
	})
}

// within counts the times in the window up to end.
func within(times []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && end.Sub(at) < window {
			n++
		}
	}
	return n
}

// unblock lets upstreams that refused a request be used again at once.
func (f *fixture) unblock() {
	for _, u := range f.ups {
		u.fullUntil, u.fullRun = time.Time{}, 0
	}
}

// Guards against a budget that is spent on requests whose callers come back anyway, so that those that were refused before
// are refused for good (scale-1 of all sites: all upstreams refuse 55 %, and callers come back once).
func TestHalfOfTheBudgetIsKeptForReturnedRequests(t *testing.T) {
	f := newFixture(up("a"), up("b"))
	spent := map[bool]int{}
	for _, returns := range []bool{true, false} {
		for {
			d, id := f.ask(func(a *Ask) { a.Attempt, a.Returns = 2, returns })
			if len(d.Grants) == 0 {
				require.Len(t, d.Refusals, 1)
				assert.Equal(t, ReasonBudget, d.Refusals[0].Reason)
				assert.Less(t, d.Refusals[0].RetryAfter, MinRetryAfter, "room is not what is missing")
				break
			}
			f.finish(id, Success)
			spent[returns]++
		}
	}
	assert.Positive(t, spent[true])
	assert.Equal(t, spent[true], spent[false])
}
