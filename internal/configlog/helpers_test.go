package configlog

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/logservice"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// inventoryJSON returns an inventory with one data centre, one service and optional rules.
func inventoryJSON(slots int, rules string) json.RawMessage {
	if rules == "" {
		rules = "{}"
	}
	return json.RawMessage(fmt.Sprintf(`{"schemaVersion":1,"sites":[{"name":"s","dataCentres":[{"name":"dc1"},{"name":"dc2"}]}],`+
		`"classes":[{"name":"urgent","priority":1}],"services":[{"name":"orders","slots":%d,"upstreams":[]}],"rules":%s}`,
		slots, rules))
}

func moveRules(name string, by time.Time) string {
	return fmt.Sprintf(`{"versions":[{"service":"orders","from":"1","to":"2","move":%q,"by":%q}]}`, name, by.Format(time.RFC3339))
}

func encode(t require.TestingT, r Record) []byte {
	data, err := Encode(r)
	require.NoError(t, err)
	return data
}

func changeRecord(id string, base int64, inv json.RawMessage) Record {
	return Record{Kind: KindChange, Change: &Change{ID: id, Base: base, Operator: "op-" + id, Inventory: inv}}
}

// recordAppender applies records to a fold at consecutive offsets and keeps them in log.
type recordAppender struct {
	t    testing.TB
	fold *Fold
	now  time.Time
	log  []logservice.Entry
}

func newRecordAppender(t testing.TB) *recordAppender {
	return &recordAppender{t: t, fold: NewFold(), now: start}
}

func (f *recordAppender) raw(data []byte) Result {
	e := logservice.Entry{Offset: int64(len(f.log)) + 1, Time: f.now, Data: data}
	f.log = append(f.log, e)
	return f.fold.Apply(e)
}

func (f *recordAppender) add(r Record) Result { return f.raw(encode(f.t, r)) }

func (f *recordAppender) lease(holder string) Result {
	return f.add(Record{Kind: KindLease, Lease: &Lease{Name: "rollout", Holder: holder, DurationMs: 15000}})
}

func (f *recordAppender) step(move string, percent float64, token int64) Result {
	return f.add(Record{Kind: KindStep, Step: &Step{Service: "orders", Move: move, Percent: percent, Lease: "rollout", Token: token}})
}

func (f *recordAppender) finish(move string, token int64) Result {
	return f.add(Record{Kind: KindFinished, Finished: &Finished{Service: "orders", Move: move, Lease: "rollout", Token: token}})
}

func (f *recordAppender) move(name string) MoveState {
	return f.fold.View().Moves[Move{"orders", name}]
}
