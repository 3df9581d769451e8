package simulate

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"sync"
	"time"
)

// Case is one set of parameters of the simulation.
type Case struct {
	Upstreams int
	Slots     int
	Load      float64 // offered load relative to the capacity without faults
	Bursts    bool
	Variable  bool   // exponential instead of uniform service times
	Fault     string // one of Faults
	Seed      int64
	Duration  time.Duration
}

// Faults are the faults that can be injected. Each starts after a quarter of the duration. In the fault "cold" the
// upstreams restart; in "silent-cold" they become cold without a restart.
var Faults = []string{"none", "slow", "cold", "silent-cold", "false-report", "third-lost", "failing-fast"}

// FaultManySilentCold makes every second upstream cold at once, without a restart. It is not part of the full
// experiment.
const FaultManySilentCold = "many-silent-cold"

// Policies are the load-balancing policies that are compared.
var Policies = []string{"round-robin", "least-outstanding", "two-choices", "owner", "owner-3dc", "ideal"}

// Options selects the cases and policies that Run simulates. Zero fields select the full experiment.
type Options struct {
	Slots    []int
	Loads    []float64
	Faults   []string
	Bursts   []bool
	Variable []bool
	Policies []string
	Seed     int64
	Duration time.Duration
}

func (o Options) withDefaults() Options {
	if len(o.Slots) == 0 {
		o.Slots = []int{3, 6}
	}
	if len(o.Loads) == 0 {
		o.Loads = []float64{0.5, 0.7, 0.85, 0.95, 1, 1.2}
	}
	if len(o.Faults) == 0 {
		o.Faults = Faults
	}
	if len(o.Bursts) == 0 {
		o.Bursts = []bool{false, true}
	}
	if len(o.Variable) == 0 {
		o.Variable = []bool{true, false}
	}
	if len(o.Policies) == 0 {
		o.Policies = Policies
	}
	if o.Seed == 0 {
		o.Seed = 1
	}
	if o.Duration == 0 {
		o.Duration = 6 * time.Second
	}
	return o
}

func (o Options) cases() []Case {
	var out []Case
	for _, variable := range o.Variable {
		for _, slots := range o.Slots {
			for _, fault := range o.Faults {
				for _, bursts := range o.Bursts {
					out = append(out, o.loadCases(Case{
						Upstreams: 25, Slots: slots, Bursts: bursts, Variable: variable, Fault: fault,
					})...)
				}
			}
		}
	}
	return out
}

func (o Options) loadCases(c Case) []Case {
	var out []Case
	c.Seed, c.Duration = o.Seed, o.Duration
	for _, load := range o.Loads {
		c.Load = load
		out = append(out, c)
	}
	return out
}

// Run simulates every selected case under every selected policy and writes one table row for each combination. The
// output is the same for the same options.
func Run(w io.Writer, o Options) error {
	o = o.withDefaults()
	cases := o.cases()
	results := make([][]*Result, len(cases))
	var wait sync.WaitGroup
	free := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i, c := range cases {
		results[i] = make([]*Result, len(o.Policies))
		for k, name := range o.Policies {
			wait.Add(1)
			free <- struct{}{}
			go func() {
				defer wait.Done()
				results[i][k] = Measure(c, name)
				<-free
			}()
		}
	}
	wait.Wait()
	for i, c := range cases {
		if err := writeCase(w, c, results[i]); err != nil {
			return err
		}
	}
	return nil
}

// Measure simulates one policy in one case and returns its figures.
func Measure(c Case, name string) *Result {
	r := &Result{Policy: name, Seconds: (c.Duration - warmUp).Seconds()}
	e := &engine{c: c, res: r}
	for i := range c.Upstreams {
		u := newUpstream(i, c.Slots)
		e.upstreams = append(e.upstreams, u)
		e.after(0, func() { e.sampleLoad(u) })
	}
	switch name {
	case "round-robin":
		e.policy = newPerEntryPolicy(e, roundRobin)
	case "least-outstanding":
		e.policy = newPerEntryPolicy(e, leastOutstanding)
	case "two-choices":
		e.policy = newPerEntryPolicy(e, twoChoices)
	case "owner":
		e.policy = newOwnerPolicy(e, 1)
	case "owner-3dc":
		e.policy = newOwnerPolicy(e, 3)
	default:
		e.policy = &idealPolicy{e: e, inFlight: make([]int, c.Upstreams)}
	}
	e.after(c.Duration/4, e.injectFault)
	e.scheduleArrivals()
	e.run(c.Duration + 5*time.Second)
	return r
}

// injectFault injects the fault of the case.
func (e *engine) injectFault() {
	for i, u := range e.upstreams {
		switch e.c.Fault {
		case "slow":
			if i == 0 {
				u.slowdown = 5
			}
		case "cold":
			if i < 3 {
				e.restart(u)
			}
		case "silent-cold":
			if i < 3 {
				u.becomeCold()
			}
		case FaultManySilentCold:
			if i%2 == 0 {
				u.becomeCold()
			}
		case "false-report":
			u.falseReports = i == 0
		case "third-lost":
			if i%3 == 0 {
				e.crash(u)
			}
		case "failing-fast":
			u.failing = i == 0
		}
	}
}

func writeCase(w io.Writer, c Case, results []*Result) error {
	var b strings.Builder
	fmt.Fprintf(&b, "\nslots=%d load=%.0f%% bursts=%v variable=%v fault=%s seed=%d duration=%v\n",
		c.Slots, c.Load*100, c.Bursts, c.Variable, c.Fault, c.Seed, c.Duration)
	fmt.Fprintf(&b, "%-18s %-23s %-23s %-23s %8s %7s %7s %8s %9s %7s %9s\n", "policy", "urgent p50/p99/p99.9 ms",
		"ordinary", "bulk", "refused", "late", "failed", "wasted s", "goodput/s", "probes", "cold over")
	for _, r := range results {
		fmt.Fprintf(&b, "%-18s %-23s %-23s %-23s %8d %7d %7d %8.2f %9.0f %7d %9d\n", r.Policy, quantiles(r, 0),
			quantiles(r, 1), quantiles(r, 2), sum(r.Refused), sum(r.AnsweredLate), sum(r.Failed), r.Wasted.Seconds(),
			r.Goodput(), r.Probes, r.ColdOverLimit)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func quantiles(r *Result, class int) string {
	ms := func(q float64) float64 { return float64(r.Quantile(class, q).Microseconds()) / 1000 }
	return fmt.Sprintf("%.1f/%.1f/%.1f", ms(0.5), ms(0.99), ms(0.999))
}
