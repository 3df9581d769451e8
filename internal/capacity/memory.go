package capacity

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// holdTime lets held calls reach their upstreams before memory is read.
const holdTime = 1500 * time.Millisecond

// measureMemory fits the memory of the entries to the numbers of connections and of calls that are held open. Memory
// is that of heap objects and stacks after a collection; the kernel's socket buffers are not in it.
func measureMemory(ctx context.Context, o Options, r *Report) error {
	for range o.Repeats {
		if err := measureIdleConnections(ctx, o, r); err != nil {
			return err
		}
		for _, c := range []struct {
			what, path string
			slots      int
			sizes      []int
			deliver    bool
		}{
			{"running calls", callPath("orders", 20000), 64, []int{100, 500, 1000}, false},
			{"queued calls", callPath("orders", 20000), 1, []int{100, 500, 1000}, false},
			{"streaming calls", "/archive/104857600", 16, []int{50, 100, 200}, true},
		} {
			for _, n := range c.sizes {
				if err := measureHeld(ctx, o, r, c.what, c.path, c.slots, n, c.deliver); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func measureIdleConnections(ctx context.Context, o Options, r *Report) error {
	for _, n := range []int{200, 1000, 2000} {
		w, err := o.newWorld(ctx, 6, 16)
		if err != nil {
			return err
		}
		before, err := w.read(commandCollect)
		if err == nil {
			var conns []net.Conn
			conns, err = openIdle(w.ingress.started.Callers, n)
			var after readings
			if err == nil {
				after, err = w.read(commandCollect)
			}
			addMemory(r, "idle connections", "ingress", n, before.ingress, after.ingress)
			for _, c := range conns {
				_ = c.Close()
			}
		}
		w.stop()
		if err != nil {
			return err
		}
	}
	return nil
}

// openIdle opens connections and sends one call on each, so that the buffers of the server exist.
func openIdle(address string, n int) (conns []net.Conn, err error) {
	for range n {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return conns, err
		}
		conns = append(conns, c)
		if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", callPath("lookups", 0)); err != nil {
			return conns, err
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return conns, err
		}
		_ = resp.Body.Close()
	}
	return conns, nil
}

func addMemory(r *Report, what, role string, n int, before, after Usage) {
	kiB := func(a, b uint64) float64 { return (float64(b) - float64(a)) / 1024 }
	r.add("memory", "in use for "+what+", "+role, "KiB", what, float64(n), kiB(before.InUse, after.InUse))
	r.add("memory", "resident for "+what+", "+role, "KiB", what, float64(n), kiB(before.Resident, after.Resident))
}

// measureHeld holds n calls open and reads the memory of ingress and owner. With deliver, the client reads the start
// of each response and then stops, so that the calls stream against a full connection.
func measureHeld(ctx context.Context, o Options, r *Report, what, path string, slotsEach, n int, deliver bool) error {
	w, err := o.newWorld(ctx, 25, slotsEach)
	if err != nil {
		return err
	}
	defer w.stop()
	before, err := w.read(commandCollect)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	client := newClient()
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for range n {
		wg.Go(func() { hold(ctx, client, "http://"+w.ingress.started.Callers+path, deliver) })
	}
	time.Sleep(holdTime)
	after, err := w.read(commandCollect)
	if err != nil {
		return err
	}
	addMemory(r, what, "ingress", n, before.ingress, after.ingress)
	addMemory(r, what, "owner", n, before.owner, after.owner)
	return nil
}

func hold(ctx context.Context, client *http.Client, url string, deliver bool) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return
	}
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	if deliver {
		<-ctx.Done()
	}
	_ = resp.Body.Close()
}
