package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"boragehinge.example/boragehinge/client"
	"boragehinge.example/boragehinge/internal/emulator"
)

const recordsTimeout = 30 * time.Second

// readRecords compares the ends of the calls that are not idempotent with the execution records of the upstreams.
func readRecords(ctx context.Context, o Options, calls []*call) (*Records, error) {
	if len(o.Upstreams) == 0 {
		return nil, errors.New("the addresses of the upstreams are not given")
	}
	runs := map[string]emulator.Execution{}
	for _, upstream := range o.Upstreams {
		if err := addExecutions(ctx, upstream, runs); err != nil {
			return nil, fmt.Errorf("%s is no emulator or doesn't answer: %w", upstream, err)
		}
	}
	out := &Records{}
	for _, c := range calls {
		if !o.Kinds[c.kind].Idempotent && len(c.ids) > 0 {
			out.add(c, runs)
		}
	}
	return out, nil
}

func addExecutions(ctx context.Context, upstream string, into map[string]emulator.Execution) error {
	ctx, cancel := context.WithTimeout(ctx, recordsTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+upstream+"/-/executions?all", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close() //nolint:errcheck // read to the end or given up
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	var all map[string]emulator.Execution
	if err := json.NewDecoder(resp.Body).Decode(&all); err != nil {
		return err
	}
	for id, e := range all {
		sum := into[id]
		sum.Begun += e.Begun
		sum.Completed += e.Completed
		sum.Cancelled += e.Cancelled
		into[id] = sum
	}
	return nil
}

func (r *Records) add(c *call, runs map[string]emulator.Execution) {
	var sum emulator.Execution
	for _, id := range c.ids {
		sum.Begun += runs[id].Begun
		sum.Completed += runs[id].Completed
	}
	r.Calls++
	switch {
	case sum.Begun > 1:
		r.Doubled++
		r.example(c, "doubled", sum)
	case c.outcome == client.Done && sum.Completed == 0:
		r.Lost++
		r.example(c, "lost", sum)
	case c.outcome == client.NotRun && sum.Begun > 0:
		r.FalseNot++
		r.example(c, "run in spite of \"not run\"", sum)
	}
}

func (r *Records) example(c *call, what string, sum emulator.Execution) {
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, fmt.Sprintf("%s: %s begun %d, completed %d, IDs %v", what, c.path, sum.Begun, sum.Completed, c.ids))
	}
}
