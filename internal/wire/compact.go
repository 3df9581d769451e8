package wire

import (
	"encoding/hex"
	"fmt"
)

// compactHeartbeat is the array form of a heartbeat. A map with field names takes about 150 bytes, which at 66 peers in
// a data centre would stretch the heartbeat interval beyond the freshness that a confirmed view needs.
type compactHeartbeat struct {
	_        struct{} `cbor:",toarray"`
	Sender   []byte
	Seq      int
	BeatSeq  int
	ViewHash int
	Version  int
	Leaving  bool
	Echo     int // 0 when nothing was received from the receiver
}

// HeartbeatFrameBytes bounds the size of a compact heartbeat frame with counters below 2^32.
const HeartbeatFrameBytes = 48

const majorTypeArray = 4

func isCompact(frame []byte) bool {
	return len(frame) > 0 && frame[0]>>5 == majorTypeArray
}

func toCompact(e *Envelope) (compactHeartbeat, bool) {
	hb := e.Heartbeat
	if hb == nil || len(hb.Echoes) > 1 {
		return compactHeartbeat{}, false
	}
	echo := 0
	if len(hb.Echoes) == 1 {
		if hb.Echoes[0].Incarnation != "" {
			return compactHeartbeat{}, false
		}
		echo = hb.Echoes[0].Seq
	}
	sender, err := hex.DecodeString(e.Sender)
	if err != nil {
		return compactHeartbeat{}, false
	}
	return compactHeartbeat{
		Sender: sender, Seq: e.Seq, BeatSeq: hb.Seq, ViewHash: hb.ViewHash, Version: hb.Version,
		Leaving: hb.Leaving != nil && *hb.Leaving, Echo: echo,
	}, true
}

func (c compactHeartbeat) envelope() (*Envelope, error) {
	if len(c.Sender) != IncarnationDigits/2 {
		return nil, fmt.Errorf("sender of %d bytes", len(c.Sender))
	}
	hb := &Heartbeat{Seq: c.BeatSeq, ViewHash: c.ViewHash, Version: c.Version}
	if c.Leaving {
		hb.Leaving = &c.Leaving
	}
	if c.Echo != 0 {
		hb.Echoes = []Echo{{Seq: c.Echo}}
	}
	return &Envelope{Type: EnvelopeTypeHeartbeat, Sender: hex.EncodeToString(c.Sender), Seq: c.Seq, Heartbeat: hb}, nil
}
