package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// runOrder fills a pool of one slot, queues the calls and returns them in the order in which they run.
func runOrder(f *fixture, queued ...Request) []Request {
	f.submit(Request{Class: "urgent"})
	byID := map[uint64]Request{}
	for _, r := range queued {
		byID[f.id+1] = r
		require.Empty(f.t, f.submit(r).Refusals)
	}
	var order []Request
	for id := uint64(1); len(order) < len(queued); {
		f.now = f.now.Add(time.Millisecond)
		ev := f.pool.Finish(f.now, id, Outcome{Latency: time.Millisecond})
		require.Len(f.t, ev.Grants, 1)
		id = ev.Grants[0].RequestID
		order = append(order, byID[id])
	}
	return order
}

func repeat(n int, r Request) []Request {
	out := make([]Request, n)
	for i := range out {
		out[i] = r
	}
	return out
}

// Guards against bulk calls that delay urgent ones, and against starvation of bulk calls.
func TestClassesByPriorityWithMinimumShare(t *testing.T) {
	f := newFixture(t, testSpec(1, 1))
	order := runOrder(f, append(repeat(5, Request{Class: "bulk"}), repeat(60, Request{Class: "urgent"})...)...)
	firstBulk := 0
	for order[firstBulk].Class != "bulk" {
		firstBulk++
	}
	assert.Equal(t, 20, firstBulk, "5 % of the grants go to bulk")
}

// Guards against a customer that floods the queue and so delays the calls of others.
func TestCustomersShareAClassByWeight(t *testing.T) {
	spec := testSpec(1, 1)
	spec.Customers = []CustomerSpec{{Name: "heavy", Weight: 2}}
	f := newFixture(t, spec)
	calls := repeat(100, Request{Class: "ordinary", Customer: "flood"})
	calls = append(calls, repeat(20, Request{Class: "ordinary", Customer: "heavy"})...)
	calls = append(calls, repeat(10, Request{Class: "ordinary", Customer: "light"})...)
	count := map[string]int{}
	for _, r := range runOrder(f, calls...)[:40] {
		count[r.Customer]++
	}
	assert.Equal(t, map[string]int{"heavy": 20, "light": 10, "flood": 10}, count)
}

// Guards against a priority boost that has no effect.
func TestPriorityBoostMovesCallsUp(t *testing.T) {
	spec := testSpec(1, 1)
	spec.Customers = []CustomerSpec{{Name: "vip", PriorityBoost: 1}}
	order := runOrder(newFixture(t, spec), Request{Class: "ordinary"}, Request{Class: "ordinary", Customer: "vip"})
	assert.Equal(t, "vip", order[0].Customer)
}

// Guards against queueing calls that cannot meet their deadline, which wastes slots on late responses.
func TestQueueIsBoundedByDeadline(t *testing.T) {
	f := newFixture(t, testSpec(1, 1))
	admitted := 0
	for range 100 {
		ev := f.submit(Request{Class: "ordinary", Deadline: f.now.Add(100 * time.Millisecond)})
		if len(ev.Refusals) == 0 {
			admitted++
		} else {
			assert.Positive(t, ev.Refusals[0].RetryAfter)
		}
	}
	assert.InDelta(t, 10, admitted, 2, "a slot runs 10 calls of 10 ms in 100 ms")
	assert.Equal(t, 100-admitted, f.refused[ReasonOverload])
	f.advance(200 * time.Millisecond)
	assert.Equal(t, admitted-1, f.refused[ReasonDeadline], "calls that wait past their deadline are refused")
}

// Guards against late calls that are never refused because they are not at the head of a queue or are retries.
func TestEveryQueuedCallExpires(t *testing.T) {
	f := newFixture(t, testSpec(2, 1))
	f.submit(Request{Class: "ordinary"})
	f.submit(Request{Class: "ordinary"})
	f.submit(Request{Class: "ordinary", Deadline: f.now.Add(time.Minute)})
	f.submit(Request{Class: "ordinary", Deadline: f.now.Add(time.Second)})
	f.submit(Request{Class: "ordinary", Deadline: f.now.Add(time.Second), Exclude: []string{"u000"}})
	f.advance(2 * time.Second)
	assert.Equal(t, 2, f.refused[ReasonDeadline])
	assert.Equal(t, 1, f.pool.Summary(f.now).Queued)
}

// Guards against a service time estimate that refuses every call of a class for ever after one very slow call.
func TestServiceEstimateRecovers(t *testing.T) {
	f := newFixture(t, testSpec(1, 1))
	f.submit(Request{Class: "urgent"})
	f.pool.Finish(f.now, 1, Outcome{Latency: 10 * time.Second})
	for range 200 {
		f.submit(Request{Class: "bulk"})
		f.pool.Finish(f.now, f.id, Outcome{Latency: 10 * time.Millisecond})
	}
	f.submit(Request{Class: "bulk"})
	for range 1000 {
		if len(f.submit(Request{Class: "urgent", Deadline: f.now.Add(time.Second)}).Refusals) == 0 {
			return
		}
	}
	require.Fail(t, "every urgent call was refused", "%v", f.refused)
}

