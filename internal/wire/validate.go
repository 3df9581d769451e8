package wire

import "fmt"

// IncarnationDigits is the number of hexadecimal digits of an incarnation.
const IncarnationDigits = 16

// Validate checks the sender, the sequence number, that exactly the payload named by the type is set, and the values
// that receivers rely on: incarnations, sequence numbers above 0 and the length of names.
func Validate(e *Envelope) error {
	if err := ValidIncarnation(e.Sender); err != nil {
		return fmt.Errorf("%w: sender: %w", ErrInvalid, err)
	}
	if e.Seq < 1 {
		return fmt.Errorf("%w: seq %d", ErrInvalid, e.Seq)
	}
	if err := matchPayload(e); err != nil {
		return err
	}
	if err := validPayload(e); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrInvalid, e.Type, err)
	}
	return nil
}

// ValidIncarnation reports whether s is 16 lower-case hexadecimal digits.
func ValidIncarnation(s string) error {
	if len(s) != IncarnationDigits {
		return errNotHexDigit
	}
	for _, c := range []byte(s) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return errNotHexDigit
		}
	}
	return nil
}

func matchPayload(e *Envelope) error {
	payloads := map[EnvelopeType]bool{
		EnvelopeTypeHello:          e.Hello != nil,
		EnvelopeTypeHeartbeat:      e.Heartbeat != nil,
		EnvelopeTypeDigest:         e.Digest != nil,
		EnvelopeTypeRecordsRequest: e.RecordsRequest != nil,
		EnvelopeTypeRecords:        e.Records != nil,
		EnvelopeTypeStopFact:       e.StopFact != nil,
		EnvelopeTypeLeavingFact:    e.LeavingFact != nil,
		EnvelopeTypePoisonFact:     e.PoisonFact != nil,
		EnvelopeTypeStatistics:     e.Statistics != nil,
		EnvelopeTypeColdUpstreams:  e.ColdUpstreams != nil,
		EnvelopeTypeGoodbye:        e.Goodbye != nil,
	}
	if !payloads[e.Type] {
		return fmt.Errorf("%w: type %.32q has no payload", ErrPayload, string(e.Type))
	}
	for t, set := range payloads {
		if set && t != e.Type {
			return fmt.Errorf("%w: type %s with payload %s", ErrPayload, e.Type, t)
		}
	}
	return nil
}

func validPayload(e *Envelope) error {
	switch e.Type {
	case EnvelopeTypeHello:
		if e.Hello.Member.Incarnation != e.Sender {
			return fmt.Errorf("member is not the sender")
		}
		return validMember(e.Hello.Member)
	case EnvelopeTypeHeartbeat:
		return validHeartbeat(e.Heartbeat)
	case EnvelopeTypeDigest:
		return validDigest(e.Digest)
	case EnvelopeTypeStopFact:
		f := e.StopFact
		return validNames(f.Service, f.Move, f.Version, f.Reason, text(f.Evidence))
	case EnvelopeTypeLeavingFact:
		return validNames(e.LeavingFact.DataCentre, e.LeavingFact.Reason)
	case EnvelopeTypePoisonFact:
		return validNames(e.PoisonFact.Service, e.PoisonFact.Fingerprint, e.PoisonFact.Upstream)
	case EnvelopeTypeGoodbye:
		return validNames(e.Goodbye.Reason)
	}
	return nil
}

func validHeartbeat(hb *Heartbeat) error {
	if hb.Seq < 1 {
		return fmt.Errorf("seq %d", hb.Seq)
	}
	for _, echo := range hb.Echoes {
		if echo.Incarnation == "" {
			continue
		}
		if err := ValidIncarnation(echo.Incarnation); err != nil {
			return err
		}
	}
	return nil
}

func validDigest(d *Digest) error {
	for _, m := range d.Members {
		if err := validMember(m); err != nil {
			return err
		}
		if m.DataCentre != d.DataCentre {
			return fmt.Errorf("member %s of another data centre", m.Incarnation)
		}
	}
	return validNames(d.DataCentre)
}

func validMember(m Member) error {
	if err := ValidIncarnation(m.Incarnation); err != nil {
		return err
	}
	if m.Host == "" || m.DataCentre == "" {
		return fmt.Errorf("member %s without host or data centre", m.Incarnation)
	}
	return validNames(m.Host, m.DataCentre, m.CallerAddress, m.PeerAddress, text(m.OperatorsAddress))
}

func validNames(names ...string) error {
	for _, n := range names {
		if len(n) > MaxNameBytes {
			return fmt.Errorf("name of %d bytes", len(n))
		}
	}
	return nil
}

func text(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}
