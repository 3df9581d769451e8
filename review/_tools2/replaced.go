package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"
)

// goneMachines is how many machines were removed in the life of the deployment.
const goneMachines = 700

// silentPeer is the address of a machine that is gone. Loopback has no address that doesn't answer, so it takes connections and says nothing.
func (w *world) silentPeer(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, c); _ = c.Close() }()
		}
	}()
	return nil
}

// replaced: the leader stops answering, after many machines were removed for good and replaced by others in the life of the deployment.
func replaced(w *world, trouble bool) (int, error) {
	var second, third int
	if _, err := fmt.Sscanf(w.network, "127.%d.%d", &second, &third); err != nil {
		return cannotRun, err
	}
	for i := range goneMachines {
		address := fmt.Sprintf("127.%d.%d.%d", 20+(second+third)%30, 1+i/250, 1+i%250)
		if err := w.silentPeer(fmt.Sprintf("%s:%d", address, controlPort)); err != nil {
			return cannotRun, err
		}
		name := fmt.Sprintf("front-z%d-old-%d", i%3, i)
		value, err := json.Marshal(map[string]any{"Name": name, "DataCentre": fmt.Sprintf("z%d", i%3),
			"Callers": fmt.Sprintf("%s:%d", address, frontPort), "Peer": fmt.Sprintf("%s:%d", address, controlPort), "CPUShare": 0.32})
		if err != nil {
			return cannotRun, err
		}
		w.store.Put("keyed.entries", name, value)
	}
	w.note("the store holds the records that %d removed entries have left", goneMachines)
	if err := w.small(6, 6, []string{"s", "t"}, route{"moved", "safe", "s", "1s"}); err != nil {
		return cannotRun, err
	}
	l := w.leader()
	if l == nil {
		return cannotRun, fmt.Errorf("no entry leads")
	}
	stop := w.keepAsking(1, "/moved/x?ms=20", 500*time.Millisecond)
	time.Sleep(5 * time.Second)
	if trouble {
		l.signal(syscall.SIGSTOP)
		w.note("%s, which leads, stops answering", l.name)
	}
	w.putConfig([]string{"s", "t"}, route{"moved", "safe", "t", "1s"})
	acked := time.Now()
	time.Sleep(7 * time.Second)
	n, last := lateOld(stop(), acked, func(e *entry, _ time.Time) bool { return e != l || !trouble })
	w.note("%d requests that were sent over 2 s after the acknowledgement to machines in touch were run by the old service; the last %.2f s after it", n, last.Seconds())
	return verdict(n > 0), nil
}
