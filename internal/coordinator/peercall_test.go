package coordinator

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/responsecheck/responsetest"
)

func answerWithStatus(status string, body []byte) string {
	return fmt.Sprintf("HTTP/1.1 %s Trouble\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// Guards against a leader that is learned from an answer with a failure or an impossible status, as another program sends it that uses the
// address of an entry which has ended.
func TestLeaderAnswersThatAreFailuresAreNotBelieved(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "404", "503"} {
		address := responsetest.StartServer(t, answerWithStatus(status, []byte(`{"leader":"h:1","leads":true,"version":99}`)))
		a, err := queryLeader(t.Context(), address, "", "")
		require.Error(t, err, status)
		assert.Equal(t, LeaderAnswer{}, a, status)
	}
}

// Guards against records and results of a relayed store call that are taken from an answer with a failure or an impossible status, and
// against calling a write not executed that may have been.
func TestRelayedAnswersThatAreFailuresAreNotBelieved(t *testing.T) {
	body, err := cbor.Marshal(relayResponse{Batch: gateway.Batch{Source: gateway.Upstreams, Snapshot: true, End: 7}})
	require.NoError(t, err)
	for status, want := range map[string]error{
		"000": gateway.ErrOutcomeUnknown, "600": gateway.ErrOutcomeUnknown, "500": gateway.ErrOutcomeUnknown, "204": gateway.ErrOutcomeUnknown,
		"404": gateway.ErrNotExecuted, "400": gateway.ErrNotExecuted,
	} {
		address := responsetest.StartServer(t, answerWithStatus(status, body))
		batch, err := callRelay(t.Context(), address, relayRequest{Source: gateway.Upstreams, Wait: time.Second})
		require.ErrorIs(t, err, want, status)
		assert.Zero(t, batch, status)
		_, err = relayDutyCall(t.Context(), address, dutyCall{})
		require.ErrorIs(t, err, want, status)
	}
	unreadable := responsetest.StartServer(t, answerWithStatus("200", body[:len(body)-1]))
	_, err = callRelay(t.Context(), unreadable, relayRequest{Source: gateway.Upstreams, Wait: time.Second})
	require.ErrorIs(t, err, gateway.ErrOutcomeUnknown)
}

// Guards against answers whose header has no end, of which an entry would keep 10 MiB for each call.
func TestPeerAnswersWithAnEndlessHeaderAreGivenUp(t *testing.T) {
	for name, call := range map[string]func(address string) error{
		"leader query": func(address string) error {
			_, err := queryLeader(t.Context(), address, "", "")
			return err
		},
		"relayed call": func(address string) error {
			_, err := callRelay(t.Context(), address, relayRequest{Wait: time.Minute})
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			address, sent := responsetest.StartEndlessHeaderServer(t)
			require.ErrorContains(t, call(address), "header")
			assert.Less(t, sent.Load(), int64(responsetest.MaxBuffered))
		})
	}
}
