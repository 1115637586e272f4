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
	keyChunkEntries = 1024
	minIndexSlots   = 64
	// maxNamesIndex is the highest index that fits into the upper 24 bits of keyEntry.namesAndOutcome.
	maxNamesIndex = 1<<24 - 1
)

// keyID identifies a key by the first 128 bits of its SHA-256. The hash has to be cryptographic, because callers choose the
// keys and could construct collisions of a weaker one.
type keyID [16]byte

func keyIDOf(key string) keyID {
	sum := sha256.Sum256([]byte(key))
	return keyID(sum[:16])
}

// slot returns the preferred slot of the key in an index with the given mask, which is the length of the index minus one.
func (k keyID) slot(mask uint32) uint32 {
	return binary.LittleEndian.Uint32(k[:4]) & mask
}

// keyEntry is the stored form of one key. It contains no pointers, so that the garbage collector does not scan the table.
type keyEntry struct {
	id          keyID
	session     uint64
	offset      uint64
	requestHash uint64
	// acceptedS is the fold time in seconds at which the current intent was accepted.
	acceptedS uint32
	// namesAndOutcome holds the index of the names in the upper 24 bits and the outcome in the lower 8.
	namesAndOutcome uint32
}

func (e *keyEntry) outcome() wigeonwire.Outcome { return wigeonwire.Outcome(e.namesAndOutcome & 0xff) }

func (e *keyEntry) setOutcome(outcome wigeonwire.Outcome) {
	e.namesAndOutcome = e.namesAndOutcome&^0xff | uint32(outcome)&0xff
}

// keyNames holds the names that belong to a key. A table stores each distinct combination once, because many keys share it.
type keyNames struct {
	team, class, service string
}

// keyTable holds the keys in the order in which they were first accepted. The entries are stored in chunks and found
// through a hash index with open addressing and linear probing.
type keyTable struct {
	chunks []*[keyChunkEntries]keyEntry
	// oldest is the position of the oldest entry within the chunks, and end the position after the newest one.
	oldest, end uint32
	// index holds positions plus one; zero is an empty slot. Its length is a power of two.
	index []uint32
	// names holds the distinct names of all entries added so far, and nameIndexes their positions in it.
	names       []keyNames
	nameIndexes map[keyNames]uint32
}

func (t *keyTable) len() int { return int(t.end - t.oldest) }

func (t *keyTable) entryAt(position uint32) *keyEntry {
	return &t.chunks[position/keyChunkEntries][position%keyChunkEntries]
}

// find returns the entry of the key, or nil when the table does not hold it.
func (t *keyTable) find(id keyID) *keyEntry {
	if len(t.index) == 0 {
		return nil
	}
	mask := uint32(len(t.index) - 1)
	for slot := id.slot(mask); t.index[slot] != 0; slot = (slot + 1) & mask {
		if entry := t.entryAt(t.index[slot] - 1); entry.id == id {
			return entry
		}
	}
	return nil
}

// add appends an entry. The key must not be in the table yet. If the table holds the maximum number of distinct names, an
// entry with other names gets the first ones.
func (t *keyTable) add(entry keyEntry, names keyNames) {
	index, ok := t.nameIndexes[names]
	if !ok && len(t.names) <= maxNamesIndex {
		if t.nameIndexes == nil {
			t.nameIndexes = make(map[keyNames]uint32)
		}
		index = uint32(len(t.names))
		t.names = append(t.names, names)
		t.nameIndexes[names] = index
	}
	entry.namesAndOutcome |= index << 8
	if t.end == uint32(len(t.chunks))*keyChunkEntries {
		t.chunks = append(t.chunks, new([keyChunkEntries]keyEntry))
	}
	*t.entryAt(t.end) = entry
	t.end++
	if t.len()*4 > len(t.index)*3 {
		t.rebuildIndex(max(minIndexSlots, len(t.index)*2))
		return
	}
	t.insertIndex(t.end - 1)
}

