package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	partitionCount = 24
	recordBytes    = 262144
	callBytes      = 2097152
	newestPage     = 500
	// answerDelay is the time that the store takes to answer.
	answerDelay = 2 * time.Millisecond
)

// store is a small stand-in of the platform's metadata store.
type store struct {
	address string

	mu    sync.Mutex
	parts map[string]*partition
	grew  chan struct{}
	group group
}

type partition struct {
	records   [][]byte
	newest    map[string]int
	keyed     bool
	producers map[string]*producer
}

type producer struct {
	epoch, next uint64
	answers     map[uint64][2]uint64
}

// group assigns partitions to members. A partition passes to its next member only when the former one has joined with the
// generation of the change, has left, or has expired.
type group struct {
	topic      string
	generation uint64
	expires    map[string]time.Time
	joined     map[string]uint64
	ttl        map[string]time.Duration
	holder     [partitionCount]string
}

func newStore() (*store, error) {
	s := &store{parts: map[string]*partition{}, grew: make(chan struct{})}
	s.group = group{expires: map[string]time.Time{}, joined: map[string]uint64{}, ttl: map[string]time.Duration{}}
	address, err := serve(s)
	s.address = address
	return s, err
}

func (s *store) partition(topic, part string) *partition {
	key := topic + "/" + part
	p := s.parts[key]
	if p == nil {
		p = &partition{newest: map[string]int{}, keyed: strings.HasPrefix(topic, "keyed."), producers: map[string]*producer{}}
		s.parts[key] = p
	}
	return p
}

func (s *store) add(p *partition, record []byte) {
	p.records = append(p.records, record)
	if p.keyed && len(record) > 0 && len(record) >= 1+int(record[0]) {
		key := string(record[1 : 1+record[0]])
		p.newest[key] = len(p.records) - 1
		if len(record) == 1+int(record[0]) {
			delete(p.newest, key)
		}
	}
}

// put writes the newest value of a key as the operator or a worker.
func (s *store) put(topic, key string, value any) {
	encoded, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.partition(topic, "0"), append(append([]byte{byte(len(key))}, key...), encoded...))
	s.wake()
}

func (s *store) drop(topic, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.partition(topic, "0"), append([]byte{byte(len(key))}, key...))
	s.wake()
}

