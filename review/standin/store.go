package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Topics of the platform's store with a key in each record.
const (
	operators = "keyed.op"
	upstreams = "keyed.servers"
)

// store is a stand-in of the platform's metadata store: a log in memory, whose calls are executed one after the other.
type store struct {
	listener net.Listener

	mu      sync.Mutex
	topics  map[string][]storedRecord
	changed chan struct{} // closed at each append
}

type storedRecord struct {
	key   string
	value []byte
}

func startStore(ip string) (*store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, topics: map[string][]storedRecord{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.handleAppend)
	mux.HandleFunc("GET /api/log-read", s.handleRead)
	mux.HandleFunc("GET /api/log-newest", s.handleNewest)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put appends a record as the operator or a upstream does. An empty value removes the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topic, []storedRecord{{key, value}})
}

// append is for callers that hold s.mu.
func (s *store) append(topic string, records []storedRecord) {
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	topic, at := r.URL.Query().Get("topic"), r.URL.Query().Get("at")
	body, err := io.ReadAll(r.Body)
	if err != nil || topic == operators || topic == upstreams {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	time.Sleep(4 * time.Millisecond) // the time of an append in the pages' example
	s.mu.Lock()
	offset := len(s.topics[topic])
	ok := at == "" || at == strconv.Itoa(offset)
	if ok {
		s.append(topic, decodeRecords(body))
	}
	end := len(s.topics[topic])
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": offset, "end": end})
}

func decodeRecords(body []byte) []storedRecord {
	var out []storedRecord
	for len(body) >= 5 {
		n := int(binary.BigEndian.Uint32(body))
		content := body[4 : 4+n]
		body = body[4+n:]
		k := int(content[0])
		out = append(out, storedRecord{string(content[1 : 1+k]), content[1+k:]})
	}
	return out
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.topics[q.Get("topic")], s.changed
		s.mu.Unlock()
		if from < len(records) || wait == 0 {
			_, _ = w.Write(encodeRecords(records, from))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func encodeRecords(records []storedRecord, from int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0) // the first retained offset
	for _, r := range records[min(from, len(records)):] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(out, byte(len(r.key)))
		out = append(out, r.key...)
		out = append(out, r.value...)
	}
	return out
}

// maxItems is the number of records in a page of the newest records.
const maxItems = 500

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	after := r.URL.Query().Get("after")
	newest := map[string]item{}
	s.mu.Lock()
	records := s.topics[r.URL.Query().Get("topic")]
	s.mu.Unlock()
	for offset, record := range records {
		delete(newest, record.key)
		if len(record.value) > 0 && record.key > after {
			newest[record.key] = item{record.key, record.value, offset}
		}
	}
	items := make([]item, 0, len(newest))
	for _, i := range newest {
		items = append(items, i)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > maxItems
	items = items[:min(maxItems, len(items))]
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "hasMore": more, "end": len(records)})
}
