package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	recordBytes     = 262144
	callBytes       = 2097152
	storeDelay      = 4 * time.Millisecond
	newestPageItems = 500
	newestPageBytes = 1 << 20
	repeatable      = 5
	pollStep        = 5 * time.Millisecond
)

// store is a stand-in of the platform's metadata store: a log with topics, keyed topics and one group.
type store struct {
	parts int

	mu     sync.Mutex
	topics map[string]*part
	// changed is closed and replaced with each append.
	changed chan struct{}
	group   group
	// tooLarge counts the appends that were refused because a record or the call was too large, largest is the largest such record.
	tooLarge, largest atomic.Int64
}

// part is one partition of a topic. Its epoch and sequence are those of the newest producer.
type part struct {
	records [][]byte
	newest  map[string]int
	epochs  map[string]*producer
}

type producer struct {
	epoch, next uint64
	first       map[uint64]uint64
}

func newStore(parts int) *store {
	s := &store{parts: parts, topics: map[string]*part{}, changed: make(chan struct{})}
	s.group.members = map[string]*member{}
	s.group.holder = map[int]string{}
	s.group.target = map[int]string{}
	s.group.since = map[int]uint64{}
	return s
}

func (s *store) part(topic, number string) *part {
	key := topic + "/" + number
	p := s.topics[key]
	if p == nil {
		p = &part{newest: map[string]int{}, epochs: map[string]*producer{}}
		s.topics[key] = p
	}
	return p
}

func splitKeyed(record []byte) (key string, value []byte) {
	n := int(record[0])
	return string(record[1 : 1+n]), record[1+n:]
}

