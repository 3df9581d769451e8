package telemetry

import (
	"io"
	"strconv"
	"sync"
	"time"
)

// Bounds of the decision log.
const (
	DecisionInterval    = 100 * time.Millisecond
	maxDecisionGroups   = 256
	maxPendingLineBytes = 256 << 10
	// otherShare is the part of the full lines that is kept for decisions that are not routine.
	otherShare = 0.5
)

// severalUpstreams stands for the upstream of a group whose decisions chose different ones.
const severalUpstreams = "several"

// Decision is one routing or placement decision.
type Decision struct {
	Kind      string // routing or placement
	RequestID string
	Service   string
	Pool      string
	Version   string
	Class     string
	Customer  string
	Upstream  string
	Outcome   string // such as forwarded, granted, queued, refused
	Reason    string
	// Routine says that nothing is out of the ordinary. Half of the full lines are kept for other decisions.
	Routine bool
	// Inputs are key=value pairs that decided, with their age or version. They appear in full lines only.
	Inputs string
}

// group is what decisions of equal outcome have in common.
type group struct{ kind, service, pool, version, class, outcome, reason string }

type groupState struct {
	first    string // request ID
	upstream string
	count    int
	since    time.Time
}

// DecisionLog writes the decisions with a bounded volume; see the package documentation. Record may be called from any
// goroutine and does not block on the output. Flush is called by one goroutine, each DecisionInterval.
type DecisionLog struct {
	out  io.Writer
	rate float64 // full lines per second

	mu     sync.Mutex
	tokens float64
	filled time.Time
	lines  []byte
	spare  []byte
	groups map[group]*groupState
	// lineCount counts lines and decisionCount decisions, for the metrics.
	lineCount, decisionCount uint64

	flushMu sync.Mutex // serialises writes to out
}

// NewDecisionLog returns a log that writes at most linesPerSecond decisions in full to out.
func NewDecisionLog(out io.Writer, linesPerSecond int) *DecisionLog {
	return &DecisionLog{out: out, rate: float64(linesPerSecond), groups: map[group]*groupState{}}
}

// Record takes one decision made at the time now.
func (l *DecisionLog) Record(now time.Time, d Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.decisionCount++
	if l.take(now, d.Routine) && len(l.lines) < maxPendingLineBytes {
		l.lines = appendDecision(l.lines, now, &d)
		l.lineCount++
		return
	}
	l.add(now, &d)
}

// take uses a token of the bucket, which holds one second of full lines. Routine decisions leave half of them.
func (l *DecisionLog) take(now time.Time, routine bool) bool {
	if l.filled.IsZero() {
		l.tokens = l.rate
		l.filled = now
	}
	if passed := now.Sub(l.filled); passed > 0 {
		l.tokens = min(l.rate, l.tokens+passed.Seconds()*l.rate)
		l.filled = now
	}
	least := 1.0
	if routine {
		least += l.rate * otherShare
	}
	if l.tokens < least {
		return false
	}
	l.tokens--
	return true
}

func (l *DecisionLog) add(now time.Time, d *Decision) {
	key := group{d.Kind, d.Service, d.Pool, d.Version, d.Class, d.Outcome, d.Reason}
	state := l.groups[key]
	if state == nil && len(l.groups) >= maxDecisionGroups {
		key = group{kind: d.Kind, outcome: "other"}
		if d.Kind != "routing" {
			key.kind = "placement"
		}
		state = l.groups[key]
	}
	if state == nil {
		state = &groupState{first: d.RequestID, upstream: d.Upstream, since: now}
		l.groups[key] = state
	}
	if state.upstream != d.Upstream {
		state.upstream = severalUpstreams
	}
	state.count++
}

// Flush writes the pending lines and one line for each group. The error is that of the output; the lines are lost then.
func (l *DecisionLog) Flush(now time.Time) error {
	l.flushMu.Lock()
	defer l.flushMu.Unlock()
	l.mu.Lock()
	lines := l.lines
	l.lines, l.spare = l.spare[:0], nil
	groups := l.groups
	if len(groups) > 0 {
		l.groups = make(map[group]*groupState, len(groups))
	}
	l.lineCount += uint64(len(groups))
	l.mu.Unlock()

	for key, state := range groups {
		lines = appendGroup(lines, now, key, state)
	}
	var err error
	if len(lines) > 0 {
		_, err = l.out.Write(lines)
	}
	l.mu.Lock()
	l.spare = lines[:0]
	l.mu.Unlock()
	return err
}

// Counts returns the number of decisions recorded and of lines made for them.
func (l *DecisionLog) Counts() (decisions, lines uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.decisionCount, l.lineCount
}

func appendDecision(line []byte, now time.Time, d *Decision) []byte {
	line = appendStart(line, now, d.Kind, d.Outcome)
	line = appendPair(line, "request", d.RequestID)
	line = appendPair(line, "service", d.Service)
	line = appendPair(line, "pool", d.Pool)
	line = appendPair(line, "version", d.Version)
	line = appendPair(line, "class", d.Class)
	line = appendPair(line, "customer", d.Customer)
	line = appendPair(line, "upstream", d.Upstream)
	line = appendPair(line, "reason", d.Reason)
	if d.Inputs != "" {
		line = append(line, ' ')
		line = append(line, d.Inputs...)
	}
	return append(line, '\n')
}

func appendGroup(line []byte, now time.Time, key group, s *groupState) []byte {
	line = appendStart(line, now, key.kind, key.outcome)
	line = append(line, " count="...)
	line = strconv.AppendInt(line, int64(s.count), 10)
	line = append(line, " since="...)
	line = s.since.UTC().AppendFormat(line, timeFormat)
	line = appendPair(line, "firstRequest", s.first)
	line = appendPair(line, "service", key.service)
	line = appendPair(line, "pool", key.pool)
	line = appendPair(line, "version", key.version)
	line = appendPair(line, "class", key.class)
	line = appendPair(line, "upstream", s.upstream)
	line = appendPair(line, "reason", key.reason)
	return append(line, '\n')
}

// appendDropped appends a line that counts the log lines for which there was no room.
func appendDropped(line []byte, count int) []byte {
	line = append(line, "time="...)
	line = time.Now().UTC().AppendFormat(line, timeFormat)
	line = append(line, ` level=warn message="log lines dropped" count=`...)
	line = strconv.AppendInt(line, int64(count), 10)
	return append(line, '\n')
}

func appendStart(line []byte, now time.Time, kind, outcome string) []byte {
	line = append(line, "time="...)
	line = now.UTC().AppendFormat(line, timeFormat)
	line = append(line, " level=info message=decision"...)
	line = appendPair(line, "kind", kind)
	return appendPair(line, "outcome", outcome)
}

// appendPair appends " key=value", or nothing for an empty value.
func appendPair(line []byte, key, value string) []byte {
	if value == "" {
		return line
	}
	line = append(line, ' ')
	line = append(line, key...)
	line = append(line, '=')
	return appendText(line, value)
}

func appendQuoted(line []byte, text string) []byte { return strconv.AppendQuoteToASCII(line, text) }
