package wire

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

const sender = "00112233445566aa"

func heartbeat(seq int) *Envelope {
	return &Envelope{Type: EnvelopeTypeHeartbeat, Sender: sender, Seq: seq,
		Heartbeat: &Heartbeat{Seq: 70000, ViewHash: 1 << 61, Version: 70000, Echoes: []Echo{{Seq: 70000}}}}
}

func hello() *Envelope {
	return &Envelope{Type: EnvelopeTypeHello, Sender: sender, Seq: 1, Hello: &Hello{Protocol: Protocol,
		Member: Member{Incarnation: sender, Host: "h1", DataCentre: "east-1"}}}
}

// Guards against a heartbeat that grows past the size from which the interval is computed, and against a lossy codec.
func TestRoundTrip(t *testing.T) {
	named := heartbeat(3)
	named.Heartbeat.Echoes = []Echo{{Incarnation: sender, Seq: 1}}
	leaving := heartbeat(4)
	yes := true
	leaving.Heartbeat.Leaving = &yes
	for _, e := range []*Envelope{hello(), heartbeat(2), named, leaving} {
		frame, err := Encode(e)
		require.NoError(t, err)
		got, err := Decode(frame)
		require.NoError(t, err)
		require.Equal(t, e, got)
	}
	frame, err := Encode(heartbeat(70000))
	require.NoError(t, err)
	require.LessOrEqual(t, len(frame), HeartbeatFrameBytes)
}

// Guards against frames that exhaust memory, smuggle a second value for a field or carry a payload of another type.
func TestDecodeRefuses(t *testing.T) {
	raw := func(v any) []byte {
		frame, err := cbor.Marshal(v)
		require.NoError(t, err)
		return frame
	}
	deep := any(1)
	for range MaxDepth + 1 {
		deep = []any{deep}
	}
	wrong := hello()
	wrong.Type = EnvelopeTypeGoodbye
	double := hello()
	double.Goodbye = &Goodbye{}
	stranger := hello()
	stranger.Sender = "ffffffffffffffff"
	valid := raw(hello())
	duplicate := append([]byte{valid[0] + 1}, valid[1:]...)
	duplicate = append(duplicate, raw("seq")...)
	duplicate = append(duplicate, raw(9)...)
	for name, c := range map[string]struct {
		frame []byte
		want  error
	}{
		"too long":        {make([]byte, MaxFrameBytes+1), ErrTooLong},
		"empty":           {nil, ErrMalformed},
		"truncated":       {valid[:len(valid)-1], ErrMalformed},
		"trailing bytes":  {append(bytes.Clone(valid), 0), ErrMalformed},
		"duplicate key":   {duplicate, ErrMalformed},
		"too deep":        {raw(map[string]any{"x": deep}), ErrMalformed},
		"many elements":   {raw(map[string]any{"x": make([]int, MaxElements+1)}), ErrMalformed},
		"indefinite":      {[]byte{0xbf, 0xff}, ErrMalformed},
		"short sender":    {raw([]any{[]byte{1}, 1, 1, 0, 0, false, 0}), ErrMalformed},
		"other payload":   {raw(wrong), ErrPayload},
		"two payloads":    {raw(double), ErrPayload},
		"no payload":      {raw(map[string]any{"type": "hello", "sender": sender, "seq": 1}), ErrPayload},
		"hello of other":  {raw(stranger), ErrInvalid},
		"sequence zero":   {raw([]any{make([]byte, 8), 0, 1, 0, 0, false, 0}), ErrInvalid},
		"sender not hex":  {raw(map[string]any{"type": "goodbye", "sender": "x", "seq": 1}), ErrInvalid},
		"heartbeat seq 0": {raw([]any{make([]byte, 8), 1, 0, 0, 0, false, 0}), ErrInvalid},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Decode(c.frame)
			require.ErrorIs(t, err, c.want)
		})
	}
}

// Guards against a recorded frame being accepted a second time on its link.
func TestSequence(t *testing.T) {
	var s Sequence
	require.NoError(t, s.Accept(2))
	require.ErrorIs(t, s.Accept(2), ErrReplayed)
	require.ErrorIs(t, s.Accept(1), ErrReplayed)
	require.NoError(t, s.Accept(9))
}

// Guards against a frame that panics the decoder, or that is accepted but can't be passed on.
func FuzzDecode(f *testing.F) {
	for _, e := range []*Envelope{hello(), heartbeat(1)} {
		frame, err := Encode(e)
		require.NoError(f, err)
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		e, err := Decode(frame)
		if err != nil {
			return
		}
		again, err := Encode(e)
		require.NoError(t, err)
		got, err := Decode(again)
		require.NoError(t, err)
		require.Equal(t, e.Type, got.Type)
		require.Equal(t, e.Seq, got.Seq)
	})
}