// add appends a record; the caller holds s.mu.
func (s *store) add(topic string, p *part, record []byte) {
	p.records = append(p.records, record)
	if strings.HasPrefix(topic, "keyed.") {
		key, value := splitKeyed(record)
		if len(value) == 0 {
			delete(p.newest, key)
		} else {
			p.newest[key] = len(p.records) - 1
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a record as the operator and the workers do; a nil value drops the key.
func (s *store) put(topic, key string, value any) {
	record := append([]byte{byte(len(key))}, key...)
	if value != nil {
		encoded, _ := json.Marshal(value)
		record = append(record, encoded...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, s.part(topic, "0"), record)
}

// newestValue returns the newest value of a key.
func (s *store) newestValue(topic, number, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, number)
	if i, ok := p.newest[key]; ok {
		_, value := splitKeyed(p.records[i])
		return value
	}
	return nil
}

func answer(w http.ResponseWriter, status int, body any) {
	encoded, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

// handler returns the handler of the store.
func (s *store) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		switch r.URL.Path {
		case "/-/log-append":
			time.Sleep(storeDelay)
			s.append(w, r, body)
		case "/-/log-read":
			s.read(w, r)
		case "/-/log-newest":
			time.Sleep(storeDelay)
			s.listNewest(w, r)
		case "/-/log-join":
			time.Sleep(storeDelay)
			s.join(w, body)
		case "/-/log-leave":
			s.leave(w, body)
		case "/-/log-owners":
			s.owners(w)
		case "/-/log-commit", "/-/log-trim":
			answer(w, http.StatusOK, struct{}{})
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
}

func (s *store) append(w http.ResponseWriter, r *http.Request, body []byte) {
	query := r.URL.Query()
	topic := query.Get("topic")
	var records [][]byte
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 || uint64(len(rest)-4) < uint64(binary.BigEndian.Uint32(rest)) {
			answer(w, http.StatusBadRequest, map[string]string{"reason": "length"})
			return
		}
		n := int(binary.BigEndian.Uint32(rest))
		records = append(records, slices.Clone(rest[4:4+n]))
		rest = rest[4+n:]
		if n > recordBytes {
			s.tooLarge.Add(1)
			s.largest.Store(max(s.largest.Load(), int64(n)))
			answer(w, http.StatusBadRequest, map[string]string{"reason": "record_bytes"})
			return
		}
	}
	if len(body) > callBytes {
		s.tooLarge.Add(1)
		answer(w, http.StatusBadRequest, map[string]string{"reason": "call_bytes"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, query.Get("part"))
	if at := query.Get("at"); at != "" {
		if n, _ := strconv.ParseUint(at, 10, 64); n != uint64(len(p.records)) {
			answer(w, http.StatusPreconditionFailed, map[string]int{"end": len(p.records)})
			return
		}
	}
	offset := uint64(len(p.records))
	if name := query.Get("producer"); name != "" {
		epoch, _ := strconv.ParseUint(query.Get("epoch"), 10, 64)
		sequence, _ := strconv.ParseUint(query.Get("seq_no"), 10, 64)
		pr := p.epochs[name]
		switch {
		case pr == nil || epoch > pr.epoch:
			pr = &producer{epoch: epoch, next: sequence, first: map[uint64]uint64{}}
			p.epochs[name] = pr
		case epoch < pr.epoch:
			answer(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if first, ok := pr.first[sequence]; ok {
			answer(w, http.StatusOK, map[string]uint64{"offset": first, "end": first + uint64(len(records))})
			return
		}
		if sequence != pr.next {
			answer(w, http.StatusConflict, map[string]any{"reason": "seq", "expected": pr.next})
			return
		}
		pr.next++
		pr.first[sequence] = offset
		delete(pr.first, sequence-repeatable)
	}
	for _, record := range records {
		s.add(topic, p, record)
	}
	answer(w, http.StatusOK, map[string]uint64{"offset": offset, "end": uint64(len(p.records))})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	limit := 1024 << 10
	if kb, err := strconv.Atoi(query.Get("max_kb")); err == nil {
		limit = kb << 10
	}
	time.Sleep(storeDelay)
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	over := wait == 0
	for {
		s.mu.Lock()
		p, changed := s.part(query.Get("topic"), query.Get("part")), s.changed
		end := uint64(len(p.records))
		var records [][]byte
		if from < end {
			records = p.records[from:]
		}
		s.mu.Unlock()
		if len(records) > 0 || over {
			out := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, end), 0)
			for i, record := range records {
				if i > 0 && len(out)+len(record) > limit {
					break
				}
				out = append(binary.BigEndian.AppendUint32(out, uint32(len(record))), record...)
			}
			w.Header().Set("Content-Type", "application/octet-stream")
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) listNewest(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(query.Get("topic"), query.Get("part"))
	items := []map[string]any{}
	size, more := 0, false
	for _, key := range slices.Sorted(maps.Keys(p.newest)) {
		if key <= query.Get("after") && query.Get("after") != "" {
			continue
		}
		_, value := splitKeyed(p.records[p.newest[key]])
		if len(items) == newestPageItems || size+len(value) > newestPageBytes && len(items) > 0 {
			more = true
			break
		}
		size += len(value)
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": p.newest[key]})
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": len(p.records)})
}

// group is the one group of the store. A partition passes to its target when its holder has joined with the generation that took
// it away, has left, or has sent nothing for its time to live.
type group struct {
	generation uint64
	topic      string
	members    map[string]*member
	holder     map[int]string
	target     map[int]string
	// since holds the generation in which the target of a partition last changed.
	since map[int]uint64
}

type member struct {
	expires    time.Time
	generation uint64
}

type joinBody struct {
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTLMS      int64    `json:"ttl_ms"`
	Generation uint64   `json:"generation"`
}

func (s *store) join(w http.ResponseWriter, body []byte) {
	var b joinBody
	if json.Unmarshal(body, &b) != nil || len(b.Topics) == 0 {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := &s.group
	g.topic = b.Topics[0]
	m := g.members[b.Member]
	if m == nil {
		m = &member{}
		g.members[b.Member] = m
		s.rebalance()
	}
	m.expires = time.Now().Add(time.Duration(b.TTLMS) * time.Millisecond)
	m.generation = b.Generation
	s.settle()
	rows := [][]any{}
	for n := range s.parts {
		if g.holder[n] == b.Member && g.target[n] == b.Member {
			rows = append(rows, []any{g.topic, n, 0})
		}
	}
	answer(w, http.StatusOK, map[string]any{"generation": g.generation, "parts": rows})
}

// rebalance starts a new generation with evenly distributed targets that change as little as possible.
func (s *store) rebalance() {
	g := &s.group
	g.generation++
	names := slices.Sorted(maps.Keys(g.members))
	if len(names) == 0 {
		return
	}
	count := map[string]int{}
	most := (s.parts + len(names) - 1) / len(names)
	for n := range s.parts {
		if t := g.target[n]; g.members[t] != nil && count[t] < most {
			count[t]++
			continue
		}
		g.target[n] = ""
	}
	for n := range s.parts {
		if g.target[n] != "" {
			continue
		}
		least := slices.MinFunc(names, func(a, b string) int { return count[a] - count[b] })
		count[least]++
		g.target[n] = least
		g.since[n] = g.generation
	}
}

// settle removes expired members and hands over the partitions whose former holders have let go.
func (s *store) settle() {
	g := &s.group
	now, gone := time.Now(), false
	for name, m := range g.members {
		if !m.expires.IsZero() && now.After(m.expires) {
			delete(g.members, name)
			gone = true
		}
	}
	if gone {
		s.rebalance()
	}
	for n := range s.parts {
		holder := g.members[g.holder[n]]
		if g.holder[n] != g.target[n] && (holder == nil || holder.generation >= g.since[n]) {
			g.holder[n] = g.target[n]
		}
	}
}

func (s *store) leave(w http.ResponseWriter, body []byte) {
	var b joinBody
	_ = json.Unmarshal(body, &b)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.group.members[b.Member] != nil {
		delete(s.group.members, b.Member)
		s.rebalance()
		s.settle()
	}
	answer(w, http.StatusOK, struct{}{})
}

func (s *store) owners(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle()
	rows := [][]any{}
	for n := range s.parts {
		if h := s.group.holder[n]; h != "" {
			rows = append(rows, []any{s.group.topic, n, h, 0})
		}
	}
	answer(w, http.StatusOK, map[string]any{"generation": s.group.generation, "parts": rows})
}
