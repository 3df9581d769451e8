package settings

import (
	"errors"
	"strings"
	"testing"

	"github.com/spf13/pflag"
	"github.com/stretchr/testify/require"
)

// Guards against a variable that crashes the start, and against settings that are taken together with findings.
func FuzzLoad(f *testing.F) {
	f.Add("BORAGEHINGE_PEERS=127.0.0.1:1, 127.0.0.2:1\nBORAGEHINGE_LOG_LEVEL=debug")
	f.Add("BORAGEHINGE_MAX_PROCS=many\nBORAGEHINGE_PLATFORM_URL=http://[::1")
	f.Add("BORAGEHINGE_CALLERS_LISTEN=:99999\nBORAGEHINGE_KEEP=1")
	f.Fuzz(func(t *testing.T, environ string) {
		flags := pflag.NewFlagSet("entry", pflag.ContinueOnError)
		Register(flags)
		require.NoError(t, flags.Parse(complete))
		s, err := Load(flags, strings.Split(environ, "\n"))
		require.Equal(t, s == nil, err != nil)
		if err != nil {
			var all *Error
			require.True(t, errors.As(err, &all))
			require.NotEmpty(t, all.Findings)
		}
	})
}
