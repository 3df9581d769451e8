package main

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// rounds is the number of downloads with requests behind them.
	rounds = 14
	// behind is the number of safe requests that a caller sends before the download is answered.
	behind = 3
	// downloadBytes is within the sizes of the site's downloads, which go up to 540,000 bytes.
	downloadBytes = 300_000
	// maxUnanswered is the number of requests that the rule lets a machine leave unanswered.
	maxUnanswered = 3
)

// upstreamCount is the number of upstreams. Three of them break answers off, which is within the share of garble (.5).
const upstreamCount = 7

// pipeline: callers send safe requests behind a download on a kept connection. Some upstreams break off one answer in a hundred.
func pipeline(w *world) (bool, error) {
	tickRoutes = append(tickRoutes,
		route{name: "pull", prefix: "/pull/", kind: "download", timeout: "3s", slo: "1500ms", maxAttempts: 2},
		route{name: "list", prefix: "/list/", kind: "safe", timeout: "3s", slo: "1000ms", maxAttempts: 2})
	if err := w.deploy(3, upstreamCount); err != nil {
		return false, err
	}
	for _, u := range w.upstreams[:3] {
		u.setGrey()
	}
	traffic := w.startTraffic(20, 150*time.Millisecond, http.MethodPost, usualPath, tickDeadline)
	time.Sleep(2 * time.Second)
	unanswered := 0
	for range rounds {
		n, err := w.pipelineRound(w.entries[1])
		if err != nil {
			return false, err
		}
		unanswered += n
		time.Sleep(500 * time.Millisecond)
	}
	traffic.end()
	w.note("%s passed %d requests on to sound upstreams and closed their connections without an answer; the rule lets %d pass",
		w.entries[1].name, unanswered, maxUnanswered)
	return unanswered > maxUnanswered, nil
}

// pipelineRound sends a download and safe requests behind it, and returns how many of the latter a sound upstream has run to its
// end without their caller getting an answer.
func (w *world) pipelineRound(e *entry) (int, error) {
	conn, err := dialEntry(e.address(e.front))
	if err != nil {
		return 0, err
	}
	defer conn.nc.Close()
	if r := conn.do(http.MethodGet, "/list/first?ms=20", newID(), tickDeadline, ""); r.status != http.StatusOK {
		w.note("first request of a connection: %s", r)
		return 0, nil
	}
	cut := ""
	if w.trouble {
		cut = "&cut=1"
	}
	ids := []string{newID()}
	text := getText(fmt.Sprintf("/pull/map?ms=60&bytes=%d%s", downloadBytes, cut), ids[0])
	for i := range behind {
		ids = append(ids, newID())
		text += getText(fmt.Sprintf("/list/bins-%d?ms=30", i), ids[i+1])
	}
	sent := time.Now()
	_ = conn.nc.SetDeadline(sent.Add(tickDeadline))
	if _, err := io.WriteString(conn.nc, text); err != nil {
		return 0, err
	}
	answered, end := 0, ""
	for range ids {
		resp, err := http.ReadResponse(conn.br, &http.Request{Method: http.MethodGet})
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		if err != nil {
			end = fmt.Sprintf(", then the connection ends after %.3f s (%v)", time.Since(sent).Seconds(), err)
			break
		}
		answered++
	}
	time.Sleep(200 * time.Millisecond)
	lost := 0
	for _, id := range ids[max(1, answered):] {
		for _, r := range w.runsOf(id) {
			if r.result == "200 OK" && !w.isGrey(r.upstream) {
				lost++
				break
			}
		}
	}
	w.note("download %s with %d safe requests behind it sent to %s: %d of %d answered%s; %d of the unanswered had been run to their end by sound upstreams",
		ids[0], behind, e.name, answered, len(ids), end, lost)
	return lost, nil
}

// getText is a GET request of a caller.
func getText(path, id string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nX-Boragehinge-Request-Id: %s\r\nX-Boragehinge-Deadline-Ms: %d\r\n\r\n", path, host, id, tickDeadline.Milliseconds())
}

// isGrey reports whether the upstream with an ID breaks off or fails answers.
func (w *world) isGrey(id string) bool {
	for _, u := range w.upstreams {
		u.mu.Lock()
		same, grey := u.id == id, u.grey
		u.mu.Unlock()
		if same {
			return grey
		}
	}
	return false
}
