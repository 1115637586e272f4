package wigeonstate

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wigeonstep/wigeonstep"
)

// PartitionOf returns the partition of a key, from 0 to Partitions-1.
func PartitionOf(key wigeonstep.Key) int {
	return int(xxhash.Sum64String(string(key)) % Partitions)
}
