//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"slices"
	"sync"
	"time"
)

// groupStore passes calls on to the stand-in of the store, but for those to the group: it deals the partitions evenly anew at each
// change of the members, beginning at the next member each time.
type groupStore struct {
	listener net.Listener

	mu         sync.Mutex
	members    map[string]time.Time
	generation uint64
	topic      string
	// held holds the member that may still act for a partition until it has joined with the present generation, has left or is gone.
	held map[int]string
	seen map[string]uint64
}

func startGroupStore(d *deployment) (*groupStore, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &groupStore{listener: l, members: map[string]time.Time{}, held: map[int]string{}, seen: map[string]uint64{}}
	passOn := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: d.store.Address()})
	passOn.ErrorLog = nil
	mux := http.NewServeMux()
	mux.HandleFunc("/-/log-join", s.join)
	mux.HandleFunc("/-/log-leave", s.leave)
	mux.HandleFunc("/-/log-owners", s.owners)
	mux.Handle("/", passOn)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(l) }()
	go func() {
		<-d.ctx.Done()
		_ = server.Close()
	}()
	return s, nil
}

func (s *groupStore) Address() string { return s.listener.Addr().String() }

type joinCall struct {
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTLMS      int64    `json:"ttl_ms"`
	Generation uint64   `json:"generation"`
}

func decodeCall(in *http.Request) joinCall {
	var c joinCall
	b, _ := io.ReadAll(in.Body)
	_ = json.NewDecoder(bytes.NewReader(b)).Decode(&c)
	return c
}

func reply(out http.ResponseWriter, body any) {
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(body)
}

// expire removes the members that have sent nothing for their time to live. The caller holds s.mu.
func (s *groupStore) expire() {
	for m, until := range s.members {
		if time.Now().After(until) {
			s.remove(m)
		}
	}
}

func (s *groupStore) remove(member string) {
	if _, known := s.members[member]; !known {
		return
	}
	delete(s.members, member)
	s.generation++
}

// target returns the member to which a partition is dealt in the present generation. The caller holds s.mu.
func (s *groupStore) target(part int) string {
	names := slices.Sorted(maps.Keys(s.members))
	if len(names) == 0 {
		return ""
	}
	return names[(part+int(s.generation))%len(names)]
}

// holder returns the member that holds a partition now: the former one until it has joined with this generation, or is gone. The
// caller holds s.mu.
func (s *groupStore) holder(part int) string {
	target, former := s.target(part), s.held[part]
	_, there := s.members[former]
	if former != "" && former != target && there && s.seen[former] < s.generation {
		return former
	}
	s.held[part] = target
	return target
}

func (s *groupStore) join(out http.ResponseWriter, in *http.Request) {
	c := decodeCall(in)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if _, known := s.members[c.Member]; !known {
		s.generation++
	}
	s.members[c.Member] = time.Now().Add(time.Duration(c.TTLMS) * time.Millisecond)
	s.seen[c.Member] = c.Generation
	if len(c.Topics) > 0 {
		s.topic = c.Topics[0]
	}
	parts := [][]any{}
	for part := range partitions {
		// A partition that is dealt to another member is no longer listed, and goes over when its holder has seen that.
		if s.holder(part) == c.Member && s.target(part) == c.Member {
			parts = append(parts, []any{s.topic, part, 0})
		}
	}
	reply(out, map[string]any{"generation": s.generation, "parts": parts})
}

func (s *groupStore) leave(out http.ResponseWriter, in *http.Request) {
	c := decodeCall(in)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(c.Member)
	reply(out, map[string]any{})
}

func (s *groupStore) owners(out http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	parts := [][]any{}
	for part := range partitions {
		parts = append(parts, []any{s.topic, part, s.holder(part), 0})
	}
	reply(out, map[string]any{"generation": s.generation, "parts": parts})
}
