package wire

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Limits of a frame. A frame that exceeds one of them is refused before or while it is decoded.
const (
	// MaxFrameBytes is the largest accepted size of a frame.
	MaxFrameBytes = 256 << 10
	// MaxDepth is the deepest accepted nesting of maps and arrays; the deepest message of the schema needs 5.
	MaxDepth = 8
	// MaxElements is the largest accepted number of elements of an array.
	MaxElements = 4096
	// MaxPairs is the largest accepted number of pairs of a map.
	MaxPairs = 32
	// MaxNameBytes is the largest accepted length of a name, an address or a reason.
	MaxNameBytes = 1024
	// Protocol is the protocol version that Hello carries.
	Protocol = 1
)

// Errors of Encode, Decode and Sequence.Accept, wrapped with details. Callers count refused frames by them.
var (
	ErrTooLong     = errors.New("frame too long")
	ErrMalformed   = errors.New("frame malformed")
	ErrPayload     = errors.New("payload does not match type")
	ErrInvalid     = errors.New("field value invalid")
	ErrReplayed    = errors.New("sequence number not rising")
	errNotHexDigit = errors.New("incarnation is not 16 lower-case hexadecimal digits")
)

var encoder = mustEncMode(cbor.EncOptions{Sort: cbor.SortCanonical})

// Field names match exactly: with the case-insensitive default, "seq" and "Seq" would be two keys of one field.
var decoder = mustDecMode(cbor.DecOptions{
	DupMapKey:         cbor.DupMapKeyEnforcedAPF,
	MaxNestedLevels:   MaxDepth,
	MaxArrayElements:  MaxElements,
	MaxMapPairs:       MaxPairs,
	IndefLength:       cbor.IndefLengthForbidden,
	TagsMd:            cbor.TagsForbidden,
	FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
})

func mustEncMode(o cbor.EncOptions) cbor.EncMode {
	m, err := o.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode(o cbor.DecOptions) cbor.DecMode {
	m, err := o.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns the frame of a valid envelope. It refuses envelopes that Decode would refuse.
func Encode(e *Envelope) ([]byte, error) {
	if err := Validate(e); err != nil {
		return nil, err
	}
	var v any = e
	if c, ok := toCompact(e); ok {
		v = c
	}
	frame, err := encoder.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(frame) > MaxFrameBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLong, len(frame))
	}
	return frame, nil
}

// Decode returns the valid envelope of a frame. Unknown fields are ignored, so that a newer entry can add some.
func Decode(frame []byte) (*Envelope, error) {
	if len(frame) > MaxFrameBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLong, len(frame))
	}
	e, err := unmarshal(frame)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if err := Validate(e); err != nil {
		return nil, err
	}
	return e, nil
}

func unmarshal(frame []byte) (*Envelope, error) {
	if isCompact(frame) {
		var c compactHeartbeat
		if err := decoder.Unmarshal(frame, &c); err != nil {
			return nil, err
		}
		return c.envelope()
	}
	var e Envelope
	if err := decoder.Unmarshal(frame, &e); err != nil {
		return nil, err
	}
	return &e, nil
}

// Sequence checks the sequence numbers of the frames received on one link. The zero value accepts any first number
// above 0. It is not safe for concurrent use.
type Sequence struct{ last int }

// Accept returns ErrReplayed unless seq is above every number accepted before.
func (s *Sequence) Accept(seq int) error {
	if seq <= s.last {
		return fmt.Errorf("%w: %d after %d", ErrReplayed, seq, s.last)
	}
	s.last = seq
	return nil
}
