package rollout

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/configlog"
	"boragehinge.example/boragehinge/internal/logservice"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// condition is what a call to the new version meets.
type condition struct {
	fail   float64 // added failure probability
	slow   float64 // factor on latency, 0 is 1
	cold   bool
	notRun float64
}

// scenario is one kind of new version. fault gets the time since the first step and the share in percent.
type scenario struct {
	name  string
	fault func(route string, since time.Duration, share float64) condition
	slots int           // slots of the new version; 0 is plenty
	by    time.Duration // 0 is 10 min
	bad   bool
	late  bool // can't be done by the deadline
	// shared is a fault of both versions at a time since the start.
	shared func(since time.Duration) condition
}

type route struct {
	name, class string
	weight      float64
	median      time.Duration
}

var routes = []route{
	{"lookup", "urgent", 0.6, 10 * time.Millisecond},
	{"order", "ordinary", 0.25, 15 * time.Millisecond},
	{"archive", "bulk", 0.1, 200 * time.Millisecond},
	{"report", "bulk", 0.05, 50 * time.Millisecond},
}

const (
	callsPerSecond = 300
	upstreams      = 12
)

// simulation runs one move in virtual time in steps of a second. Both versions have upstreams with noisy neighbours:
// each is disturbed every two minutes for up to 3 s, with 3 to 6 times the latency and 5 % more failures. Statistics,
// stops and records take a second each to arrive.
type simulation struct {
	scenario
	rng       *rand.Rand
	fold      *configlog.Fold
	now       time.Time
	began     time.Time // first step
	noisy     [2][upstreams]time.Time
	calls     int
	toBad     int // calls that met the fault
	faultAt   time.Time
	lastBad   time.Time
	before    int // calls before the fault
	until     int // calls until the last one that met the fault
	requestID int
}

type result struct {
	state    State
	reason   string
	badCalls int     // calls that met the fault
	badShare float64 // part that they are of all calls from the first to the last of them
	takeBack time.Duration
	took     time.Duration
}

func (s *simulation) append(r configlog.Record) {
	data, err := configlog.Encode(r)
	if err != nil {
		panic(err)
	}
	s.fold.Apply(logservice.Entry{Offset: s.fold.Next(), Time: s.now, Data: data})
}

