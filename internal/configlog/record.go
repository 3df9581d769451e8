package configlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"boragehinge.example/boragehinge/internal/logservice"
	"boragehinge.example/boragehinge/internal/model"
)

// SchemaVersion is the version of the record format that this build reads and writes.
const SchemaVersion = 1

// MaxInventoryBytes is the maximum size of an inventory in a change, as compact JSON. A snapshot holds the inventory and
// the rest of the state, and must fit into one record.
const MaxInventoryBytes = 144 << 10

const (
	maxNameBytes     = 128
	maxReasonBytes   = 600
	maxLeaseDuration = 5 * time.Minute
)

// Kind names a kind of record.
type Kind string

// The kinds of records.
const (
	KindChange   Kind = "change"
	KindSnapshot Kind = "snapshot"
	KindLease    Kind = "lease"
	KindStep     Kind = "rollout-step"
	KindFinished Kind = "rollout-finished"
	KindStop     Kind = "rollout-stop"
	KindLeaving  Kind = "leaving"
)

// Record is one record of the log. Only the field that matches Kind is set.
type Record struct {
	Schema   int       `json:"schema"`
	Kind     Kind      `json:"kind"`
	Change   *Change   `json:"change,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
	Lease    *Lease    `json:"lease,omitempty"`
	Step     *Step     `json:"step,omitempty"`
	Finished *Finished `json:"finished,omitempty"`
	Stop     *Stop     `json:"stop,omitempty"`
	Leaving  *Leaving  `json:"leaving,omitempty"`
}

// Change replaces the whole configuration. Base is the version that it is based on; 0 for the first one.
type Change struct {
	ID        string          `json:"id"`
	Base      int64           `json:"base"`
	Operator  string          `json:"operator"`
	Inventory json.RawMessage `json:"inventory"`
}

// Snapshot holds the state after the record at offset Through, with its length in bytes and checksum.
type Snapshot struct {
	Through  int64           `json:"through"`
	Length   int             `json:"length"`
	Checksum string          `json:"checksum"`
	State    json.RawMessage `json:"state"`
}

// Lease requests the named lease. It is granted unless another holder's lease is unexpired at the record's log time.
type Lease struct {
	Name       string `json:"name"`
	Holder     string `json:"holder"`
	DurationMs int64  `json:"durationMs"`
}

// Step sets the traffic share of a version move. Token is the fencing token of the lease under which it is written.
type Step struct {
	Service string  `json:"service"`
	Move    string  `json:"move"`
	Percent float64 `json:"percent"`
	Lease   string  `json:"lease"`
	Token   int64   `json:"token"`
}

// Finished completes a version move that has reached 100 %.
type Finished struct {
	Service string `json:"service"`
	Move    string `json:"move"`
	Lease   string `json:"lease"`
	Token   int64  `json:"token"`
}

// Stop rolls a version move back permanently. It needs no lease, since a rollback only makes the system safer.
type Stop struct {
	Service  string `json:"service"`
	Move     string `json:"move"`
	Version  string `json:"version"`
	Reason   string `json:"reason"`
	Evidence string `json:"evidence,omitempty"`
}

// Leaving takes a data centre out of service immediately. Base is the version at which it was declared.
type Leaving struct {
	DataCentre string `json:"dataCentre"`
	Base       int64  `json:"base"`
	Operator   string `json:"operator"`
	Reason     string `json:"reason"`
}

var (
	// ErrMalformed means that a record can't be decoded or exceeds a limit.
	ErrMalformed = errors.New("malformed record")
	// ErrUnknownRecord means that a record has a schema version or a kind that this build doesn't know.
	ErrUnknownRecord = errors.New("record of an unknown schema version or kind")
)

// Decode reads a record. The error matches ErrMalformed or ErrUnknownRecord.
func Decode(data []byte) (Record, error) {
	if len(data) > logservice.MaxRecordBytes {
		return Record{}, fmt.Errorf("%w: %d bytes", ErrMalformed, len(data))
	}
	var head struct {
		Schema *int  `json:"schema"`
		Kind   *Kind `json:"kind"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if head.Schema == nil || *head.Schema < 1 || head.Kind == nil || *head.Kind == "" {
		return Record{}, fmt.Errorf("%w: no schema version or kind", ErrMalformed)
	}
	if *head.Schema != SchemaVersion || !isKnownKind(*head.Kind) {
		return Record{}, fmt.Errorf("%w: schema %d, kind %q", ErrUnknownRecord, *head.Schema, *head.Kind)
	}
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if err := r.check(); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return r, nil
}