// reclaim records a new intent for a key whose earlier intent ended as not_run. Its retention starts again, because the
// request may run now. The entry keeps its position, so the entries after it stay in the table at least as long as it does.
func (t *keyTable) reclaim(entry *keyEntry, claim keyEntry) {
	entry.session, entry.offset, entry.requestHash, entry.acceptedS = claim.session, claim.offset, claim.requestHash, claim.acceptedS
	entry.setOutcome(claim.outcome())
}

// insertIndex adds the entry at the position to the index.
func (t *keyTable) insertIndex(position uint32) {
	mask := uint32(len(t.index) - 1)
	slot := t.entryAt(position).id.slot(mask)
	for t.index[slot] != 0 {
		slot = (slot + 1) & mask
	}
	t.index[slot] = position + 1
}

// rebuildIndex replaces the index by one with the given number of slots, which must be a power of two.
func (t *keyTable) rebuildIndex(slots int) {
	t.index = make([]uint32, slots)
	for position := t.oldest; position < t.end; position++ {
		t.insertIndex(position)
	}
}

// expire removes the entries that were accepted before the time, which is a fold time in seconds. It stops at the first
// entry that is newer.
func (t *keyTable) expire(beforeS int64) {
	dropped := false
	for t.oldest < t.end && int64(t.entryAt(t.oldest).acceptedS) < beforeS {
		t.removeFromIndex(t.oldest)
		t.oldest++
		dropped = true
	}
	if dropped && t.oldest >= keyChunkEntries {
		t.freeChunks()
	}
}

// removeFromIndex removes a position from the index. It moves later entries of the same probe sequence into the gap, so
// that the index needs no tombstones.
func (t *keyTable) removeFromIndex(position uint32) {
	mask := uint32(len(t.index) - 1)
	gap := t.entryAt(position).id.slot(mask)
	for t.index[gap] != position+1 {
		gap = (gap + 1) & mask
	}
	for slot := (gap + 1) & mask; t.index[slot] != 0; slot = (slot + 1) & mask {
		preferred := t.entryAt(t.index[slot] - 1).id.slot(mask)
		if (slot-preferred)&mask >= (slot-gap)&mask {
			t.index[gap] = t.index[slot]
			gap = slot
		}
	}
	t.index[gap] = 0
}

// freeChunks frees the chunks before the oldest entry. This shifts all positions, so the index is updated in place, or
// rebuilt with a quarter of its slots when the table has become much smaller.
func (t *keyTable) freeChunks() {
	count := t.oldest / keyChunkEntries
	shift := count * keyChunkEntries
	t.chunks = slices.Clone(t.chunks[count:])
	t.oldest -= shift
	t.end -= shift
	if smaller := len(t.index) / 4; t.len() < smaller/2 && smaller >= minIndexSlots {
		t.rebuildIndex(smaller)
		return
	}
	for i := range t.index {
		if t.index[i] != 0 {
			t.index[i] -= shift
		}
	}
}

// wireKey returns the entry as a wire message. The table holds only hashes of keys, so the caller passes the key.
func (t *keyTable) wireKey(entry *keyEntry, key string) *wigeonwire.Key {
	names := t.names[entry.namesAndOutcome>>8]
	return &wigeonwire.Key{
		Key:         key,
		Session:     entry.session,
		Offset:      entry.offset,
		Outcome:     entry.outcome(),
		RequestHash: entry.requestHash,
		AtUnixMs:    (time.Duration(entry.acceptedS) * time.Second).Milliseconds(),
		Team:        names.team,
		Class:       names.class,
		Service:     names.service,
	}
}

// Key returns the intent and outcome of an idempotency key, and false when the key is not known.
func (s *State) Key(key wigeonstep.IdempotencyKey) (*wigeonwire.Key, bool) {
	entry := s.keys.find(keyIDOf(string(key)))
	if entry == nil {
		return nil, false
	}
	return s.keys.wireKey(entry, string(key)), true
}

// KeyCount returns the number of idempotency keys in the state.
func (s *State) KeyCount() int { return s.keys.len() }
