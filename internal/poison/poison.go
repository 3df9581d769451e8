package poison

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// Limits of the evidence.
const (
	BlockTime       = 60 * time.Second
	EvidenceTTL     = 120 * time.Second // age at which evidence expires
	CrashesToBlock  = 2                 // crashes on different upstreams
	BodyPrefixBytes = 4096              // length of the body prefix that the content fingerprint covers
	MaxFingerprints = 10000
	maxUpstreams    = 2000
	// crashMergeWindow is the time within which reports of a crash of an upstream count as the same crash, since each entry
	// detects it and reports the requests that it lost itself. Restarting an upstream takes longer.
	crashMergeWindow = 250 * time.Millisecond
	maxCrashes       = 8 // number of latest crashes kept per upstream and per fingerprint
)

// Fingerprints are hexadecimal hashes of a request. ID is empty for a request without an ID.
type Fingerprints struct{ ID, Content string }

// NewFingerprints returns the fingerprints of a request to a service.
func NewFingerprints(service, requestID, method, path string, bodyPrefix []byte) Fingerprints {
	d := xxhash.New()
	for _, part := range []string{"content", service, method, path} {
		_, _ = d.WriteString(part + "\x00")
	}
	_, _ = d.Write(bodyPrefix[:min(len(bodyPrefix), BodyPrefixBytes)])
	f := Fingerprints{Content: hexDigest(d.Sum64())}
	if requestID != "" {
		f.ID = hexDigest(xxhash.Sum64String("id\x00" + service + "\x00" + requestID))
	}
	return f
}

func hexDigest(sum uint64) string {
	digits := strconv.FormatUint(sum, 16)
	return "0000000000000000"[len(digits):] + digits
}

// Fact is the evidence of one crash against one fingerprint, as entries exchange it. AtMs and Upstream together identify the
// crash. AtMs is in the sender's clock and is never compared with the receiver's.
type Fact struct {
	Service, Fingerprint, Upstream string
	AtMs                           int64
}

// crash is one crash of an upstream.
type crash struct {
	upstream   string
	atMs       int64
	observedAt time.Time // in the clock of this entry
}

// suspect holds the evidence against a fingerprint.
type suspect struct {
	crashes      []crash
	blockedUntil time.Time
}

// upstreamCrash is a crash of an upstream with the fingerprints of its suspects.
type upstreamCrash struct {
	crash
	fingerprints map[string]struct{}
}

// upstreamState holds the latest crashes of an upstream.
type upstreamState struct {
	crashes []upstreamCrash
}

// Detector holds the evidence at one entry. It is safe for concurrent use and reads no clock.
type Detector struct {
	mu        sync.Mutex
	suspects  *lru.Cache[string, *suspect]
	upstreams *lru.Cache[string, *upstreamState]
}

// NewDetector returns a detector without evidence.
func NewDetector() *Detector {
	suspects, err := lru.New[string, *suspect](MaxFingerprints)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	upstreams, err := lru.New[string, *upstreamState](maxUpstreams)
	if err != nil {
		panic(err)
	}
	return &Detector{suspects: suspects, upstreams: upstreams}
}

// RecordCrash records a crash of an upstream that was running the given requests, and returns the facts to send to the other
// entries. A crash is a connection lost during a request after which the upstream refuses connections or has restarted. A
// connection that was merely reset is not a crash.
func (d *Detector) RecordCrash(now time.Time, service, upstream string, running []Fingerprints) []Fact {
	var facts []Fact
	for _, f := range running {
		for _, fingerprint := range []string{f.ID, f.Content} {
			if fingerprint != "" {
				facts = append(facts, Fact{Service: service, Fingerprint: fingerprint, Upstream: upstream, AtMs: now.UnixMilli()})
			}
		}
	}
	d.Observe(now, facts...)
	return facts
}

// Observe adds facts from another entry. All facts of one crash must be passed in one call. Repeated facts have no effect.
func (d *Detector) Observe(now time.Time, facts ...Fact) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range facts {
		d.recordUpstreamCrash(now, f)
	}
	for _, f := range facts {
		d.recordSuspect(now, f)
	}
}

