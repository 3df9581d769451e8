package adapter

import (
	"net/http"
	"time"

	"boragehinge.example/boragehinge/internal/idempotency"
	"boragehinge.example/boragehinge/internal/proxy"
)

// Verdict converts a registry's verdict. elsewhere returns the verdict for a call that is registered at another
// incarnation of an entry.
func Verdict(v idempotency.Verdict, elsewhere func(incarnation string) proxy.Verdict) proxy.Verdict {
	switch v.Kind {
	case idempotency.Run:
		return proxy.Verdict{Kind: proxy.VerdictRun}
	case idempotency.Wait:
		return proxy.Verdict{Kind: proxy.VerdictWait, Done: v.Waiting.Done()}
	case idempotency.Replay:
		return proxy.Verdict{Kind: proxy.VerdictReplay, Answer: &proxy.Answer{
			Outcome: proxy.Done, Status: v.Answer.Status, Header: v.Answer.Header, Body: v.Answer.Body, Kept: true,
		}}
	case idempotency.DoneWithoutAnswer:
		return proxy.Verdict{Kind: proxy.VerdictReplay, Answer: &proxy.Answer{Outcome: proxy.Done, Status: http.StatusConflict}}
	case idempotency.Refuse:
		return Refused(proxy.ReasonStopping, time.Second)
	case idempotency.Elsewhere:
		return elsewhere(v.Incarnation)
	case idempotency.Invalid:
		return Refused(proxy.ReasonInvalid, 0)
	}
	return proxy.Verdict{Kind: proxy.VerdictUnknown}
}

// Refused returns the verdict for a call that certainly did not run.
func Refused(reason proxy.Reason, retryAfter time.Duration) proxy.Verdict {
	return proxy.Verdict{Kind: proxy.VerdictReplay, Answer: &proxy.Answer{Outcome: proxy.NotRun, Reason: reason, RetryAfter: retryAfter}}
}

// RecordedOutcome converts the answer to a registered call to the outcome that its registry records.
func RecordedOutcome(a proxy.Answer) idempotency.Outcome {
	o := idempotency.Outcome{Kind: idempotency.Lost, Reason: string(a.Reason)}
	switch a.Outcome {
	case proxy.Done:
		o.Kind = idempotency.Done
		if a.Kept {
			o.Answer = &idempotency.Answer{Status: a.Status, Header: a.Header, Body: a.Body}
		}
	case proxy.NotRun:
		o.Kind = idempotency.NotRun
	}
	return o
}