// Encode writes a record with the schema version of this build.
func Encode(r Record) ([]byte, error) {
	r.Schema = SchemaVersion
	if err := r.check(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(data) > logservice.MaxRecordBytes {
		return nil, fmt.Errorf("%w: %d bytes", logservice.ErrTooLarge, len(data))
	}
	return data, nil
}

func isKnownKind(k Kind) bool {
	switch k {
	case KindChange, KindSnapshot, KindLease, KindStep, KindFinished, KindStop, KindLeaving:
		return true
	}
	return false
}

func (r *Record) check() error {
	set := 0
	for _, present := range []bool{
		r.Change != nil, r.Snapshot != nil, r.Lease != nil, r.Step != nil,
		r.Finished != nil, r.Stop != nil, r.Leaving != nil,
	} {
		if present {
			set++
		}
	}
	if set != 1 {
		return fmt.Errorf("%d payloads, need 1", set)
	}
	switch {
	case r.Kind == KindChange && r.Change != nil:
		return r.Change.check()
	case r.Kind == KindSnapshot && r.Snapshot != nil:
		return nil // Its length and checksum are checked when it is used.
	case r.Kind == KindLease && r.Lease != nil:
		return r.Lease.check()
	case r.Kind == KindStep && r.Step != nil:
		if !(r.Step.Percent > 0 && r.Step.Percent <= 100) {
			return fmt.Errorf("step of %v %%", r.Step.Percent)
		}
		return checkNames(r.Step.Service, r.Step.Move, r.Step.Lease)
	case r.Kind == KindFinished && r.Finished != nil:
		return checkNames(r.Finished.Service, r.Finished.Move, r.Finished.Lease)
	case r.Kind == KindStop && r.Stop != nil:
		if len(r.Stop.Reason)+len(r.Stop.Evidence) > maxReasonBytes {
			return fmt.Errorf("reason and evidence longer than %d bytes", maxReasonBytes)
		}
		return checkNames(r.Stop.Service, r.Stop.Move, r.Stop.Version)
	case r.Kind == KindLeaving && r.Leaving != nil:
		if len(r.Leaving.Reason) > maxReasonBytes {
			return fmt.Errorf("reason longer than %d bytes", maxReasonBytes)
		}
		return checkNames(r.Leaving.DataCentre)
	}
	return fmt.Errorf("payload doesn't fit kind %q", r.Kind)
}

func (c *Change) check() error {
	if err := checkNames(c.ID, c.Operator); err != nil {
		return err
	}
	if c.Base < 0 {
		return fmt.Errorf("base %d", c.Base)
	}
	_, err := decodeInventory(c.Inventory)
	return err
}

func (l *Lease) check() error {
	if l.DurationMs <= 0 || l.DurationMs > maxLeaseDuration.Milliseconds() {
		return fmt.Errorf("lease duration %d ms", l.DurationMs)
	}
	return checkNames(l.Name, l.Holder)
}

func checkNames(list ...string) error {
	for _, s := range list {
		if s == "" || len(s) > maxNameBytes {
			return fmt.Errorf("name of %d bytes", len(s))
		}
	}
	return nil
}

func decodeInventory(raw json.RawMessage) (*model.Inventory, error) {
	if len(raw) > MaxInventoryBytes {
		return nil, fmt.Errorf("inventory of %d bytes, at most %d are allowed", len(raw), MaxInventoryBytes)
	}
	if !bytes.HasPrefix(bytes.TrimSpace(raw), []byte("{")) {
		return nil, errors.New("inventory is not an object")
	}
	inv := new(model.Inventory)
	if err := json.Unmarshal(raw, inv); err != nil {
		return nil, fmt.Errorf("inventory: %w", err)
	}
	return inv, nil
}
