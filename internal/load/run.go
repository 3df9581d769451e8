package load

import (
	"context"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"boragehinge.example/boragehinge/client"
	"boragehinge.example/boragehinge/internal/emulator"
	"boragehinge.example/boragehinge/internal/pause"
)

// call is one call and its end.
type call struct {
	number   int
	kind     int
	customer string
	due      time.Duration // since the start
	warm     bool          // in the warm-up

	path     string
	outcome  client.Outcome
	reason   string
	status   int
	attempts int
	latency  time.Duration
	wrong    bool
	ids      []string
}

// sender sends one call and reads the response.
type sender interface {
	send(ctx context.Context, k Kind, c *call)
	close()
}

// Run sends the calls of the options and waits for all answers, or until ctx ends.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	s, err := newSender(o)
	if err != nil {
		return nil, err
	}
	defer s.close()
	r := &runner{o: o, sender: s, free: make(chan struct{}, o.MaxOpen)}
	calls := r.run(ctx)
	return r.report(ctx, calls), nil
}

type runner struct {
	o       Options
	sender  sender
	free    chan struct{}
	wait    sync.WaitGroup
	notSent int
	seconds float64
}

// run sends the calls when they are due. Calls that would exceed the bound of open ones are skipped and counted.
func (r *runner) run(ctx context.Context) []*call {
	rng := rand.New(rand.NewPCG(r.o.Seed, r.o.Seed^0x9e3779b97f4a7c15))
	start := time.Now()
	var calls []*call
	due := time.Duration(0)
	measured := 0
	for n := 0; ; n++ {
		due += time.Duration(rng.ExpFloat64() / r.o.Rate * float64(time.Second))
		c := r.draw(rng, n, due)
		if due > r.o.WarmUp+r.o.Duration || r.o.Calls > 0 && measured >= r.o.Calls || !sleepUntil(ctx, start.Add(due)) {
			break
		}
		if !c.warm {
			measured++
		}
		select {
		case r.free <- struct{}{}:
		default:
			if !c.warm {
				r.notSent++
			}
			continue
		}
		calls = append(calls, c)
		r.wait.Go(func() {
			defer func() { <-r.free }()
			r.sender.send(ctx, r.o.Kinds[c.kind], c)
			c.latency = time.Since(start) - c.due
		})
	}
	r.wait.Wait()
	r.seconds = time.Since(start).Seconds() - r.o.WarmUp.Seconds()
	return calls
}

// draw draws the kind and customer of a call.
func (r *runner) draw(rng *rand.Rand, n int, due time.Duration) *call {
	c := &call{number: n, due: due, warm: due < r.o.WarmUp}
	sum := 0.0
	for _, k := range r.o.Kinds {
		sum += k.Share
	}
	at := rng.Float64() * sum
	for i, k := range r.o.Kinds {
		c.kind = i
		if at -= k.Share; at < 0 {
			break
		}
	}
	if len(r.o.Customers) > 0 {
		c.customer = r.o.Customers[rng.IntN(len(r.o.Customers))]
	}
	c.path = strings.ReplaceAll(r.o.Kinds[c.kind].Path, "{n}", strconv.FormatUint(r.o.Seed, 36)+"-"+strconv.Itoa(n))
	return c
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	return pause.Sleep(ctx, time.Until(at)) == nil
}

func (r *runner) report(ctx context.Context, calls []*call) *Report {
	out := &Report{Through: "entries", Seed: r.o.Seed, Rate: r.o.Rate, Seconds: r.seconds, NotSent: r.notSent}
	if r.o.Direct {
		out.Through = "direct calls to upstreams"
	}
	for _, k := range r.o.Kinds {
		out.Kinds = append(out.Kinds, newKindReport(k.Name, k.Class))
	}
	var ofKind []*KindReport
	out.Classes, ofKind = classReports(r.o.Kinds)
	for _, c := range calls {
		if !c.warm {
			out.Kinds[c.kind].add(c)
			ofKind[c.kind].add(c)
		}
	}
	for _, k := range append(out.Kinds[:len(out.Kinds):len(out.Kinds)], out.Classes...) {
		k.finish()
	}
	if r.o.Records {
		records, err := readRecords(ctx, r.o, calls)
		if err != nil {
			out.RecordsOf = err.Error()
		}
		out.Records = records
	}
	return out
}

// verify reads a response and reports whether it is the complete response to the call.
func verify(k Kind, c *call, body io.Reader) bool {
	if k.DownloadBytes > 0 {
		return emulator.CheckArchive(body, k.DownloadBytes) == nil
	}
	data, err := io.ReadAll(body)
	return err == nil && strings.HasSuffix(string(data), " "+c.path+"\n")
}