func (s *store) wake() {
	close(s.grew)
	s.grew = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(answerDelay)
	switch r.URL.Path {
	case "/-/log-append":
		s.append(w, r, body)
	case "/-/log-read":
		s.read(w, r)
	case "/-/log-newest":
		s.listNewest(w, r)
	case "/-/log-join":
		s.join(w, body)
	case "/-/log-leave":
		s.leave(w, body)
	case "/-/log-owners":
		s.owners(w)
	case "/-/log-commit", "/-/log-trim":
		answer(w, 200, map[string]any{})
	default:
		answer(w, 404, map[string]any{})
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request, body []byte) {
	q := r.URL.Query()
	var records [][]byte
	if len(body) > callBytes {
		answer(w, 400, map[string]any{"reason": "call_bytes"})
		return
	}
	for b := body; len(b) > 0; {
		if len(b) < 4 || len(b)-4 < int(binary.BigEndian.Uint32(b)) || binary.BigEndian.Uint32(b) > recordBytes {
			answer(w, 400, map[string]any{"reason": "record_bytes"})
			return
		}
		n := int(binary.BigEndian.Uint32(b))
		records = append(records, slices.Clone(b[4:4+n]))
		b = b[4+n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	if at := q.Get("at"); at != "" && at != strconv.Itoa(len(p.records)) {
		answer(w, 412, map[string]any{"end": len(p.records)})
		return
	}
	var pr *producer
	seq, _ := strconv.ParseUint(q.Get("seq_no"), 10, 64)
	if name := q.Get("producer"); name != "" {
		epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
		pr = p.producers[name]
		if pr == nil || epoch > pr.epoch {
			pr = &producer{epoch: epoch, next: seq, answers: map[uint64][2]uint64{}}
			p.producers[name] = pr
		}
		if epoch < pr.epoch {
			answer(w, 409, map[string]any{"reason": "fenced"})
			return
		}
		if len(records) == 0 {
			pr.next = seq + 1
			answer(w, 200, map[string]any{"offset": len(p.records), "end": len(p.records)})
			return
		}
		if a, ok := pr.answers[seq]; ok {
			answer(w, 200, map[string]any{"offset": a[0], "end": a[1]})
			return
		}
		if seq != pr.next {
			answer(w, 409, map[string]any{"reason": "seq", "expected": pr.next})
			return
		}
		pr.next++
	}
	offset := len(p.records)
	for _, record := range records {
		s.add(p, record)
	}
	if pr != nil {
		pr.answers[seq] = [2]uint64{uint64(offset), uint64(len(p.records))}
		delete(pr.answers, seq-5)
	}
	if len(records) > 0 {
		s.wake()
	}
	answer(w, 200, map[string]any{"offset": offset, "end": len(p.records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	limit := 1024
	if kb, err := strconv.Atoi(q.Get("max_kb")); err == nil {
		limit = kb
	}
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		p, grew := s.partition(q.Get("topic"), q.Get("part")), s.grew
		records, end := p.records[min(from, len(p.records)):], len(p.records)
		s.mu.Unlock()
		if len(records) > 0 || expired || wait == 0 {
			b := binary.BigEndian.AppendUint64(nil, uint64(end))
			b = binary.BigEndian.AppendUint64(b, 0)
			for i, record := range records {
				if i > 0 && len(b)+len(record) > limit<<10 {
					break
				}
				b = append(binary.BigEndian.AppendUint32(b, uint32(len(record))), record...)
			}
			w.Header().Set("Content-Type", "application/octet-stream")
			_, _ = w.Write(b)
			return
		}
		select {
		case <-grew:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) listNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	var keys []string
	for key := range p.newest {
		if key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, key := range keys {
		record := p.records[p.newest[key]]
		size += len(record)
		if len(items) == newestPage || len(items) > 0 && size > 1<<20 {
			more = true
			break
		}
		value := base64.StdEncoding.EncodeToString(record[1+int(record[0]):])
		items = append(items, map[string]any{"key": key, "value": value, "offset": p.newest[key]})
	}
	end := len(p.records)
	s.mu.Unlock()
	answer(w, 200, map[string]any{"items": items, "more": more, "end": end})
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
		answer(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := &s.group
	g.expire()
	g.topic = b.Topics[0]
	if _, known := g.expires[b.Member]; !known {
		g.generation++
	}
	ttl := max(time.Duration(b.TTLMS)*time.Millisecond, time.Second)
	g.expires[b.Member], g.joined[b.Member] = time.Now().Add(ttl), b.Generation
	g.assign()
	rows := [][]any{}
	members := g.members()
	for part := range partitionCount {
		if members[part%len(members)] == b.Member && g.holder[part] == b.Member {
			rows = append(rows, []any{g.topic, part, 0})
		}
	}
	answer(w, 200, map[string]any{"generation": g.generation, "parts": rows})
}

func (g *group) members() []string {
	var names []string
	for name := range g.expires {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (g *group) expire() {
	for name, at := range g.expires {
		if time.Now().After(at) {
			g.remove(name)
		}
	}
}

func (g *group) remove(name string) {
	if _, known := g.expires[name]; known {
		delete(g.expires, name)
		delete(g.joined, name)
		g.generation++
	}
}

func (g *group) assign() {
	members := g.members()
	for part := range partitionCount {
		target := members[part%len(members)]
		former := g.holder[part]
		_, alive := g.expires[former]
		if former == target || !alive || g.joined[former] >= g.generation {
			g.holder[part] = target
		}
	}
}

func (s *store) leave(w http.ResponseWriter, body []byte) {
	var b joinBody
	_ = json.Unmarshal(body, &b)
	s.mu.Lock()
	s.group.remove(b.Member)
	s.mu.Unlock()
	answer(w, 200, map[string]any{})
}

func (s *store) owners(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.expire()
	rows := [][]any{}
	for part, holder := range s.group.holder {
		if _, alive := s.group.expires[holder]; alive {
			rows = append(rows, []any{s.group.topic, part, holder, 0})
		}
	}
	answer(w, 200, map[string]any{"generation": s.group.generation, "parts": rows})
}

// holderOf returns the name of the member that has a partition of the group.
func (s *store) holderOf(part int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group.holder[part]
}