func (d *Detector) recordUpstreamCrash(now time.Time, f Fact) {
	u, ok := d.upstreams.Get(f.Upstream)
	if !ok {
		u = &upstreamState{}
		d.upstreams.Add(f.Upstream, u)
	}
	for i := range u.crashes {
		if u.crashes[i].atMs == f.AtMs || now.Sub(u.crashes[i].observedAt) < crashMergeWindow {
			u.crashes[i].fingerprints[f.Fingerprint] = struct{}{}
			return
		}
	}
	c := upstreamCrash{crash{f.Upstream, f.AtMs, now}, map[string]struct{}{f.Fingerprint: {}}}
	u.crashes = append(u.crashes, c)
	if len(u.crashes) > maxCrashes {
		u.crashes = u.crashes[1:]
	}
}

// CrashLoop reports whether the upstream is in a crash loop: two crashes within EvidenceTTL have no suspect in common.
func (d *Detector) CrashLoop(now time.Time, upstream string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.crashLoop(now, upstream)
}

func (d *Detector) crashLoop(now time.Time, upstream string) bool {
	u, ok := d.upstreams.Get(upstream)
	if !ok {
		return false
	}
	for i, a := range u.crashes {
		for _, b := range u.crashes[i+1:] {
			if now.Sub(a.observedAt) < EvidenceTTL && now.Sub(b.observedAt) < EvidenceTTL && disjoint(a.fingerprints, b.fingerprints) {
				return true
			}
		}
	}
	return false
}

func disjoint(a, b map[string]struct{}) bool {
	for f := range a {
		if _, ok := b[f]; ok {
			return false
		}
	}
	return true
}

func (d *Detector) recordSuspect(now time.Time, f Fact) {
	s, ok := d.suspects.Get(f.Fingerprint)
	if !ok {
		s = &suspect{}
		d.suspects.Add(f.Fingerprint, s)
	}
	for _, c := range s.crashes {
		if c.upstream == f.Upstream && c.atMs == f.AtMs {
			return
		}
	}
	s.crashes = append(s.crashes, crash{f.Upstream, f.AtMs, now})
	if len(s.crashes) > maxCrashes {
		s.crashes = s.crashes[1:]
	}
	if d.crashedUpstreams(now, s) >= CrashesToBlock {
		s.blockedUntil = now.Add(BlockTime)
	}
}

// crashedUpstreams counts the distinct upstreams whose crashes count against the suspect.
func (d *Detector) crashedUpstreams(now time.Time, s *suspect) int {
	different := map[string]struct{}{}
	for _, c := range s.crashes {
		if now.Sub(c.observedAt) < EvidenceTTL && !d.crashLoop(now, c.upstream) {
			different[c.upstream] = struct{}{}
		}
	}
	return len(different)
}

// Blocked reports whether the request must not be sent to an upstream, and until when. A call that is refused for this reason
// has not run, unless an earlier attempt of it was sent.
func (d *Detector) Blocked(now time.Time, f Fingerprints) (until time.Time, blocked bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, fingerprint := range []string{f.ID, f.Content} {
		s, ok := d.suspects.Peek(fingerprint)
		if !ok || !now.Before(s.blockedUntil) || d.crashedUpstreams(now, s) < CrashesToBlock {
			continue
		}
		if s.blockedUntil.After(until) {
			until = s.blockedUntil
		}
	}
	return until, !until.IsZero()
}

// Succeeded clears a request for which an upstream sent a complete response. It returns the fingerprints that had evidence, to be
// sent to the other entries and passed to Clear there.
func (d *Detector) Succeeded(f Fingerprints) []string {
	return d.Clear(f.ID, f.Content)
}

// Clear discards the evidence against the fingerprints and returns those that had any.
func (d *Detector) Clear(fingerprints ...string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var cleared []string
	for _, fingerprint := range fingerprints {
		if d.suspects.Remove(fingerprint) {
			cleared = append(cleared, fingerprint)
		}
	}
	return cleared
}
