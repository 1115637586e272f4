package wigeonstate

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonstep/wigeonstep"
)

// PartitionOf returns the partition of a key, from 0 to Partitions-1.
func PartitionOf(key wigeonstep.IdempotencyKey) int {
	return int(xxhash.Sum64String(string(key)) % Partitions)
}

// rendezvousScore returns the score of a session for a partition in rendezvous hashing: the session with the highest score
// owns the partition.
func rendezvousScore(id wigeonstep.SessionID, partition int) uint64 {
	var data [16]byte
	binary.LittleEndian.PutUint64(data[:8], uint64(id))
	binary.LittleEndian.PutUint64(data[8:], uint64(partition))
	return xxhash.Sum64(data[:])
}

// assignPartitions computes the owner of each partition from the sessions that can own partitions.
func (s *State) assignPartitions() {
	s.stale.partitionOwners = true
	s.partitionOwners = [Partitions]wigeonstep.SessionID{}
	var bestScore [Partitions]uint64
	for id, session := range s.sessions {
		if !session.canOwnPartitions() {
			continue
		}
		for p := range Partitions {
			// Equal scores are ordered by session id, so that the result does not depend on the iteration order of the map.
			if score := rendezvousScore(id, p); s.partitionOwners[p] == 0 || score > bestScore[p] || (score == bestScore[p] && id > s.partitionOwners[p]) {
				bestScore[p], s.partitionOwners[p] = score, id
			}
		}
	}
}

// owner returns the id of the session that owns the partition of the key, or zero when there is none.
func (s *State) owner(key string) wigeonstep.SessionID {
	return s.partitionOwners[PartitionOf(wigeonstep.IdempotencyKey(key))]
}
