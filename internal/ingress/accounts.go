package ingress

import (
	"net/http"
	"strconv"
	"strings"
)

const (
	headerAuthorization = "Authorization"
	// keyScheme is the authentication scheme of API keys. Schemes are compared without regard to case.
	keyScheme = "Token"
	// Reasons of refusals in the log and the metrics.
	reasonNoKey      = "no-key"
	reasonUnknownKey = "unknown-key"
)

// identifyAccount determines the account of the request. If its route requires a key and the request has no valid one, it replies
// with 401 and returns false.
func (x *exchange) identifyAccount() bool {
	if !x.config.RequiresKey(x.route) {
		return true
	}
	reason := reasonNoKey
	if key, ok := apiKey(x.req.Header); ok {
		if x.account = x.config.AccountOf(key); x.account != nil {
			return true
		}
		reason = reasonUnknownKey
	}
	x.s.opts.Metrics.refusals.WithLabelValues(reason).Inc()
	x.localReply(http.StatusUnauthorized, 0, false, reason)
	return false
}

// apiKey returns the API key of a request. It returns false if the request has none, a malformed one or several.
func apiKey(h http.Header) (key string, ok bool) {
	values := h[headerAuthorization]
	if len(values) != 1 {
		return "", false
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	key = strings.TrimLeft(key, " ")
	return key, key != "" && strings.EqualFold(scheme, keyScheme)
}

// replaceAccountHeaders removes the client's key and its own account header, and adds the header with the account of the request.
// It has no effect if the configuration has no accounts.
func (x *exchange) replaceAccountHeaders() {
	if len(x.config.Accounts) == 0 {
		return
	}
	name := x.s.opts.Names.Account
	for present := range x.req.Header {
		// Some upstreams don't distinguish underscores from hyphens.
		if canonical := strings.ReplaceAll(present, "_", "-"); strings.EqualFold(canonical, name) {
			delete(x.req.Header, present)
		}
	}
	x.req.Header.Del(headerAuthorization)
	if x.account != nil {
		x.req.Header.Set(name, x.account.Name)
	}
}

// priority returns the account's priority if it has one, and that of the route otherwise.
func (x *exchange) priority() int {
	if x.account != nil && x.account.Priority != nil {
		return *x.account.Priority
	}
	return x.route.Priority
}

func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// appendAccount appends the account to the inputs of a decision.
func (x *exchange) appendAccount(b []byte) []byte {
	if x.account == nil {
		return b
	}
	b = append(b, " account="...)
	if strings.ContainsAny(x.account.Name, " \"=\\") {
		return strconv.AppendQuote(b, x.account.Name)
	}
	return append(b, x.account.Name...)
}