func inventory(by time.Time, name string) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"schemaVersion":1,"sites":[],"classes":[],"services":[],"rules":{"versions":[`+
		`{"service":"orders","from":"1","to":"2","move":%q,"by":%q}]}}`, name, by.Format(time.RFC3339Nano)))
}

func run(sc scenario, seed uint64) result {
	if sc.by == 0 {
		sc.by = 10 * time.Minute
	}
	if sc.slots == 0 {
		sc.slots = 100
	}
	s := &simulation{scenario: sc, rng: rand.New(rand.NewPCG(seed, 7)), fold: configlog.NewFold(), now: start}
	s.append(configlog.Record{Kind: configlog.KindChange, Change: &configlog.Change{
		ID: "a", Operator: "o", Inventory: inventory(start.Add(sc.by), "m"),
	}})
	rule := s.fold.Current().Inventory.Rules.Versions[0]
	mover, stops := NewMover(rule, Config{}, s.now), &Stops{}
	var res result
	var arriving []Sample
	for s.now.Before(start.Add(sc.by + 30*time.Second)) {
		view := s.fold.View()
		if s.began.IsZero() && view.Moves[configlog.Move{Service: "orders", Name: "m"}].Percent > 0 {
			s.began = s.now
		}
		samples := s.second(Share(s.now, rule, view, stops))
		s.now = s.now.Add(time.Second)
		mover.Observe(s.now, arriving)
		arriving = samples
		if WantsLease(s.now, view, "e1") {
			s.append(LeaseRecord("e1"))
		}
		d := mover.Tick(s.now, Input{View: view, Stops: stops, Capacity: Capacity{NewSlots: sc.slots, NeededSlots: 40}})
		for _, r := range d.Records(s.now, view, "e1") {
			s.append(r)
		}
		if d.Stop != nil {
			s.now = s.now.Add(time.Second)
			s.second(view.Moves[configlog.Move{Service: "orders", Name: "m"}].Percent)
			stops.Add(*d.Stop)
		}
		res.state, res.reason = d.Status.State, d.Status.Why+" "+d.Status.Evidence
		if res.state == Done || res.state == RolledBack && Share(s.now, rule, s.fold.View(), stops) == 0 {
			res.took = s.now.Sub(start)
			break
		}
	}
	res.badCalls, res.badShare = s.toBad, float64(s.toBad)/float64(max(s.until-s.before, 1))
	if !s.faultAt.IsZero() {
		res.takeBack = s.lastBad.Sub(s.faultAt) + time.Second
	}
	return res
}

// second makes the calls of one second.
func (s *simulation) second(share float64) []Sample {
	for v := range s.noisy {
		for u := range s.noisy[v] {
			if s.rng.Float64() < 1.0/120 {
				s.noisy[v][u] = s.now.Add(time.Duration(s.rng.Float64() * 3 * float64(time.Second)))
			}
		}
	}
	cells := make([]Sample, 4*len(routes))
	for range callsPerSecond {
		s.call(share, cells)
	}
	return slices.DeleteFunc(cells, func(c Sample) bool { return c.Calls+c.NotRun == 0 })
}

func (s *simulation) call(share float64, cells []Sample) {
	s.calls++
	s.requestID++
	at, pick := s.rng.Float64(), 0
	for at > routes[pick].weight && pick < len(routes)-1 {
		at -= routes[pick].weight
		pick++
	}
	r, version, v := routes[pick], "1", 0
	var c condition
	if Picks("m", strconv.Itoa(s.requestID), share) {
		version, v = "2", 1
		c = s.fault(r.name, s.now.Sub(s.began), share)
		if s.bad && (c.fail > 0 || c.slow > 1) {
			s.toBad++
			s.lastBad, s.until = s.now, s.calls
			if s.faultAt.IsZero() {
				s.faultAt, s.before = s.now, s.calls-1
			}
		}
	}
	fail, slow := 0.003+c.fail, max(c.slow, 1)
	if s.shared != nil {
		both := s.shared(s.now.Sub(start))
		fail, slow = fail+both.fail, slow*max(both.slow, 1)
	}
	if s.now.Before(s.noisy[v][s.rng.IntN(upstreams)]) {
		fail, slow = fail+0.05, slow*(3+3*s.rng.Float64())
	}
	cell := &cells[4*pick+2*v]
	if c.cold {
		cell = &cells[4*pick+2*v+1]
	}
	cell.Route, cell.Class, cell.Version, cell.Cold = r.name, r.class, version, c.cold
	if s.rng.Float64() < c.notRun {
		cell.NotRun++
		return
	}
	cell.Calls++
	if s.rng.Float64() < fail {
		cell.Failures++
		return
	}
	latency := float64(r.median) * slow * math.Exp(0.5*s.rng.NormFloat64())
	bucket := math.Ceil(math.Log2(latency / float64(100*time.Microsecond)))
	cell.Latency[int(min(max(bucket, 0), Buckets-1))]++
}

func always(c condition) func(string, time.Duration, float64) condition {
	return func(string, time.Duration, float64) condition { return c }
}

var scenarios = []scenario{
	{name: "good", fault: always(condition{})},
	{name: "good, cold for 60 s", fault: func(_ string, since time.Duration, _ float64) condition {
		if since > time.Minute {
			return condition{}
		}
		return condition{cold: true, slow: 4, notRun: 0.3}
	}},
	{name: "good, 2 min until the deadline", fault: always(condition{}), by: 2 * time.Minute},
	{name: "good, 30 s until the deadline", fault: always(condition{}), by: 30 * time.Second, late: true},
	{name: "good, too few upstreams", fault: always(condition{}), slots: 8, late: true},
	{name: "good, both versions disturbed for 5 of 40 s", fault: always(condition{}), shared: func(since time.Duration) condition {
		if since%(40*time.Second) > 5*time.Second {
			return condition{}
		}
		return condition{fail: 0.2, slow: 4}
	}},
	{name: "bad: 20 % fail", fault: always(condition{fail: 0.2}), bad: true},
	{name: "bad: 5 % fail", fault: always(condition{fail: 0.05}), bad: true},
	{name: "bad: 3 times slower", fault: always(condition{slow: 3}), bad: true},
	{name: "bad: all fail, cold", fault: always(condition{fail: 1, cold: true}), bad: true},
	{name: "bad later: 20 % fail after 120 s", bad: true, fault: func(_ string, since time.Duration, _ float64) condition {
		if since < 2*time.Minute {
			return condition{}
		}
		return condition{fail: 0.2}
	}},
	{name: "bad under load: from 25 % on, 4 times slower", bad: true, fault: func(_ string, _ time.Duration, share float64) condition {
		if share < 25 {
			return condition{}
		}
		return condition{slow: 4}
	}},
	{name: "bad under load: at the last step only, 10 % fail", bad: true, fault: func(_ string, _ time.Duration, share float64) condition {
		if share < 100-heldBack {
			return condition{}
		}
		return condition{fail: 0.1}
	}},
	{name: "bad route: 30 % of report fail", bad: true, fault: func(route string, _ time.Duration, _ float64) condition {
		if route != "report" {
			return condition{}
		}
		return condition{fail: 0.3}
	}},
}

// runAll runs a scenario with many seeds.
func runAll(sc scenario, seeds int) []result {
	results := make([]result, seeds)
	var running sync.WaitGroup
	limit := make(chan struct{}, 4)
	for i := range results {
		running.Go(func() {
			limit <- struct{}{}
			results[i] = run(sc, uint64(i))
			<-limit
		})
	}
	running.Wait()
	return results
}

func median(list []float64) (middle, highest float64) {
	slices.Sort(list)
	return list[len(list)/2], list[len(list)-1]
}

// Guards against good versions that are taken back wrongly (target: under 1 % of 200 seeds) or don't finish in time,
// and against bad ones that finish. BORAGEHINGE_ROLLOUT_SEEDS sets another number of seeds for bad versions too; the
// test logs the figures of docs/measurements/rollout.md.
func TestMovesWithSeeds(t *testing.T) {
	given, _ := strconv.Atoi(os.Getenv("BORAGEHINGE_ROLLOUT_SEEDS"))
	t.Log("| new version | seeds | done | condemned | not done by the deadline | share of calls from the fault to the end, median and highest | calls that met the fault, median and highest | time to take back, median and highest | whole time, median and highest |")
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			seeds := 12
			if sc.name == "good" {
				seeds = 200
			}
			if given > 0 {
				seeds = given
			}
			done, condemned, late := 0, 0, 0
			var shares, calls, times, whole []float64
			for i, r := range runAll(sc, seeds) {
				shares, times = append(shares, 100*r.badShare), append(times, r.takeBack.Seconds())
				calls, whole = append(calls, float64(r.badCalls)), append(whole, r.took.Seconds())
				switch {
				case r.state == Done:
					done++
				case strings.HasPrefix(r.reason, configlog.ReasonDeadline):
					late++
				default:
					condemned++
					if !sc.bad {
						t.Logf("seed %d: %s", i, r.reason)
					}
				}
			}
			share, mostShare := median(shares)
			takeBack, longest := median(times)
			hit, mostHit := median(calls)
			took, longestTook := median(whole)
			t.Logf("| %s | %d | %d | %d | %d | %.1f %%, %.1f %% | %.0f, %.0f | %.0f s, %.0f s | %.0f s, %.0f s |", sc.name,
				seeds, done, condemned, late, share, mostShare, hit, mostHit, takeBack, longest, took, longestTook)
			switch {
			case sc.bad:
				require.Equal(t, seeds, condemned)
			case sc.late:
				require.Equal(t, seeds, late)
			default:
				require.Less(t, float64(condemned), 0.01*float64(max(seeds, 200)))
				require.GreaterOrEqual(t, float64(done), 0.97*float64(seeds))
			}
		})
	}
}
