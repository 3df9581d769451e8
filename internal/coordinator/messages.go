package coordinator

import (
	"time"

	"boragehinge.example/boragehinge/internal/placement"
)

// placementAsk converts the durations of a to points in time by this host's clock.
func (a *Ask) placementAsk(now time.Time, id uint64) placement.Ask {
	return placement.Ask{
		ID: id, RequestID: a.RequestID, Route: a.Route, DataCentre: a.DataCentre, Large: a.Large, TransferBytes: a.TransferBytes, Priority: a.Priority,
		RequestBytes: a.RequestBytes, Objective: now.Add(a.ObjectiveLeft), Deadline: now.Add(a.DeadlineLeft), Attempt: a.Attempt, Exclude: a.Exclude,
		Returns: a.Returns, MayHedge: a.MayHedge, Fingerprint: a.Fingerprint, Account: a.Account, Repeated: a.Repeated,
	}
}
