package dispatch

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

var testStart = time.Unix(1_000_000, 0)

func testSpec(n, slots int) Spec {
	s := Spec{Classes: []ClassSpec{
		{Name: "urgent", Priority: 0, MinShare: 0.05},
		{Name: "ordinary", Priority: 1, MinShare: 0.05},
		{Name: "bulk", Priority: 2, MinShare: 0.05},
	}}
	for i := range n {
		name := fmt.Sprintf("u%03d", i)
		s.Upstreams = append(s.Upstreams, UpstreamSpec{Name: name, Address: name + ":80", Version: "v1", Slots: slots})
	}
	return s
}

// BenchmarkDecision measures submitting and finishing one call. In the idle mode 85 % of the slots are occupied and the
// queue is empty. In the queued mode all slots are occupied and calls of 20 customers wait, so that each finished call
// grants a queued one.
func BenchmarkDecision(b *testing.B) {
	classes := []string{"urgent", "ordinary", "bulk"}
	customers := make([]string, 20)
	for i := range customers {
		customers[i] = fmt.Sprintf("customer-%d", i)
	}
	for _, n := range []int{6, 25, 100, 600} {
		for _, mode := range []string{"idle", "queued"} {
			b.Run(fmt.Sprintf("%s/%d", mode, n), func(b *testing.B) {
				p := New(testSpec(n, 3), rand.New(rand.NewSource(1)))
				running := n * 3 * 85 / 100
				if mode == "queued" {
					running = n*3 + 60
				}
				ring := make([]uint64, 0, 4096)
				now, id := testStart, uint64(0)
				submit := func() {
					id++
					r := Request{ID: id, Customer: customers[id%20], Class: classes[id%3], Deadline: now.Add(time.Hour)}
					for _, g := range p.Submit(now, r).Grants {
						ring = append(ring, g.RequestID)
					}
				}
				for range running {
					submit()
				}
				head := 0
				step := func() {
					now = now.Add(time.Millisecond / time.Duration(n))
					done := ring[head]
					head++
					ev := p.Finish(now, done, Outcome{Latency: 10 * time.Millisecond})
					for _, g := range ev.Grants {
						ring = append(ring, g.RequestID)
					}
					submit()
					if head > 2048 {
						ring = ring[:copy(ring, ring[head:])]
						head = 0
					}
				}
				for range 10000 {
					step()
				}
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					step()
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/2, "ns/decision")
			})
		}
	}
}
