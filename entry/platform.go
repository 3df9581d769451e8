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

// platformAccess holds the clients of the platform. client is nil if no platform URL is set.
type platformAccess struct {
	log    logservice.Log
	hosts  logservice.HostList
	client *logservice.Client
}

// noPlatform replaces the platform when no URL is set. The entry then gets all its state from its peers.
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
	if e.settings.PlatformUrl == "" {
		e.platform = platformAccess{log: noPlatform{}, hosts: noPlatform{}}
		return nil
	}
	c, err := logservice.NewClient(logservice.ClientSettings{URL: e.settings.PlatformUrl, Timeout: e.opt.platformTimeout, Backoff: e.opt.backoff})
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	e.platform = platformAccess{log: c, hosts: c, client: c}
	return nil
}

// pollHostList polls the host list until ctx ends. The last list stays in force while the platform is unavailable.
func (e *Entry) pollHostList(ctx context.Context) {
	down := false
	for {
		hosts, err := e.platform.hosts.Hosts(ctx)
		if err == nil {
			e.applyHostList(hosts)
		}
		if failed := err != nil && ctx.Err() == nil; failed != down {
			down = failed
			e.log.Warn().Bool("reachable", !down).AnErr("error", err).Msg("host list reachability changed")
		}
		if pause.Sleep(ctx, e.opt.hostListInterval) != nil {
			return
		}
	}
}

// applyHostList applies a new host list. Upstream hosts on it aren't entries, so they are left out of the roster.
func (e *Entry) applyHostList(list []logservice.Host) {
	before := e.leavingHosts()
	e.hosts.Store(&list)
	if !maps.Equal(before, e.leavingHosts()) {
		e.rebuildConfiguration(e.follower.View())
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
	local := int64(1) // this entry
	for _, h := range hosts {
		if h.DataCentre == e.settings.DataCentre && h.Name != e.settings.Host {
			local++
		}
		roster = append(roster, membership.Host{
			Name: h.Name, DataCentre: h.DataCentre, PeerAddress: h.Address, Leaving: h.State == logservice.HostLeaving,
		})
	}
	e.node.SetRoster(roster)
	e.joining.hosts.Store(local)
}
