package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

const (
	explainRequestPath    = "/v1/explain-request"
	explainRequestTimeout = 5 * time.Second
	maxExplanationBytes   = 32 << 20
	// defaultMetrics is the address of the metrics of an entry on this host.
	defaultMetrics = "127.0.0.1:7670"
	metricsVar     = "BORAGEHINGE_METRICS"
)

func newExplainRequestCommand() *cobra.Command {
	var o outputFlag
	var addresses []string
	var dataCentre string
	var attempt int
	var requestBytes, responseBytes int64
	var account string
	c := &cobra.Command{
		Use:   "explain-request HOST PATH",
		Short: "Say where a request would go now on the platform, and why",
		Long: `Explain-request asks the entries of the platform (boragehinge-entry) where a request would go now: route, decision, the
upstreams that would be compared with their predicted latencies, and what excludes the others. The request is not sent. Any entry
with a metrics port can be asked; the answer is that of the leader, which places the requests of all. The sizes matter for the limit on
request bytes and for transfers between data centres, the account for its priority and its share of what is short.`,
		Example: `  boragehinge explain-request orders.example /checkout/17 --metrics 10.1.4.1:7670
  boragehinge explain-request orders.example /checkout/17 --data-centre abashiri -o json
  boragehinge explain-request orders.example /upload --request-bytes 360000 --account initech`,
		Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			q := url.Values{"host": {args[0]}, "path": {args[1]}, "attempt": {strconv.Itoa(attempt)}}
			if dataCentre != "" {
				q.Set("dataCentre", dataCentre)
			}
			if requestBytes < 0 || responseBytes < 0 {
				return errors.New("--request-bytes and --response-bytes must not be negative")
			}
			for name, size := range map[string]int64{"requestBytes": requestBytes, "responseBytes": responseBytes} {
				if size > 0 {
					q.Set(name, strconv.FormatInt(size, 10))
				}
			}
			if account != "" {
				q.Set("account", account)
			}
			if o == "json" {
				q.Set("format", "json")
			}
			answer, err := askFirst(cmd.Context(), addresses, explainRequestPath+"?"+q.Encode())
			if err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(answer)
			return err
		},
	}
	o.register(c)
	c.Flags().StringSliceVar(&addresses, "metrics", fromEnvironment(metricsVar, defaultMetrics),
		"addresses of the entries' metrics ports, tried in order; also "+metricsVar)
	c.Flags().StringVar(&dataCentre, "data-centre", "", "data centre of the entry that would receive the request; else that of the asked entry")
	c.Flags().IntVar(&attempt, "attempt", 1, "1 for the first attempt; later ones need the retry budget")
	c.Flags().Int64Var(&requestBytes, "request-bytes", 0, "size of the request's body; 0: none, or not known")
	c.Flags().Int64Var(&responseBytes, "response-bytes", 0, "size of the response; 0: not known")
	c.Flags().StringVar(&account, "account", "", "client account of the request")
	return c
}

// askFirst returns the answer of the first address that gives one.
func askFirst(ctx context.Context, addresses []string, pathAndQuery string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, explainRequestTimeout)
	defer cancel()
	var failures []error
	for _, address := range addresses {
		answer, err := ask(ctx, "http://"+address+pathAndQuery)
		if err == nil {
			return answer, nil
		}
		failures = append(failures, fmt.Errorf("%s: %w", address, err))
	}
	return nil, errors.Join(failures...)
}

func ask(ctx context.Context, target string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxExplanationBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(body)))
	}
	if strings.Contains(resp.Header.Get("Content-Type"), "version=") {
		return nil, errors.New("the leader runs an earlier version, which answers with its metrics")
	}
	return body, nil
}
