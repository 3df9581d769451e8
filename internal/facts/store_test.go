package facts

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/wire"
)

var start = time.Unix(1000, 0)

func leavingFact(dc string, base int) *wire.Envelope {
	return &wire.Envelope{LeavingFact: &wire.LeavingFact{DataCentre: dc, Base: base}}
}

func stopFact(move string) *wire.Envelope {
	return &wire.Envelope{StopFact: &wire.StopFact{Service: "s", Move: move, Version: "2"}}
}

func poisonFact(print string, atMs int) *wire.Envelope {
	return &wire.Envelope{PoisonFact: &wire.PoisonFact{Service: "s", Fingerprint: print, Upstream: "u", AtMs: atMs}}
}

// Guards against a fact that entries forward to each other in a loop, and against a late copy of a removed fact that
// takes the data centre out of use again.
func TestLeavingFactIsRemovedByLaterVersionOnly(t *testing.T) {
	s := New(DefaultConfig())
	s.SetVersion(7)
	require.Equal(t, Known, s.Add(start, leavingFact("east-1", 6)))
	require.Equal(t, Added, s.Add(start, leavingFact("east-1", 7)))
	require.Equal(t, Known, s.Add(start, leavingFact("east-1", 7)))
	s.SetVersion(7)
	require.Len(t, s.Leaving(), 1)
	s.SetVersion(8)
	require.Empty(t, s.Leaving())
	require.Equal(t, Known, s.Add(start, leavingFact("east-1", 7)))
}

// Guards against a stopped version getting traffic again while its move lasts, and against an entry with an
// older configuration that restores the stop fact of an ended move.
func TestStopFactIsRemovedWithItsMove(t *testing.T) {
	s := New(DefaultConfig())
	require.Equal(t, Added, s.Add(start, stopFact("m1")))
	s.SetMoves(map[[2]string]bool{{"s", "m1"}: true})
	require.Len(t, s.Stops(), 1)
	s.SetMoves(nil)
	require.Empty(t, s.Stops())
	require.Equal(t, Known, s.Add(start, stopFact("m1")))
	s.SetMoves(map[[2]string]bool{{"s", "m1"}: true})
	require.Equal(t, Added, s.Add(start, stopFact("m1")))
}

// Guards against a poison fact that two entries keep alive by sending it to each other's new links.
func TestPoisonFactExpires(t *testing.T) {
	a, b := New(DefaultConfig()), New(DefaultConfig())
	require.Equal(t, Added, a.Add(start, poisonFact("f", 5)))
	for i := range 300 {
		now := start.Add(time.Duration(i) * time.Second)
		for _, e := range a.Messages(now) {
			b.Add(now, e)
		}
		for _, e := range b.Messages(now) {
			a.Add(now, e)
		}
		a.Tick(now)
		b.Tick(now)
	}
	require.Empty(t, a.Messages(start.Add(300*time.Second)))
	require.Empty(t, b.Poisons(start.Add(300*time.Second)))
}

// Guards against memory that grows with the facts of a faulty peer, and against dropping a fact that takes capacity out
// of use.
func TestStoreIsBounded(t *testing.T) {
	cfg := Config{PoisonLife: time.Minute, MaxPoison: 3, MaxStop: 2, MaxLeaving: 2}
	s := New(cfg)
	for i := range 10 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		require.Equal(t, Added, s.Add(now, poisonFact(fmt.Sprint(i), i)))
		s.Add(now, stopFact(fmt.Sprint(i)))
		s.Add(now, leavingFact(fmt.Sprint(i), 1))
	}
	require.Len(t, s.Poisons(start), 3)
	require.Equal(t, "0", s.Stops()[0].Move)
	require.Len(t, s.Stops(), 2)
	require.Equal(t, Full, s.Add(start, stopFact("11")))
	require.Equal(t, Full, s.Add(start, leavingFact("11", 1)))
	require.Equal(t, NotFact, s.Add(start, &wire.Envelope{Goodbye: &wire.Goodbye{}}))
}
