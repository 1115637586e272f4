package wigeonstate

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	keyChunk      = 1024
	minKeySlots   = 64
	maxNamesIndex = 1<<24 - 1
)

// keyID identifies a key by 128 bits of its SHA-256. Callers choose keys, so a hash for which collisions can be made would not do.
type keyID [16]byte

func keyIDOf(key string) keyID {
	sum := sha256.Sum256([]byte(key))
	return keyID(sum[:16])
}

// slot returns the preferred position in an index of the given mask.
func (k keyID) slot(mask uint32) uint32 {
	return binary.LittleEndian.Uint32(k[:4]) & mask
}

// keyEntry is one key. It holds no pointer, so that the garbage collector does not scan the table.
type keyEntry struct {
	id      keyID
	session uint64
	offset  uint64
	request uint64
	atS     uint32
	// namesAndOutcome holds the index of the names in the upper 24 bits and the outcome in the lower 8.
	namesAndOutcome uint32
}

func (e *keyEntry) outcome() wigeonwire.Outcome { return wigeonwire.Outcome(e.namesAndOutcome & 0xff) }

func (e *keyEntry) setOutcome(outcome wigeonwire.Outcome) {
	e.namesAndOutcome = e.namesAndOutcome&^0xff | uint32(outcome)&0xff
}

// keyNames are what many keys have in common.
type keyNames struct {
	team, class, service string
}

// keyTable holds the keys in the order of their acceptance, in chunks, with an index of open addressing.
type keyTable struct {
	chunks []*[keyChunk]keyEntry
	// first and next are positions within the chunks: the oldest entry, and the one after the newest.
	first, next uint32
	// index holds positions plus one; zero is an empty slot. Its length is a power of two.
	index []uint32
	names []keyNames
	known map[keyNames]uint32
}

func (t *keyTable) len() int { return int(t.next - t.first) }

func (t *keyTable) at(position uint32) *keyEntry {
	return &t.chunks[position/keyChunk][position%keyChunk]
}

// find returns the entry of the key, or nil.
func (t *keyTable) find(id keyID) *keyEntry {
	if len(t.index) == 0 {
		return nil
	}
	mask := uint32(len(t.index) - 1)
	for slot := id.slot(mask); t.index[slot] != 0; slot = (slot + 1) & mask {
		if entry := t.at(t.index[slot] - 1); entry.id == id {
			return entry
		}
	}
	return nil
}

// add appends an entry whose key is not in the table.
func (t *keyTable) add(entry keyEntry, names keyNames) {
	index, ok := t.known[names]
	if !ok && len(t.names) <= maxNamesIndex {
		if t.known == nil {
			t.known = make(map[keyNames]uint32)
		}
		index = uint32(len(t.names))
		t.names = append(t.names, names)
		t.known[names] = index
	}
	entry.namesAndOutcome |= index << 8
	if t.next == uint32(len(t.chunks))*keyChunk {
		t.chunks = append(t.chunks, new([keyChunk]keyEntry))
	}
	*t.at(t.next) = entry
	t.next++
	if t.len()*4 > len(t.index)*3 {
		t.reindex(max(minKeySlots, len(t.index)*2))
		return
	}
	t.insert(t.next - 1)
}

// claimAgain gives a key that did not run to a new holder. The entry keeps its place, and with it the time at which it is
// forgotten, because the entries are in the order of their first acceptance.
func (t *keyTable) claimAgain(entry *keyEntry, claim keyEntry) {
	entry.session, entry.offset, entry.request = claim.session, claim.offset, claim.request
	entry.setOutcome(claim.outcome())
}

func (t *keyTable) insert(position uint32) {
	mask := uint32(len(t.index) - 1)
	slot := t.at(position).id.slot(mask)
	for t.index[slot] != 0 {
		slot = (slot + 1) & mask
	}
	t.index[slot] = position + 1
}

func (t *keyTable) reindex(slots int) {
	t.index = make([]uint32, slots)
	for position := t.first; position < t.next; position++ {
		t.insert(position)
	}
}

// expire drops the entries accepted before the time, in seconds of fold time.
func (t *keyTable) expire(beforeS int64) {
	dropped := false
	for t.first < t.next && int64(t.at(t.first).atS) < beforeS {
		t.remove(t.first)
		t.first++
		dropped = true
	}
	if dropped && t.first >= keyChunk {
		t.dropChunks()
	}
}

// remove takes a position out of the index and closes the gap, so that no marker for removed slots is needed.
func (t *keyTable) remove(position uint32) {
	mask := uint32(len(t.index) - 1)
	gap := t.at(position).id.slot(mask)
	for t.index[gap] != position+1 {
		gap = (gap + 1) & mask
	}
	for slot := (gap + 1) & mask; t.index[slot] != 0; slot = (slot + 1) & mask {
		home := t.at(t.index[slot] - 1).id.slot(mask)
		if (slot-home)&mask >= (slot-gap)&mask {
			t.index[gap] = t.index[slot]
			gap = slot
		}
	}
	t.index[gap] = 0
}

// dropChunks frees the chunks before the oldest entry. Positions shift, so the index is corrected in place.
func (t *keyTable) dropChunks() {
	count := t.first / keyChunk
	shift := count * keyChunk
	t.chunks = slices.Clone(t.chunks[count:])
	t.first -= shift
	t.next -= shift
	if want := len(t.index) / 4; t.len() < want/2 && want >= minKeySlots {
		t.reindex(want)
		return
	}
	for i := range t.index {
		if t.index[i] != 0 {
			t.index[i] -= shift
		}
	}
}

// message returns the entry as a wire message. The table holds no key texts, so the caller gives the text.
func (t *keyTable) message(entry *keyEntry, key string) *wigeonwire.Key {
	names := t.names[entry.namesAndOutcome>>8]
	return &wigeonwire.Key{
		Key:         key,
		Session:     entry.session,
		Offset:      entry.offset,
		Outcome:     entry.outcome(),
		RequestHash: entry.request,
		AtUnixMs:    (time.Duration(entry.atS) * time.Second).Milliseconds(),
		Team:        names.team,
		Class:       names.class,
		Service:     names.service,
	}
}

// Key returns what the fold knows of an idempotency key.
func (s *State) Key(key wigeonstep.Key) (*wigeonwire.Key, bool) {
	entry := s.keys.find(keyIDOf(string(key)))
	if entry == nil {
		return nil, false
	}
	return s.keys.message(entry, string(key)), true
}

// Keys returns how many keys are remembered.
func (s *State) Keys() int { return s.keys.len() }
