package placement

import "time"

const (
	// maxArrivalLoss is the time after the start of a request on its connection up to which a reset may be a refusal on arrival. It is
	// below the shortest work on the deployments whose upstreams reset connections when they are full (48 ms).
	maxArrivalLoss = 40 * time.Millisecond
	// minIdleLoss is the shortest idle time of a connection after which its loss may be that of an idle connection.
	minIdleLoss = time.Second
	// maxLoadAge is the age up to which a report of the load tells whether an upstream is full. Probes are 40 ms apart, and work takes
	// 48 ms or more.
	maxLoadAge = 150 * time.Millisecond
	// lossWindow is the time within which the cause of a lost connection has to be found. After that the cause is unknown.
	lossWindow = suspectWindow
	// lossReportDelay is the time by which the report of a lost connection may reach the pool later than the report of a probe that
	// noticed the same event.
	lossReportDelay = 20 * time.Millisecond
	// maxJointLoss is the time between two losses that count as one event.
	maxJointLoss = 100 * time.Millisecond
)

// Loss tells how the connection of an attempt was lost before its response was complete, as the entry that sent the request saw it.
type Loss struct {
	Reset   bool          `cbor:"1,keyasint,omitempty"` // reset by the upstream; otherwise closed in order
	Reused  bool          `cbor:"2,keyasint,omitempty"` // the connection had carried an earlier request
	Idle    time.Duration `cbor:"3,keyasint,omitempty"` // time for which a reused connection had carried nothing
	Written int64         `cbor:"4,keyasint,omitempty"` // bytes of the request passed to the connection
	Begun   bool          `cbor:"5,keyasint,omitempty"` // a part of the response had arrived
	After   time.Duration `cbor:"6,keyasint,omitempty"` // time since the start of the request on the connection
}

// LossClass is the cause of a lost connection.
type LossClass uint8

// Classes of lost connections.
const (
	LossUnknown   LossClass = iota
	LossFull                // the upstream had no room and reset the connection on arrival of the request
	LossIdle                // the upstream had dropped an idle connection
	LossCrashed             // the upstream's process ended
	LossUndecided           // further evidence is needed
	lossClasses
)

var lossClassNames = [...]string{"unknown", "full", "idle-dropped", "crashed", "undecided"}

// String returns the name of the class.
func (c LossClass) String() string { return lossClassNames[c] }

// ProcessEvidence is what is known after a loss about the process that lost the connection.
type ProcessEvidence uint8

// Evidence about a process, from probes sent after the loss.
const (
	ProcessUnseen   ProcessEvidence = iota // no probe has ended yet, or it was sent before the loss
	ProcessKept                            // answered a probe on a connection that was open before the loss
	ProcessAnswered                        // the upstream answered a probe on a later connection, maybe by its next process
	ProcessReset                           // accepted a new connection and reset it
	ProcessGone                            // no answer, or another process answered
)

// LossEvidence is all that is known about a lost connection.
type LossEvidence struct {
	Loss
	// At the time of the loss:
	Slots   int           // of the upstream
	Running int           // requests that the pool counts on the upstream, the lost one included
	Load    *Load         // last report of the upstream, nil if there is none
	LoadAge time.Duration // age of Load
	// AnswersWhenFull says that an upstream of the service has answered that it didn't run a request while it was full.
	AnswersWhenFull bool
	// Since then:
	Age         time.Duration // since the loss
	NextLoad    *Load         // first report of the upstream since the loss, nil if it came later than maxLoadAge
	Process     ProcessEvidence
	OthersAlive int  // requests that were running at the time of the loss and still are
	OthersLost  bool // a request lost its connection at about the same time while the upstream worked on it
}

// Class determines the cause of the loss. A class other than LossUnknown and LossCrashed requires proof that the process outlived it.
func (e *LossEvidence) Class() LossClass {
	if e.Process == ProcessGone {
		return LossCrashed
	}
	switch {
	case e.Written == 0 || e.duringWork() || e.OthersLost, !e.maybeFull() && !e.maybeIdle():
		return LossUnknown
	case e.Process == ProcessKept, e.Process == ProcessAnswered && e.OthersAlive > 0 && e.Age >= lossReportDelay:
		return e.causeInSameProcess()
	case e.Age >= lossWindow:
		return LossUnknown
	}
	return LossUndecided
}

// causeInSameProcess is the class if the process has outlived the loss.
func (e *LossEvidence) causeInSameProcess() LossClass {
	switch {
	case e.maybeFull() && e.full():
		return LossFull
	case e.maybeIdle():
		return LossIdle
	}
	return LossUnknown
}

// maybeFull and maybeIdle report whether the loss looks like one of a full upstream, and of a dropped idle connection.
func (e *LossEvidence) maybeFull() bool { return e.Reset && !e.AnswersWhenFull }
func (e *LossEvidence) maybeIdle() bool { return e.Reused && e.Idle >= minIdleLoss }

// duringWork reports whether the upstream had probably begun to work on the request.
func (l *Loss) duringWork() bool { return l.Begun || l.After > maxArrivalLoss }

// full reports whether the upstream had no room, by the count of the pool or by its own reports before and after the loss. By the count it
// has none as soon as all slots are used, because it may still be running requests that the pool counts as ended.
func (e *LossEvidence) full() bool {
	return e.Slots > 0 && e.Running >= e.Slots || e.LoadAge <= maxLoadAge && e.Load.full() || e.NextLoad.full()
}

// full reports whether a load is that of an upstream without a free slot.
func (l *Load) full() bool { return l != nil && l.Slots > 0 && l.Running+l.Waiting >= l.Slots }
