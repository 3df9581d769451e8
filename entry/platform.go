package entry

import (
	"context"
	"fmt"
	"maps"
	"time"

	"boragehinge.example/boragehinge/internal/logservice"
	"boragehinge.example/boragehinge/internal/membership"
	"boragehinge.example/boragehinge/internal/pause"
)

// platformAccess is how the entry reaches the platform. client is nil without one.
type platformAccess struct {
	log    logservice.Log
	hosts  logservice.HostList
	client *logservice.Client
}

// noPlatform stands for the platform when no URL is set: the entry learns everything from its peers.
type noPlatform struct{}

// Append implements logservice.Log.
func (noPlatform) Append(context.Context, []byte) (int64, error) {
	return 0, fmt.Errorf("%w: no platform URL is set", logservice.ErrUnavailable)
}

// Read implements logservice.Log.
func (noPlatform) Read(context.Context, int64, int, time.Duration) ([]logservice.Entry, error) {
	return nil, fmt.Errorf("%w: no platform URL is set", logservice.ErrUnavailable)
}

// Hosts implements logservice.HostList.
func (noPlatform) Hosts(context.Context) ([]logservice.Host, error) {
	return nil, fmt.Errorf("%w: no platform URL is set", logservice.ErrUnavailable)
}

func (e *Entry) connectPlatform() error {
	if e.set.PlatformUrl == "" {
		e.plat = platformAccess{log: noPlatform{}, hosts: noPlatform{}}
		return nil
	}
	c, err := logservice.NewClient(logservice.ClientSettings{URL: e.set.PlatformUrl, Timeout: e.opt.timeout, Backoff: e.opt.backoff})
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	e.plat = platformAccess{log: c, hosts: c, client: c}
	return nil
}

// followHosts reads the host list until ctx ends. The last list stays in force while the platform is away.
func (e *Entry) followHosts(ctx context.Context) {
	down := false
	for {
		hosts, err := e.plat.hosts.Hosts(ctx)
		if err == nil {
			e.takeHosts(hosts)
		}
		if failed := err != nil && ctx.Err() == nil; failed != down {
			down = failed
			e.log.Warn().Bool("reachable", !down).AnErr("error", err).Msg("host list")
		}
		if pause.Sleep(ctx, e.opt.hostsEvery) != nil {
			return
		}
	}
}

// takeHosts takes the host list. Upstream hosts on it are no entries, so they don't count for the roster.
func (e *Entry) takeHosts(list []logservice.Host) {
	before := e.leavingHosts()
	e.hosts.Store(&list)
	if !maps.Equal(before, e.leavingHosts()) {
		e.rebuild(e.follower.View())
	}
	snap := e.Snapshot()
	hosts := make([]logservice.Host, 0, len(list))
	for _, h := range list {
		if snap != nil {
			if _, upstream := snap.Upstream(h.Name); upstream {
				continue
			}
		}
		hosts = append(hosts, h)
	}
	e.follower.SetHosts(hosts)
	roster := make([]membership.Host, 0, len(hosts))
	for _, h := range hosts {
		roster = append(roster, membership.Host{
			Name: h.Name, DataCentre: h.DataCentre, PeerAddress: h.Address, Leaving: h.State == logservice.HostLeaving,
		})
	}
	e.node.SetRoster(roster)
}
