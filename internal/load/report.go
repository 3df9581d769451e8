package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"boragehinge.example/boragehinge/client"
)

// Report holds the figures of one run, without the warm-up.
type Report struct {
	Through   string        `json:"through"` // entries or upstreams
	Seed      uint64        `json:"seed"`
	Rate      float64       `json:"rate"`
	Seconds   float64       `json:"seconds"` // from the first call to the last response
	NotSent   int           `json:"notSent"` // too many were open
	Kinds     []*KindReport `json:"kinds"`
	Records   *Records      `json:"records,omitempty"`
	RecordsOf string        `json:"recordsOf,omitempty"` // why there are none
}

// KindReport holds the figures of one kind of call.
type KindReport struct {
	Name    string         `json:"name"`
	Class   string         `json:"class,omitempty"`
	Calls   int            `json:"calls"`
	Done    int            `json:"done"`
	Failed  int            `json:"failed"` // done with a server error
	NotRun  int            `json:"notRun"`
	Unknown int            `json:"unknown"`
	Wrong   int            `json:"wrong"`   // incomplete responses and responses to other calls
	Resends int            `json:"resends"` // attempts after the first
	Reasons map[string]int `json:"reasons"` // of calls that were not run, or whose outcome is unknown
	P50Ms   float64        `json:"p50Ms"`
	P99Ms   float64        `json:"p99Ms"`
	P999Ms  float64        `json:"p999Ms"`
	MaxMs   float64        `json:"maxMs"`

	latency *hdrhistogram.Histogram // microseconds, of calls that are done
}

// Records holds what the upstreams' execution records say about calls that are not idempotent.
type Records struct {
	Calls    int      `json:"calls"`
	Lost     int      `json:"lost"`     // done for the caller, and no upstream completed it
	Doubled  int      `json:"doubled"`  // begun more than once
	FalseNot int      `json:"falseNot"` // "not run" for the caller, and an upstream began it
	Examples []string `json:"examples,omitempty"`
}

const maxExamples = 10

func newKindReport(k Kind) *KindReport {
	return &KindReport{
		Name: k.Name, Class: k.Class, Reasons: map[string]int{},
		latency: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
	}
}

func (k *KindReport) add(c *call) {
	k.Calls++
	k.Resends += max(0, c.attempts-1)
	switch c.outcome {
	case client.Done:
		k.Done++
		_ = k.latency.RecordValue(max(1, c.latency.Microseconds())) // An hour is longer than any deadline.
		if c.status >= 500 {
			k.Failed++
		}
	case client.NotRun:
		k.NotRun++
		k.Reasons[c.reason]++
	default:
		k.Unknown++
		k.Reasons[c.reason]++
	}
	if c.wrong {
		k.Wrong++
	}
}

func (k *KindReport) finish() {
	ms := func(q float64) float64 { return float64(k.latency.ValueAtQuantile(q)) / 1000 }
	k.P50Ms, k.P99Ms, k.P999Ms, k.MaxMs = ms(50), ms(99), ms(99.9), float64(k.latency.Max())/1000
}

// WriteText writes the report as a table.
func (r *Report) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "through %s: %g calls/s offered, %.1f s, seed %d\n", r.Through, r.Rate, r.Seconds, r.Seed)
	fmt.Fprintf(&b, "%-16s %8s %8s %8s %8s %8s %8s %9s %9s %9s\n", "kind", "calls", "done", "failed", "not run", "unknown",
		"wrong", "p50 ms", "p99 ms", "p99.9 ms")
	for _, k := range r.Kinds {
		fmt.Fprintf(&b, "%-16s %8d %8d %8d %8d %8d %8d %9.2f %9.2f %9.2f\n", k.Name, k.Calls, k.Done, k.Failed, k.NotRun,
			k.Unknown, k.Wrong, k.P50Ms, k.P99Ms, k.P999Ms)
	}
	for _, k := range r.Kinds {
		for _, reason := range slices.Sorted(maps.Keys(k.Reasons)) {
			fmt.Fprintf(&b, "%s: %d without a response for the reason %s\n", k.Name, k.Reasons[reason], reason)
		}
		if k.Resends > 0 {
			fmt.Fprintf(&b, "%s: %d resends\n", k.Name, k.Resends)
		}
	}
	if r.NotSent > 0 {
		fmt.Fprintf(&b, "%d calls were not sent, because too many were open\n", r.NotSent)
	}
	b.WriteString(r.recordsText())
	_, err := io.WriteString(w, b.String())
	return err
}

func (r *Report) recordsText() string {
	if r.Records == nil {
		if r.RecordsOf == "" {
			return ""
		}
		return "no execution records: " + r.RecordsOf + "\n"
	}
	text := fmt.Sprintf("execution records of %d calls that are not idempotent: %d lost, %d doubled, %d run in spite of \"not run\"\n",
		r.Records.Calls, r.Records.Lost, r.Records.Doubled, r.Records.FalseNot)
	for _, e := range r.Records.Examples {
		text += "  " + e + "\n"
	}
	return text
}

// Compare writes what the entries add to direct calls, per kind.
func Compare(w io.Writer, direct, through *Report) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%-16s %14s %14s %14s\n", "kind", "p50 added ms", "p99 added ms", "p99.9 added ms")
	for i, k := range through.Kinds {
		d := direct.Kinds[i]
		fmt.Fprintf(&b, "%-16s %14.2f %14.2f %14.2f\n", k.Name, k.P50Ms-d.P50Ms, k.P99Ms-d.P99Ms, k.P999Ms-d.P999Ms)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
