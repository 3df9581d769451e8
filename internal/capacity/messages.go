package capacity

import (
	"context"
	"fmt"

	"boragehinge.example/boragehinge/internal/idempotency"
	"boragehinge.example/boragehinge/internal/rollout"
	"boragehinge.example/boragehinge/internal/wire"
)

// measureMessages fits the bytes of the messages whose size depends on the configuration.
func measureMessages(_ context.Context, _ Options, r *Report) error {
	sender := idempotency.NewIncarnation()
	add := func(name, size string, n int, e wire.Envelope) error {
		e.Sender, e.Seq = sender, 100_000
		frame, err := wire.Encode(&e)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		r.add("messages", name, "bytes", size, float64(n), float64(len(frame)))
		return nil
	}
	for _, n := range []int{0, 1, 4, 12, 40, 180} {
		digest := &wire.Digest{DataCentre: dataCentreName(0), Version: 50_000, LowestVersion: ptr(50_000), MembersHash: ptr(1 << 40)}
		digest.Pools = summaries(dataCentreName(0), n)
		if err := add("digest", "pools of the sender", n, wire.Envelope{Type: wire.EnvelopeTypeDigest, Digest: digest}); err != nil {
			return err
		}
	}
	for _, n := range []int{2, 4, 8, 16} {
		s := &wire.Statistics{Move: "4.0 -> 4.1"}
		for i := range n {
			s.Routes = append(s.Routes, wire.RouteStatistics{
				Route: fmt.Sprintf("lookups-%d", i/2), Class: "ordinary", Version: fmt.Sprintf("4.%d", i%2),
				Calls: ptr(1000), Failures: ptr(3), LatencyBuckets: make([]int, rollout.Buckets),
			})
		}
		err := add("statistics of a version move", "routes x versions", n, wire.Envelope{Type: wire.EnvelopeTypeStatistics, Statistics: s})
		if err != nil {
			return err
		}
	}
	return nil
}