// Guards against refusing urgent calls while bulk calls occupy the queue.
func TestFullQueueRefusesLowestPriorityFirst(t *testing.T) {
	spec := testSpec(1, 1)
	spec.MaxQueued = 10
	f := newFixture(t, spec)
	for range 11 {
		f.submit(Request{Class: "bulk"})
	}
	ev := f.submit(Request{Class: "urgent"})
	require.Len(t, ev.Refusals, 1)
	assert.NotEqual(t, f.id, ev.Refusals[0].RequestID, "a bulk call is displaced")
	ev = f.submit(Request{Class: "bulk"})
	require.Len(t, ev.Refusals, 1)
	assert.Equal(t, f.id, ev.Refusals[0].RequestID)
}

// Guards against a cancelled call that keeps its slot or its place in the queue.
func TestCancelFreesTheSlotAtOnce(t *testing.T) {
	f := newFixture(t, testSpec(1, 1))
	for range 3 {
		f.submit(Request{Class: "ordinary"})
	}
	assert.Empty(t, f.pool.Cancel(f.now, 2).Grants)
	ev := f.pool.Cancel(f.now, 1)
	require.Len(t, ev.Grants, 1)
	assert.Equal(t, uint64(3), ev.Grants[0].RequestID)
	assert.Empty(t, f.pool.Cancel(f.now, 1).Grants, "a second cancellation has no effect")
}

// Guards against running a call on an upstream that it excludes or that has another version, and against such calls
// blocking others.
func TestVersionAndExclusionListAreRespected(t *testing.T) {
	spec := testSpec(3, 1)
	spec.Upstreams[2].Version = "v2"
	f := newFixture(t, spec)
	ev := f.submit(Request{Class: "ordinary", Version: "v2"})
	require.Equal(t, "u002", ev.Grants[0].Upstream)
	ev = f.submit(Request{Class: "ordinary", Version: "v1", Exclude: []string{"u000"}})
	require.Equal(t, "u001", ev.Grants[0].Upstream)
	assert.Empty(t, f.submit(Request{Class: "ordinary", Version: "v1", Exclude: []string{"u000"}}).Grants)
	assert.Len(t, f.submit(Request{Class: "ordinary", Version: "v1"}).Grants, 1, "a waiting retry blocks no other call")
	f.submit(Request{Class: "ordinary", Exclude: []string{"u000", "u001", "u002"}})
	assert.Equal(t, 1, f.refused[ReasonNoUpstream])
	f.submit(Request{Class: "ordinary", Version: "v3"})
	assert.Equal(t, 2, f.refused[ReasonNoUpstream])
	f.submit(Request{Class: "ordinary", Hedge: true})
	assert.Equal(t, 1, f.refused[ReasonOverload], "a hedge never waits")
}

// Guards against hard limits that are exceeded, soft limits that refuse calls, and customers that use up the tokens of
// others.
func TestLimits(t *testing.T) {
	spec := testSpec(100, 6)
	spec.Limits = []LimitSpec{
		{Customer: "hard", Class: "ordinary", Rate: 10, Burst: 5},
		{Customer: "soft", Rate: 10, Burst: 5, Soft: true},
		{Customer: "*", Class: "bulk", Rate: 10, Burst: 2},
	}
	f := newFixture(t, spec)
	send := func(n int, customer, class string) (granted int) {
		for range n {
			granted += len(f.submit(Request{Customer: customer, Class: class}).Grants)
		}
		return granted
	}
	assert.Equal(t, 5, send(10, "hard", "ordinary"))
	assert.Equal(t, 10, send(10, "hard", "urgent"), "another class has no limit")
	assert.Equal(t, 10, send(10, "soft", "ordinary"))
	assert.Equal(t, uint64(5), f.pool.Limits()[1].Over)
	assert.Equal(t, 2, send(5, "x", "bulk"))
	assert.Equal(t, 2, send(5, "y", "bulk"), "each customer has its own bucket")
	f.pool.Configure(f.now, spec)
	assert.Zero(t, send(1, "hard", "ordinary"), "a new configuration does not allow another burst")
	f.now = f.now.Add(100 * time.Millisecond)
	assert.Equal(t, 1, send(5, "hard", "ordinary"))
}

// Guards against a changed priority boost that leaves waiting calls in their old place, and against a boost that is
// lost with an unrelated change.
func TestConfigureAppliesPriorityBoostToWaitingCalls(t *testing.T) {
	plain, boosted := testSpec(1, 1), testSpec(1, 1)
	boosted.Customers = []CustomerSpec{{Name: "vip", PriorityBoost: 1}}
	for name, specs := range map[string][2]Spec{"added": {plain, boosted}, "kept": {boosted, boosted}} {
		f := newFixture(t, specs[0])
		running := f.submitCalls(1)[0]
		f.submit(Request{Class: "ordinary"})
		f.submit(Request{Class: "ordinary", Customer: "vip"})
		vip := f.id
		f.pool.Configure(f.now, specs[1])
		ev := f.pool.Finish(f.now, running, Outcome{Latency: time.Millisecond})
		require.Len(t, ev.Grants, 1, name)
		assert.Equal(t, vip, ev.Grants[0].RequestID, name)
	}
	f := newFixture(t, boosted)
	running := f.submitCalls(1)[0]
	f.submit(Request{Class: "ordinary"})
	first := f.id
	f.submit(Request{Class: "ordinary", Customer: "vip"})
	f.pool.Configure(f.now, plain)
	ev := f.pool.Finish(f.now, running, Outcome{Latency: time.Millisecond})
	assert.Equal(t, first, ev.Grants[0].RequestID, "removed")
}
