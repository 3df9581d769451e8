package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"time"

	"boragehinge.example/boragehinge/platform/standin"
)

const settleTime = 4 * time.Second // above stabilityWindow

// small starts a deployment with the services, each with the given number of targets, and waits until its entries are in touch.
func (w *world) small(entries, targets int, services []string, routes ...route) error {
	w.putConfig(services, routes...)
	for _, s := range services {
		for i := range targets {
			if _, err := w.startTarget(fmt.Sprintf("%s-%d", s, i), s, fmt.Sprintf("z%d", i%3), 6); err != nil {
				return err
			}
		}
	}
	seeds := make([]string, 0, 3)
	for i := range min(3, entries) {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", w.network, 10+i, controlPort))
	}
	if err := w.startEntries(entries, seeds); err != nil {
		return err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// runsOf returns the runs of the requests of one path.
func (w *world) runsOf(path string) (out []run) {
	for _, r := range w.allRuns() {
		if r.path == path {
			out = append(out, r)
		}
	}
	return out
}

// headerLine is the grammar of a header line in RFC 9112: a token, a colon without white space before it, and a value.
var headerLine = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+:[ \t]*[\x20-\x7e\t]*$")

// spoiledAnswers is how many answers of targets are spoiled.
const spoiledAnswers = 20

// spoiledHeader: targets send header lines that HTTP doesn't allow.
func spoiledHeader(w *world, trouble bool) (int, error) {
	if err := w.small(3, 6, []string{"s"}, route{"safe", "safe", "s", "2s"}); err != nil {
		return cannotRun, err
	}
	lines := []string{"Content-Length : 5\r\n", "X-Cache Hit: 1\r\n"}
	bad, answered := 0, 0
	for i := range spoiledAnswers {
		line := "X-Cache-Hit: 1\r\n"
		if trouble {
			line = lines[i%len(lines)]
		}
		for _, t := range w.targets {
			t.mu.Lock()
			t.headers = line
			t.mu.Unlock()
		}
		c, err := net.DialTimeout("tcp", w.entries[i%3].front(), time.Second)
		if err != nil {
			return cannotRun, err
		}
		id := newID()
		_, _ = io.WriteString(c, requestText(http.MethodGet, "/safe/x?ms=20", id, 2*time.Second, ""))
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
		br := bufio.NewReader(c)
		status, err := br.ReadString('\n')
		if err != nil {
			w.note("client: %s ended without an answer: %v", id, err)
			_ = c.Close()
			continue
		}
		answered++
		var wrong []string
		for {
			line, err := br.ReadString('\n')
			line = strings.TrimSuffix(line, "\r\n")
			if err != nil || line == "" {
				break
			}
			if !headerLine.MatchString(line) {
				wrong = append(wrong, line)
			}
		}
		w.note("client: %s got %q, header lines that are none in HTTP/1.1: %q", id, strings.TrimSpace(status), wrong)
		if len(wrong) > 0 {
			bad++
		}
		_ = c.Close()
	}
	w.note("%d of %d answers to the clients were none in the protocol", bad, answered)
	if answered == 0 {
		return cannotRun, fmt.Errorf("no answer")
	}
	return verdict(bad > 0), nil
}

// smuggled: the length of a body stands in a header line with a space before its colon, and the body holds the text of a request.
func smuggled(w *world, trouble bool) (int, error) {
	if err := w.small(3, 6, []string{"s"}, route{"unsafe", "unsafe", "s", "2s"}); err != nil {
		return cannotRun, err
	}
	more := 0
	for i := range 10 {
		inner := requestText(http.MethodPost, "/unsafe/inner?ms=20", newID(), 2*time.Second, "Content-Length: 0\r\n")
		name := "Content-Length"
		if trouble {
			name = "Content-Length "
		}
		id := newID()
		c, err := net.DialTimeout("tcp", w.entries[i%3].front(), time.Second)
		if err != nil {
			return cannotRun, err
		}
		text := requestText(http.MethodPost, "/unsafe/outer?ms=20", id, 2*time.Second, fmt.Sprintf("%s: %d\r\n", name, len(inner))) + inner
		w.note("client: sends one request, %s: %q", id, text)
		_, _ = io.WriteString(c, text)
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		br := bufio.NewReader(c)
		answers := 0
		for {
			a := readAnswer(br, answer{id: id}, http.MethodPost)
			if a.status == 0 {
				break
			}
			answers++
			w.note("client: answer %d on the connection: %d %s %s", answers, a.status, a.stamp, a.problem)
		}
		if answers > 1 {
			more++
		}
		_ = c.Close()
	}
	inner := len(w.runsOf("/unsafe/inner"))
	w.note("10 requests were sent; targets ran %d requests from inside their bodies; %d clients got a second answer", inner, more)
	return verdict(inner > 0), nil
}

// encodedSlash: a path holds an encoded slash, so that only its decoded form begins with the prefix of another route.
func encodedSlash(w *world, trouble bool) (int, error) {
	w.putConfig([]string{"s", "t"})
	routes := []route{{"shop", "unsafe", "s", "2s"}, {"shop/admin", "unsafe", "t", "2s"}}
	if err := w.small(3, 3, []string{"s", "t"}, routes...); err != nil {
		return cannotRun, err
	}
	wrong := 0
	path := "/shop/admin-note?ms=20"
	if trouble {
		path = "/shop/admin%2Fnote?ms=20"
	}
	for i := range 20 {
		a := w.ask(w.entries[i%3].front(), http.MethodPost, path, 2*time.Second, "Content-Length: 0\r\n")
		if strings.HasPrefix(a.stamp, "t-") {
			wrong++
		}
	}
	w.note("%d of 20 requests for %s were run by service t; the only prefix that begins this path, /shop/, goes to s", wrong, path)
	return verdict(wrong > 0), nil
}

// gone: clients that have sent Connection: close leave before their deadline.
func gone(w *world, trouble bool) (int, error) {
	const targets, clients = 6, 24
	if err := w.small(3, targets, []string{"s"}, route{"safe", "safe", "s", "6s"}); err != nil {
		return cannotRun, err
	}
	var mu sync.Mutex
	closedAt := map[string]time.Time{}
	var wg sync.WaitGroup
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := net.DialTimeout("tcp", w.entries[i%3].front(), time.Second)
			if err != nil {
				w.note("client: %v", err)
				return
			}
			id := newID()
			w.note("client: sends %s", id)
			_, _ = io.WriteString(c, requestText(http.MethodGet, "/safe/x?ms=1800", id, 6*time.Second, "Connection: close\r\n"))
			if !trouble {
				_ = c.SetReadDeadline(time.Now().Add(6 * time.Second))
				a := readAnswer(bufio.NewReader(c), answer{id: id}, http.MethodGet)
				w.note("client: %s: %d", id, a.status)
			} else {
				time.Sleep(500 * time.Millisecond)
			}
			_ = c.Close()
			mu.Lock()
			closedAt[id] = time.Now()
			mu.Unlock()
			w.note("client: %s has closed its connection", id)
		}()
	}
	wg.Wait()
	time.Sleep(7 * time.Second)
	late, lasting, still := 0, 0, 0
	for _, r := range w.allRuns() {
		at := closedAt[r.id].Add(500 * time.Millisecond)
		if r.began.After(at) {
			late++
			continue
		}
		if r.began.Add(1800 * time.Millisecond).After(at) {
			lasting++
			if r.ended.After(at) {
				still++
			}
		}
	}
	w.note("%d requests reached a target over 0.5 s after their client had left; targets were still at work then on %d of %d that would have lasted so long", late, still, lasting)
	return verdict(late > fewRequests || 4*still > lasting), nil
}

