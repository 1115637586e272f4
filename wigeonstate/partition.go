package wigeonstate

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonstep/wigeonstep"
)

// PartitionOf returns the partition of a key, from 0 to Partitions-1.
func PartitionOf(key wigeonstep.Key) int {
	return int(xxhash.Sum64String(string(key)) % Partitions)
}

// score is the rendezvous score of a session for a partition; the highest one owns the partition.
func score(id wigeonstep.SessionID, partition int) uint64 {
	var data [16]byte
	binary.LittleEndian.PutUint64(data[:8], uint64(id))
	binary.LittleEndian.PutUint64(data[8:], uint64(partition))
	return xxhash.Sum64(data[:])
}

// shareOut computes the owner of each partition from the sessions that own.
func (s *State) shareOut() {
	s.stale.owners = true
	s.owners = [Partitions]wigeonstep.SessionID{}
	var best [Partitions]uint64
	for id, session := range s.sessions {
		if !session.owns() {
			continue
		}
		for p := range Partitions {
			// The id decides between equal scores, so that the result does not depend on the order of the map.
			if n := score(id, p); s.owners[p] == 0 || n > best[p] || (n == best[p] && id > s.owners[p]) {
				best[p], s.owners[p] = n, id
			}
		}
	}
}

// owner returns the session that owns the partition of the text, or zero.
func (s *State) owner(text string) wigeonstep.SessionID {
	return s.owners[PartitionOf(wigeonstep.Key(text))]
}
