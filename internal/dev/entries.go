package dev

import (
	"slices"

	"boragehinge.example/boragehinge/internal/logservice"
)

// List returns the entries of this moment.
func (in *Installation) List() []*Entry {
	in.mu.Lock()
	defer in.mu.Unlock()
	return slices.Clone(in.Entries)
}

// StopEntry stops one entry as planned and returns when it has ended. The host list shows it as leaving meanwhile, and
// without it afterwards. The error is that of the entry's run.
func (in *Installation) StopEntry(i int) error {
	e := in.List()[i]
	in.setHosts(e, logservice.HostLeaving)
	e.stop()
	<-e.ended
	in.setHosts(e, "")
	return e.err
}

// KillEntry ends one entry at once, without waiting for its calls, and returns when it has ended. Its host stays on the
// list.
func (in *Installation) KillEntry(i int) {
	e := in.List()[i]
	e.killed.Store(true)
	e.kill()
	e.stop()
	<-e.ended
}

// ReplaceEntry starts a new run of an entry that has ended, with the same host name and on free ports.
func (in *Installation) ReplaceEntry(i int) (*Entry, error) {
	o := in.options
	o.Ports.Callers = 0
	e, err := newEntry(o, i, in.List()[i].DataCentre, in.PlatformURL)
	if err != nil {
		return nil, err
	}
	in.mu.Lock()
	in.Entries[i] = e
	in.mu.Unlock()
	in.setHosts(nil, "")
	in.run(in.cutContext, e)
	return e, nil
}

// setHosts sets the host list. The state of one entry is given; an empty one leaves it out.
func (in *Installation) setHosts(changed *Entry, state logservice.HostState) {
	var hosts []logservice.Host
	for _, e := range in.List() {
		h := logservice.Host{Name: e.Host, DataCentre: e.DataCentre, Address: e.PeerAddress, State: logservice.HostLive}
		if e == changed {
			h.State = state
		}
		if h.State != "" {
			hosts = append(hosts, h)
		}
	}
	in.Platform.SetHosts(hosts)
}