// fewRequests is the "few" of rule GONE.
const fewRequests = 5

// drill: the store comes back from a copy made before an evacuation was acknowledged.
func drill(w *world, trouble bool) (int, error) {
	const writtenAgain = 4 * time.Second
	if err := w.small(4, 9, []string{"s"}, route{"safe", "safe", "s", "2s"}); err != nil {
		return cannotRun, err
	}
	stop := w.keepAsking(2, "/safe/x?ms=30", 2*time.Second)
	time.Sleep(2 * time.Second)
	backup := w.store.Backup()
	time.Sleep(500 * time.Millisecond)
	w.store.Put(standin.Operators, "evacuate/z0", []byte(`{"zone":"z0"}`))
	acked := time.Now()
	w.note("operator: evacuation of z0 acknowledged")
	time.Sleep(6 * time.Second)
	back := time.Now()
	if trouble {
		w.store.SetFaults(standin.Faults{Refuse: true})
		w.note("store: away")
		time.Sleep(400 * time.Millisecond)
		lost := w.store.Restore(backup)
		w.store.SetFaults(standin.Faults{})
		back = time.Now()
		w.note("store: back from a copy that is about 7 s old; Store-Era rises by one")
		w.mu.Lock()
		targets := w.targets
		w.mu.Unlock()
		for _, t := range targets {
			t.register()
		}
		time.Sleep(writtenAgain)
		w.store.PutAgain(lost)
		w.note("operator: evacuation of z0 written again")
	} else {
		time.Sleep(writtenAgain)
	}
	time.Sleep(2 * time.Second)
	stop()
	late, inTouch := 0, 0
	for _, t := range w.targets {
		if t.zone != "z0" {
			continue
		}
		for _, r := range t.runs {
			if r.began.Sub(acked) <= 5*time.Second {
				continue
			}
			late++
			if r.began.Sub(back) > 3*time.Second {
				inTouch++
			}
		}
	}
	w.note("%d requests reached z0 later than 5 s after the acknowledgement, %d of them over 3 s after the store was back", late, inTouch)
	return verdict(inTouch > 0), nil
}

func verdict(isBroken bool) int {
	if isBroken {
		return broken
	}
	return held
}
