package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/configlog"
	"boragehinge.example/boragehinge/internal/logservice"
	"boragehinge.example/boragehinge/internal/model"
	"boragehinge.example/boragehinge/internal/pause"
	"boragehinge.example/boragehinge/inventory"
)

const (
	oldUpstreams     = 6
	newUpstreams     = 3
	archiveUpstreams = 3
	centreCount      = 3
)

const inventoryHead = `
schemaVersion: 1
sites: [{name: east, dataCentres: [{name: e-1}, {name: e-2}, {name: e-3}]}]
classes:
  - {name: urgent, priority: 0, deadlineMs: 2000, hedge: true}
  - {name: ordinary, priority: 4, deadlineMs: 5000}
  - {name: bulk, priority: 9, deadlineMs: 20000}
`

// desired is what the operators want. It is guarded by operation.mu.
type desired struct {
	weight      int
	leaving     map[string]bool // data centres and upstreams
	returned    map[string]bool // data centres that were away
	move        int             // number of the version move; 0 before the first one
	moving      bool
	by          time.Time
	port        int
	hostAddress string // first three bytes
}

func (d *desired) upstream(name string, i int, version string) string {
	state := "active"
	if d.leaving[name] {
		state = "leaving"
	}
	return fmt.Sprintf("      - {name: %s-%d, address: \"%s.%d:%d\", dataCentre: e-%d, version: %q, state: %s}\n",
		name[:strings.LastIndex(name, "-")], i, d.hostAddress, address(name, i), d.port, (i-1)%centreCount+1, version, state)
}

// address returns the last byte of an upstream's address.
func address(name string, i int) int {
	switch {
	case strings.HasPrefix(name, "next"):
		return 100 + i
	case strings.HasPrefix(name, "photo"):
		return 200 + i
	}
	return i
}

// document returns the inventory.
func (d *desired) document() string {
	var b strings.Builder
	b.WriteString(inventoryHead)
	fmt.Fprintf(&b, "customers: [{name: benches, weight: %d}, {name: desks, weight: 1}]\n", d.weight%9+1)
	b.WriteString(`services:
  - name: bench
    match: {pathPrefix: /bench}
    defaultClass: ordinary
    slots: 3
    routes:
      - {name: lookups, pathPrefix: /bench/lookups, class: urgent, idempotent: true}
      - {name: orders, pathPrefix: /bench/orders, class: ordinary, idempotent: false}
    upstreams:
`)
	for i := 1; i <= oldUpstreams; i++ {
		b.WriteString(d.upstream(fmt.Sprintf("bench-%d", i), i, "1"))
	}
	for i := 1; d.moving && i <= newUpstreams; i++ {
		b.WriteString(d.upstream(fmt.Sprintf("next-%d", i), i, d.version()))
	}
	b.WriteString("  - name: photos\n    match: {pathPrefix: /archive}\n    defaultClass: bulk\n    slots: 3\n    upstreams:\n")
	for i := 1; i <= archiveUpstreams; i++ {
		b.WriteString(d.upstream(fmt.Sprintf("photo-%d", i), i, "1"))
	}
	b.WriteString(d.rules())
	return b.String()
}

func (d *desired) version() string { return fmt.Sprintf("2.%d", d.move) }

func (d *desired) rules() string {
	var b strings.Builder
	for i := 1; i <= centreCount; i++ {
		name := fmt.Sprintf("e-%d", i)
		if d.leaving[name] {
			fmt.Fprintf(&b, "    - {dataCentre: %s, state: leaving}\n", name)
		} else if d.returned[name] {
			fmt.Fprintf(&b, "    - {dataCentre: %s, state: active}\n", name)
		}
	}
	out := ""
	if b.Len() > 0 {
		out = "  dataCentres:\n" + b.String()
	}
	if d.moving {
		out += fmt.Sprintf("  versions:\n    - {service: bench, from: \"1\", to: %q, by: %q, startPercent: 5}\n", d.version(),
			d.by.UTC().Format(time.RFC3339))
	}
	if out != "" {
		out = "rules:\n" + out
	}
	return out
}

