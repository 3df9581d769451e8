package capacity

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"

	"boragehinge.example/boragehinge/inventory"
)

// process is a running process of an experiment. Only the measuring command links this package: the product starts no
// process, which the check script verifies.
type process struct {
	cmd     *exec.Cmd
	in      io.WriteCloser
	out     *bufio.Reader
	started roleStarted
}

// processCores bounds the cores of each process, since other work shares the machine.
const processCores = "2"

func (o Options) start(ctx context.Context, set roleSettings) (*process, error) {
	cmd := exec.CommandContext(ctx, o.Role[0], o.Role[1:]...) //nolint:gosec // the program itself
	cmd.Env = append(os.Environ(), "GOMAXPROCS="+processCores)
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start a process: %w", err)
	}
	p := &process{cmd: cmd, in: in, out: bufio.NewReader(out)}
	if err := json.NewEncoder(in).Encode(set); err != nil {
		p.stop()
		return nil, fmt.Errorf("settings of a process: %w", err)
	}
	if err := p.answer(&p.started); err != nil {
		p.stop()
		return nil, err
	}
	return p, nil
}

func (p *process) answer(v any) error {
	line, err := p.out.ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("answer of a process: %w", err)
	}
	return json.Unmarshal(line, v)
}

func (p *process) ask(command string) (Usage, error) {
	var u Usage
	if _, err := fmt.Fprintln(p.in, command); err != nil {
		return u, fmt.Errorf("command to a process: %w", err)
	}
	return u, p.answer(&u)
}

func (p *process) stop() {
	_ = p.in.Close()
	_ = p.cmd.Wait()
}

// world is a set of processes: upstreams, their owner and an ingress that forwards to it.
type world struct {
	upstreams, owner, ingress *process
	closers                   []func() // of what else belongs to it
}

func (o Options) newWorld(ctx context.Context, count, slotsEach int) (*world, error) {
	w := &world{}
	var err error
	if w.upstreams, err = o.start(ctx, roleSettings{Role: "upstreams", Count: count, Slots: slotsEach}); err != nil {
		return nil, err
	}
	set := roleSettings{Role: "entry", Slots: slotsEach, PoolSize: inventory.MaxShardUpstreams, Addresses: w.upstreams.started.Addresses}
	if w.owner, err = o.start(ctx, set); err != nil {
		w.stop()
		return nil, err
	}
	set = roleSettings{Role: "entry", Owner: w.owner.started.Peers, Pools: w.owner.started.Pools}
	if w.ingress, err = o.start(ctx, set); err != nil {
		w.stop()
		return nil, err
	}
	return w, nil
}

func (w *world) stop() {
	for _, p := range []*process{w.ingress, w.owner, w.upstreams} {
		if p != nil {
			p.stop()
		}
	}
	for _, f := range w.closers {
		f()
	}
}

// readings are the usages of all processes at one moment; the client is this process.
type readings struct{ client, ingress, owner, upstreams Usage }

func (w *world) read(command string) (readings, error) {
	r := readings{client: usage(command == commandCollect)}
	var err error
	if r.ingress, err = w.ingress.ask(command); err != nil {
		return r, err
	}
	if r.owner, err = w.owner.ask(command); err != nil {
		return r, err
	}
	r.upstreams, err = w.upstreams.ask(command)
	return r, err
}
