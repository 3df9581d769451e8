package coordinator

import (
	"reflect"
	"time"
)

// clusterChanged publishes the cluster information after a follower joined, left or changed its state: at once, or together with
// later changes if there are many followers and the last broadcast was just now.
func (l *leadership) clusterChanged(now time.Time) {
	l.mu.Lock()
	l.clusterInfoDue = true
	l.mu.Unlock()
	l.publishDueClusterInfo(now)
}

func (l *leadership) publishDueClusterInfo(now time.Time) {
	l.publishing.Lock()
	defer l.publishing.Unlock()
	l.mu.Lock()
	pause := time.Duration(len(l.followers)) * clusterInfoPause
	due := l.clusterInfoDue && (pause < tickInterval || now.Sub(l.clusterInfoAt) >= pause)
	l.mu.Unlock()
	if due {
		l.broadcastClusterInfo(now)
	}
}

// publishClusterInfo selects the entries to advertise to callers, and sends the result to the followers that lack it.
func (l *leadership) publishClusterInfo(now time.Time) {
	l.publishing.Lock()
	defer l.publishing.Unlock()
	l.broadcastClusterInfo(now)
}

// broadcastClusterInfo does the work of publishClusterInfo. The caller holds l.publishing.
func (l *leadership) broadcastClusterInfo(now time.Time) {
	l.mu.Lock()
	l.clusterInfoAt, l.clusterInfoDue = now, false
	l.mu.Unlock()
	empty := l.empty.observe(now, l.coordinator.SlotsByDataCentre())
	advertised, demand := l.updateAdvertised(now, l.rate.observe(now, l.coordinator.Served()), empty)
	self := l.node.o.Self
	info := &ClusterInfo{Leader: self.Peer, LeaderCallers: self.Callers, Callers: addressesFor(advertised, l.node.o.Regions, empty)}
	if l.clusterInfo == nil || !reflect.DeepEqual(l.clusterInfo, info) {
		l.clusterInfo = info
	}
	l.node.setClusterInfo(l.clusterInfo)
	for _, f := range l.currentFollowers() {
		l.sendClusterInfo(f)
	}
	l.shareDemand(demand)
}

// sendClusterInfo sends a follower the current cluster information, unless it has that. Followers of earlier versions need it again and
// again, because they use it for clusterInfoTTL only. The caller holds l.publishing.
func (l *leadership) sendClusterInfo(f *follower) {
	info := l.clusterInfo
	if f.clusterInfo == info && f.keepsClusterInfo.Load() {
		return
	}
	f.clusterInfo = info
	f.link.Queue(func(frame *Frame) { frame.ClusterInfo = info })
}

// shareDemand tells a changed demand to the followers that may lead next, and keeps it for the time after this leadership. The caller
// holds l.publishing.
func (l *leadership) shareDemand(demand Demand) {
	l.node.learnDemand(demand)
	for _, f := range l.currentFollowers() {
		if f.demand != demand && l.receivesUpstreams(f) {
			f.demand = demand
			f.link.Queue(func(frame *Frame) { frame.Demand = &demand })
		}
	}
}
