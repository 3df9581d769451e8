package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	topicOperators = "keyed.op"
	topicUpstreams = "keyed.servers"
	newestPage     = 500
)

type logRecord struct {
	key   string
	value []byte
}

type logTopic struct {
	records []logRecord
	newest  map[string]int64
}

// store is a stand-in of the platform's store without faults.
type store struct {
	mu      sync.Mutex
	topics  map[string]*logTopic
	changed chan struct{}
}

func newStore() *store { return &store{topics: map[string]*logTopic{}, changed: make(chan struct{})} }

func (s *store) topic(name string) *logTopic {
	t := s.topics[name]
	if t == nil {
		t = &logTopic{newest: map[string]int64{}}
		s.topics[name] = t
	}
	return t
}

// put appends a record; an empty value removes the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topic, []logRecord{{key, value}})
}

// append appends records. The caller holds s.mu.
func (s *store) append(topic string, records []logRecord) int64 {
	t := s.topic(topic)
	first := int64(len(t.records))
	for _, r := range records {
		t.newest[r.key] = int64(len(t.records))
		if len(r.value) == 0 {
			delete(t.newest, r.key)
		}
		t.records = append(t.records, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return first
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.handleAppend)
	mux.HandleFunc("GET /api/log-read", s.handleRead)
	mux.HandleFunc("GET /api/log-newest", s.handleNewest)
	return mux
}

func (s *store) handleAppend(w http.ResponseWriter, req *http.Request) {
	topic, at := req.URL.Query().Get("topic"), req.URL.Query().Get("at")
	body, err := io.ReadAll(req.Body)
	if err != nil || topic == topicOperators || topic == topicUpstreams {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records []logRecord
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || len(body) < 4+n || n < 1+int(body[4]) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		record := body[4 : 4+n]
		key := 1 + int(record[0])
		records = append(records, logRecord{string(record[1:key]), record[key:]})
		body = body[4+n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(s.topic(topic).records))
	if at != "" && at != strconv.FormatInt(end, 10) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int64{"end": end})
		return
	}
	first := s.append(topic, records)
	writeJSON(w, http.StatusOK, map[string]int64{"offset": first, "end": first + int64(len(records))})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the entry repeats the call
}

func (s *store) handleRead(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		t, changed := s.topic(q.Get("topic")), s.changed
		end := int64(len(t.records))
		if from > end {
			s.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]int64{"first": 0})
			return
		}
		if from < end || !waiting {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, r := range t.records[from:] {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
				out = append(out, byte(len(r.key)))
				out = append(out, r.key...)
				out = append(out, r.value...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out) // the entry repeats the call
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-req.Context().Done():
			return
		}
	}
}

func (s *store) handleNewest(w http.ResponseWriter, req *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	after := req.URL.Query().Get("after")
	s.mu.Lock()
	t := s.topic(req.URL.Query().Get("topic"))
	items := []item{}
	for key, offset := range t.newest {
		if key > after {
			items = append(items, item{key, t.records[offset].value, offset})
		}
	}
	end := len(t.records)
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > newestPage
	if more {
		items = items[:newestPage]
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "end": end})
}

// value returns the newest value of a key.
func (s *store) value(topic, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topic)
	offset, known := t.newest[key]
	if !known {
		return nil
	}
	return t.records[offset].value
}
