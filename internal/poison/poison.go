package poison

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// Bounds of the evidence.
const (
	BlockTime       = 60 * time.Second
	EvidenceTTL     = 120 * time.Second // age at which evidence no longer counts
	CrashesToBlock  = 2                 // crashes on different upstreams
	BodyPrefixBytes = 4096              // part of the body that the content's fingerprint covers
	MaxFingerprints = 10000
	maxUpstreams    = 2000
	// sameCrash is the time in which several entries notice one crash of an upstream, each with the requests that it lost
	// itself. An upstream takes longer to restart.
	sameCrash  = 250 * time.Millisecond
	maxCrashes = 8 // latest crashes kept for an upstream or a fingerprint
)

// Fingerprints are the hexadecimal digests of a request. ID is empty for a request without an ID.
type Fingerprints struct{ ID, Content string }

// Of returns the fingerprints of a request to a service.
func Of(service, requestID, method, path string, bodyPrefix []byte) Fingerprints {
	d := xxhash.New()
	for _, part := range []string{"content", service, method, path} {
		_, _ = d.WriteString(part + "\x00")
	}
	_, _ = d.Write(bodyPrefix[:min(len(bodyPrefix), BodyPrefixBytes)])
	f := Fingerprints{Content: digest(d.Sum64())}
	if requestID != "" {
		f.ID = digest(xxhash.Sum64String("id\x00" + service + "\x00" + requestID))
	}
	return f
}

func digest(sum uint64) string {
	text := strconv.FormatUint(sum, 16)
	return "0000000000000000"[len(text):] + text
}

// Fact is the evidence of one crash against one fingerprint, as entries exchange it. AtMs and Upstream together name
// the crash; AtMs is not compared with the clock of the receiver.
type Fact struct {
	Service, Fingerprint, Upstream string
	AtMs                           int64
}

// crash is one crash of an upstream.
type crash struct {
	upstream string
	event    int64
	seen     time.Time // on the clock of this entry
}

// suspect is the evidence against a fingerprint.
type suspect struct {
	crashes      []crash
	blockedUntil time.Time
}

// upstreamCrash is a crash of an upstream with its suspects.
type upstreamCrash struct {
	crash
	fingerprints map[string]struct{}
}

type upstreamState struct {
	crashes []upstreamCrash
}

// Detector holds the evidence of one entry. It is safe for concurrent use and reads no clock.
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

// RecordCrash takes a crash of an upstream that ran the requests, and returns the facts to send to the other entries.
// A crash is a connection lost during the run, after which the upstream refuses connections or has restarted; a
// connection that was merely cut is none.
func (d *Detector) RecordCrash(now time.Time, service, upstream string, running []Fingerprints) []Fact {
	var facts []Fact
	for _, f := range running {
		for _, text := range []string{f.ID, f.Content} {
			if text != "" {
				facts = append(facts, Fact{Service: service, Fingerprint: text, Upstream: upstream, AtMs: now.UnixMilli()})
			}
		}
	}
	d.Observe(now, facts...)
	return facts
}

// Observe takes facts of another entry. The facts of one crash are given together. Repeated facts have no effect.
func (d *Detector) Observe(now time.Time, facts ...Fact) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range facts {
		d.noteUpstream(now, f)
	}
	for _, f := range facts {
		d.noteSuspect(now, f)
	}
}

func (d *Detector) noteUpstream(now time.Time, f Fact) {
	u, ok := d.upstreams.Get(f.Upstream)
	if !ok {
		u = &upstreamState{}
		d.upstreams.Add(f.Upstream, u)
	}
	for i := range u.crashes {
		if u.crashes[i].event == f.AtMs || now.Sub(u.crashes[i].seen) < sameCrash {
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

// CrashLoop reports whether the upstream crashes by itself: two crashes within the memory have no suspect in common.
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
			if now.Sub(a.seen) < EvidenceTTL && now.Sub(b.seen) < EvidenceTTL && disjoint(a.fingerprints, b.fingerprints) {
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

func (d *Detector) noteSuspect(now time.Time, f Fact) {
	s, ok := d.suspects.Get(f.Fingerprint)
	if !ok {
		s = &suspect{}
		d.suspects.Add(f.Fingerprint, s)
	}
	for _, c := range s.crashes {
		if c.upstream == f.Upstream && c.event == f.AtMs {
			return
		}
	}
	s.crashes = append(s.crashes, crash{f.Upstream, f.AtMs, now})
	if len(s.crashes) > maxCrashes {
		s.crashes = s.crashes[1:]
	}
	if d.upstreamsAgainst(now, s) >= CrashesToBlock {
		s.blockedUntil = now.Add(BlockTime)
	}
}

// upstreamsAgainst counts the different upstreams whose crashes count against the suspect.
func (d *Detector) upstreamsAgainst(now time.Time, s *suspect) int {
	different := map[string]struct{}{}
	for _, c := range s.crashes {
		if now.Sub(c.seen) < EvidenceTTL && !d.crashLoop(now, c.upstream) {
			different[c.upstream] = struct{}{}
		}
	}
	return len(different)
}

// Blocked reports whether the request must not be sent to an upstream, and until when. The refusal is not run, unless
// an earlier attempt of the same call was sent.
func (d *Detector) Blocked(now time.Time, f Fingerprints) (until time.Time, blocked bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, text := range []string{f.ID, f.Content} {
		s, ok := d.suspects.Peek(text)
		if !ok || !now.Before(s.blockedUntil) || d.upstreamsAgainst(now, s) < CrashesToBlock {
			continue
		}
		if s.blockedUntil.After(until) {
			until = s.blockedUntil
		}
	}
	return until, !until.IsZero()
}

// Succeeded clears a request that an upstream ran to a full response. The result names the fingerprints that had
// evidence, so that the other entries can be told; Clear takes them there.
func (d *Detector) Succeeded(f Fingerprints) []string {
	return d.Clear(f.ID, f.Content)
}

// Clear drops the evidence against the fingerprints and returns those that had any.
func (d *Detector) Clear(fingerprints ...string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var cleared []string
	for _, text := range fingerprints {
		if d.suspects.Remove(text) {
			cleared = append(cleared, text)
		}
	}
	return cleared
}