// allUpstreams returns the upstreams without those of a new version.
func allUpstreams() []string {
	var out []string
	for i := 1; i <= oldUpstreams; i++ {
		out = append(out, fmt.Sprintf("bench-%d", i))
	}
	for i := 1; i <= archiveUpstreams; i++ {
		out = append(out, fmt.Sprintf("photo-%d", i))
	}
	return out
}

// upstreamsIn returns the upstreams of a data centre, or the named upstream.
func upstreamsIn(what string) []string {
	if !strings.HasPrefix(what, "e-") {
		return []string{what}
	}
	var out []string
	for _, group := range []struct {
		name  string
		count int
	}{{"bench", oldUpstreams}, {"next", newUpstreams}, {"photo", archiveUpstreams}} {
		for i := 1; i <= group.count; i++ {
			if fmt.Sprintf("e-%d", (i-1)%centreCount+1) == what {
				out = append(out, fmt.Sprintf("%s-%d", group.name, i))
			}
		}
	}
	return out
}

// parse checks an inventory as of a time.
func parse(document string, now time.Time) (*model.Inventory, error) {
	inv, findings := inventory.Check("soak.yaml", []byte(document), now)
	if len(findings) > 0 {
		return nil, &inventory.FindingsError{Findings: findings}
	}
	return inv, nil
}

// freePort returns a port that is free on the first address.
func freePort(host string) (int, error) {
	ln, err := net.Listen("tcp", host+".1:0")
	if err != nil {
		return 0, err
	}
	defer ln.Close() //nolint:errcheck // only the number is needed
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// operation makes the operators' changes. It is safe for concurrent use.
type operation struct {
	mu   sync.Mutex
	want desired
	log  logservice.Log
	rec  *recorder
}

// change edits what is wanted and submits it until it is accepted.
func (o *operation) change(ctx context.Context, edit func(*desired)) error {
	o.mu.Lock()
	edit(&o.want)
	o.mu.Unlock()
	for {
		accepted, err := o.submit(ctx)
		if err != nil || accepted {
			return err
		}
	}
}

// submit submits once what is wanted now. False means that another change won.
func (o *operation) submit(ctx context.Context) (bool, error) {
	id := configlog.NewChangeID()
	for {
		fold, err := configlog.Load(ctx, o.log)
		if err == nil {
			var d configlog.Decision
			d, err = o.submitFrom(ctx, fold, id)
			if err == nil {
				if d.Accepted {
					o.rec.add(func(r *Records) { r.Accepted = append(r.Accepted, Accepted{d.Version, time.Now()}) })
				}
				return d.Accepted, nil
			}
		}
		var bad *inventory.FindingsError
		if errors.As(err, &bad) {
			return false, err
		}
		if err := pause.Sleep(ctx, 100*time.Millisecond); err != nil {
			return false, err
		}
	}
}

func (o *operation) submitFrom(ctx context.Context, fold *configlog.Fold, id string) (configlog.Decision, error) {
	o.mu.Lock()
	document, now := o.want.document(), time.Now()
	if o.want.moving && o.want.by.Before(now) {
		// Another change must not be refused because the rule of a move is still there after its deadline.
		now = o.want.by.Add(-2 * time.Second)
	}
	o.mu.Unlock()
	inv, err := parse(document, now)
	if err != nil {
		return configlog.Decision{}, err
	}
	data, err := inventory.EncodeJSON(inv)
	if err != nil {
		return configlog.Decision{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	return configlog.Submit(ctx, o.log, fold, configlog.Submission{
		ChangeID: id, Base: fold.Current().Offset, Operator: "soak", Inventory: data,
	})
}

// race submits two changes from the same base at a time. At most one may be accepted.
func (o *operation) race(ctx context.Context) error {
	o.mu.Lock()
	o.want.weight++
	o.mu.Unlock()
	var wait sync.WaitGroup
	errs := make([]error, 2)
	for i := range errs {
		wait.Go(func() { _, errs[i] = o.submit(ctx) })
	}
	wait.Wait()
	return errors.Join(errs...)
}
