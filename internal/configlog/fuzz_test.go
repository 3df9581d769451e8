package configlog

import (
	"testing"

	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/logservice"
)

// Guards against records that crash a reader, and against a decoded record that isn't read back the same.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"schema":1,"kind":"lease","lease":{"name":"rollout","holder":"e1","durationMs":15000}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		fold := NewFold()
		fold.Apply(logservice.Entry{Offset: 1, Time: start, Data: data})
		require.GreaterOrEqual(t, fold.Next(), int64(1))
		r, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(r)
		if err != nil {
			return // Escapes can make a record longer than the limit.
		}
		r2, err := Decode(again)
		require.NoError(t, err)
		again2, err := Encode(r2)
		require.NoError(t, err)
		require.Equal(t, string(again), string(again2))
	})
}
