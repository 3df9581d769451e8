package idempotency

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// MaxIDLength is the longest request ID in bytes.
const MaxIDLength = 128

const idPrefix = "bh1."

// ErrInvalidID is returned for a request ID that is neither a well-formed bh1 ID nor a valid opaque ID. The call is rejected
// as invalid and does not run.
var ErrInvalidID = errors.New("invalid request ID")

// ID is a parsed request ID. Only Text is set for an opaque ID.
type ID struct {
	Text        string
	Incarnation string
	Window      int64
}

// Opaque reports whether the ID has no prefix of a registrar, so that the caller has chosen all of it.
func (id ID) Opaque() bool { return id.Incarnation == "" }

// ParseID validates and parses a request ID.
func ParseID(text string) (ID, error) {
	if text == "" || len(text) > MaxIDLength {
		return ID{}, fmt.Errorf("%w: it must have 1 to %d characters", ErrInvalidID, MaxIDLength)
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return ID{}, fmt.Errorf("%w: it must be visible ASCII characters", ErrInvalidID)
		}
	}
	rest, ok := strings.CutPrefix(text, idPrefix)
	if !ok {
		return ID{Text: text}, nil
	}
	parts := strings.SplitN(rest, ".", 3)
	if len(parts) != 3 || parts[2] == "" || !validIncarnation(parts[0]) {
		return ID{}, fmt.Errorf("%w: it must be bh1.<incarnation>.<window>.<unique>", ErrInvalidID)
	}
	window, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil || window < 0 || strconv.FormatInt(window, 10) != parts[1] {
		return ID{}, fmt.Errorf("%w: the window %q is not a decimal number", ErrInvalidID, parts[1])
	}
	return ID{Text: text, Incarnation: parts[0], Window: window}, nil
}

func validIncarnation(text string) bool {
	if len(text) != 16 {
		return false
	}
	for _, c := range text {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// Prefix returns the request-ID prefix of an incarnation and a window, without the dot before the unique part.
func Prefix(incarnation string, window int64) string {
	return idPrefix + incarnation + "." + strconv.FormatInt(window, 10)
}

// NewIncarnation returns a random identifier for one run of an entry process.
func NewIncarnation() string {
	var b [8]byte
	rand.Read(b[:]) //nolint:errcheck // crypto/rand.Read never returns an error
	return hex.EncodeToString(b[:])
}
