package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"
)

const (
	addressPath      = "/.well-known/boragehinge/addresses"
	addressTimeout   = 2 * time.Second
	maxAddressAnswer = 64 << 10
	// staleLimit bounds the use of an answer past its time while no entry answers. Request-ID prefixes are accepted for
	// 10 minutes; a longer use would end in unknown outcomes.
	staleLimit = 2 * time.Minute
	minKeep    = time.Second
	maxKeep    = 5 * time.Minute
	// avoidTime is how long an address that failed is used only when no other is left.
	avoidTime = 2 * time.Second
)

// Address is an address of a service.
type Address struct {
	Address         string `json:"address"`
	DataCentre      string `json:"dataCentre"`
	RequestIDPrefix string `json:"requestIdPrefix,omitempty"`
}

type addressAnswer struct {
	Addresses   []Address `json:"addresses"`
	KeepSeconds int       `json:"keepSeconds"`
}

// directory keeps the addresses of one service. It is safe for concurrent use.
type directory struct {
	settings Settings
	now      func() time.Time

	refreshing sync.Mutex // held during a request, so that one caller asks and the others wait for its answer

	mu      sync.Mutex
	list    []Address
	expires time.Time
	avoid   map[string]time.Time
	next    int // rotates over the addresses
	ask     int // rotates over the entries
}

// addresses returns the addresses in force, and asks an entry when there are none or they have expired.
func (d *directory) addresses(ctx context.Context) ([]Address, error) {
	if list, ok := d.fresh(); ok {
		return list, nil
	}
	d.refreshing.Lock()
	defer d.refreshing.Unlock()
	if list, ok := d.fresh(); ok {
		return list, nil
	}
	answer, err := d.request(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.list = answer.Addresses
		keep := min(max(time.Duration(answer.KeepSeconds)*time.Second, minKeep), maxKeep)
		d.expires = d.now().Add(keep)
		return d.list, nil
	}
	if len(d.list) > 0 && d.now().Before(d.expires.Add(staleLimit)) {
		return d.list, nil
	}
	return nil, err
}

func (d *directory) fresh() ([]Address, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list, len(d.list) > 0 && d.now().Before(d.expires)
}

// request asks the known addresses and the entries of the settings in turn, each time from another one on.
func (d *directory) request(ctx context.Context) (addressAnswer, error) {
	var failures []error
	for _, entry := range d.toAsk() {
		answer, err := d.requestOne(ctx, entry)
		if err == nil {
			return answer, nil
		}
		failures = append(failures, fmt.Errorf("%s: %w", entry, err))
		if ctx.Err() != nil {
			break
		}
	}
	return addressAnswer{}, fmt.Errorf("no entry tells the addresses of %s: %w", d.settings.Service, errors.Join(failures...))
}

func (d *directory) toAsk() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	seen := map[string]bool{}
	n := len(d.settings.Entries)
	for i := range n {
		entry := d.settings.Entries[(d.ask+i)%n]
		out, seen[entry] = append(out, entry), true
	}
	d.ask++
	for _, a := range d.list {
		if !seen[a.Address] {
			out, seen[a.Address] = append(out, a.Address), true
		}
	}
	return out
}

func (d *directory) requestOne(ctx context.Context, entry string) (addressAnswer, error) {
	var out addressAnswer
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	target := "http://" + entry + addressPath + "?service=" + url.QueryEscape(d.settings.Service)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return out, err
	}
	resp, err := d.settings.Transport.RoundTrip(r)
	if err != nil {
		return out, err
	}
	defer resp.Body.Close() //nolint:errcheck // read to the end or given up
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAddressAnswer))
	if err != nil {
		return out, err
	}
	if resp.StatusCode != http.StatusOK {
		return out, fmt.Errorf("status %d", resp.StatusCode)
	}
	if err := json.Unmarshal(data, &out); err != nil {
		return out, err
	}
	if len(out.Addresses) == 0 {
		return out, errors.New("the answer holds no address")
	}
	return out, nil
}

// pick returns the address for the next attempt: the nearest data centre's in turn, without those that failed a moment
// ago or were tried for this call, as long as others are left.
func (d *directory) pick(list []Address, tried map[string]bool) Address {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	groups := [3][]Address{}
	for _, a := range list {
		switch {
		case tried[a.Address] || now.Before(d.avoid[a.Address]):
			groups[2] = append(groups[2], a)
		case d.settings.AllDataCentres || a.DataCentre == list[0].DataCentre:
			groups[0] = append(groups[0], a)
		default:
			groups[1] = append(groups[1], a)
		}
	}
	for i, g := range groups {
		switch {
		case len(g) == 0:
			continue
		case i == 1:
			return g[0] // the answer is sorted by distance
		}
		d.next++
		return g[d.next%len(g)]
	}
	return Address{}
}

// failed records that an attempt to an address failed.
func (d *directory) failed(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for a, until := range d.avoid {
		if now.After(until) {
			delete(d.avoid, a)
		}
	}
	d.avoid[address] = now.Add(avoidTime)
}
