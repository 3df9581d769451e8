package transport

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against load reports that crash an entry or are parsed to values that they don't contain.
func FuzzParseLoad(f *testing.F) {
	f.Add("in-flight=2,queued=0,cold=false,draining=false,seq=17")
	f.Add("in-flight=2, seq=1,new=x")
	f.Add("in-flight=-1,seq=18446744073709551616")
	f.Fuzz(func(t *testing.T, value string) {
		rep, err := ParseLoad(value)
		if err != nil {
			require.Zero(t, rep)
			return
		}
		require.GreaterOrEqual(t, rep.InFlight, 0)
		require.GreaterOrEqual(t, rep.Queued, 0)
		again, err := ParseLoad(rep.String())
		require.NoError(t, err)
		require.Equal(t, rep, again)
	})
}
