package coordinator

import (
	"maps"
	"slices"
	"time"
)

// addressesFor returns the entries that the callers of each data centre get: those of their own, and one of the next data centre of the
// same region, so that they have a usable address when their whole data centre is down. Where no upstream can be used, because the
// data centre is evacuated or its upstreams are lost, each request would cross to another one; callers get the entries there then, and
// one of their own. The choice depends on its arguments only, because callers close connections to addresses that are no longer
// advertised.
func addressesFor(advertised map[string][]string, regions map[string]string, empty map[string]bool) map[string][]string {
	dataCentres := slices.Sorted(maps.Keys(advertised))
	out := make(map[string][]string, len(advertised))
	for i, dataCentre := range dataCentres {
		var others, usable []string
		for _, next := range slices.Concat(dataCentres[i+1:], dataCentres[:i]) {
			if regions[next] != regions[dataCentre] {
				continue
			}
			others = append(others, advertised[next]...)
			if !empty[next] {
				usable = append(usable, advertised[next]...)
			}
		}
		own := advertised[dataCentre]
		if empty[dataCentre] && len(usable) > 0 {
			out[dataCentre] = append(usable, own[0])
			continue
		}
		out[dataCentre] = append(slices.Clone(own), others[:min(1, len(others))]...)
	}
	return out
}

// emptyDelay is how long a data centre must have no usable upstream before its callers are sent elsewhere, because they open new
// connections then. A new leader knows no upstream until it has probed it.
const emptyDelay = time.Second

// emptyDataCentres finds the data centres that have had no usable upstream for emptyDelay, while others have some. It is used under
// leadership.publishing.
type emptyDataCentres struct {
	since map[string]time.Time // by data centre
}

// observe records the usable slots of the data centres that have upstreams, and reports which of them have had none
// for emptyDelay. It returns nil if no data centre has any.
func (e *emptyDataCentres) observe(now time.Time, slots map[string]int) map[string]bool {
	since := map[string]time.Time{}
	empty := map[string]bool{}
	total := 0
	for dataCentre, n := range slots {
		total += n
		if n > 0 {
			continue
		}
		since[dataCentre] = now
		if first, known := e.since[dataCentre]; known {
			since[dataCentre] = first
		}
		empty[dataCentre] = now.Sub(since[dataCentre]) >= emptyDelay
	}
	e.since = since
	if total == 0 {
		return nil
	}
	return empty
}
