package idempotency

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request ID that causes a panic, that can be parsed in two ways, or that is attributed to a registrar other
// than the one it names.
func FuzzParseID(f *testing.F) {
	f.Add("bh1.0123456789abcdef.7.a1")
	f.Add("bh1.0123456789abcdef.07.a1")
	f.Add("bh1.0123456789abcdef.9223372036854775808.x.y")
	f.Add("order 7")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := ParseID(text)
		start := time.Unix(0, 0)
		r := NewRegistry(Config{Incarnation: "0123456789abcdef"}, start)
		v := r.Begin(start, text)
		if err != nil {
			require.ErrorIs(t, err, ErrInvalidID)
			require.Equal(t, Invalid, v.Kind)
			return
		}
		require.Equal(t, text, id.Text)
		switch {
		case id.Opaque():
			require.False(t, strings.HasPrefix(text, idPrefix))
			require.Equal(t, Run, v.Kind)
		case id.Incarnation != "0123456789abcdef":
			require.Equal(t, Elsewhere, v.Kind)
			require.Equal(t, id.Incarnation, v.Incarnation)
		case id.Window > 0:
			require.Equal(t, Unknown, v.Kind, "a future window")
		default:
			require.Equal(t, Run, v.Kind)
		}
		if !id.Opaque() {
			unique, ok := strings.CutPrefix(text, Prefix(id.Incarnation, id.Window)+".")
			require.True(t, ok)
			require.NotEmpty(t, unique)
		}
	})
}
