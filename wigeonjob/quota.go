package wigeonjob

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonquota"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// EncodeBound returns an amount in which resources may be unlimited, in the form of wigeonwire.Bound.
func EncodeBound(r wigeonstep.Resources) *wigeonwire.Bound {
	return &wigeonwire.Bound{MilliCpu: encodeBound(int64(r.CPU)), MemoryMb: encodeBound(int64(r.Memory)), Gpu: encodeBound(r.GPU)}
}

// DecodeBound returns the amount that EncodeBound encoded.
func DecodeBound(b *wigeonwire.Bound) wigeonstep.Resources {
	return wigeonstep.Resources{
		CPU: wigeonstep.MilliCPU(decodeBound(b.GetMilliCpu())), Memory: wigeonstep.Megabytes(decodeBound(b.GetMemoryMb())), GPU: decodeBound(b.GetGpu()),
	}
}

func encodeBound(n int64) int64 {
	if n == wigeonquota.Unlimited {
		return 0
	}
	return n + 1
}

func decodeBound(n int64) int64 {
	if n <= 0 {
		return wigeonquota.Unlimited
	}
	return n - 1
}

// EncodeAllowances returns the record of the division of a team's limit.
func EncodeAllowances(r wigeonquota.Record) ([]byte, error) {
	var lists [3][]int64
	m := &wigeonwire.AllowanceRecord{}
	for _, part := range slices.Sorted(maps.Keys(r.Allowances)) {
		m.Partitions = append(m.Partitions, uint32(part))
		b := EncodeBound(r.Allowances[part])
		for i, n := range [3]int64{b.GetMilliCpu(), b.GetMemoryMb(), b.GetGpu()} {
			lists[i] = append(lists[i], n)
		}
	}
	for i, list := range lists {
		if !slices.ContainsFunc(list, func(n int64) bool { return n != 0 }) {
			lists[i] = nil
		}
	}
	m.MilliCpu, m.MemoryMb, m.Gpu = lists[0], lists[1], lists[2]
	return encode(m)
}

// DecodeAllowances decodes the record of the division of a team's limit.
func DecodeAllowances(team wigeonstep.TeamName, value []byte) (wigeonquota.Record, error) {
	var m wigeonwire.AllowanceRecord
	if err := proto.Unmarshal(value, &m); err != nil {
		return wigeonquota.Record{}, fmt.Errorf("decode record of the allowances of team %s: %w", team, err)
	}
	r := wigeonquota.Record{Team: team, Allowances: map[wigeonstep.Partition]wigeonstep.Resources{}}
	at := func(list []int64, i int) int64 {
		if i >= len(list) {
			return 0
		}
		return list[i]
	}
	for i, part := range m.GetPartitions() {
		r.Allowances[wigeonstep.Partition(part)] = DecodeBound(&wigeonwire.Bound{
			MilliCpu: at(m.GetMilliCpu(), i), MemoryMb: at(m.GetMemoryMb(), i), Gpu: at(m.GetGpu(), i),
		})
	}
	return r, nil
}

// EncodeShardEpochs returns the record of the epochs of the shards.
func EncodeShardEpochs(epochs map[wigeonstep.Partition]wigeonstep.FencingToken) ([]byte, error) {
	m := &wigeonwire.ShardEpochsRecord{}
	for _, part := range slices.Sorted(maps.Keys(epochs)) {
		m.Partitions = append(m.Partitions, uint32(part))
		m.Epochs = append(m.Epochs, uint64(epochs[part]))
	}
	return encode(m)
}

// DecodeShardEpochs decodes the record of the epochs of the shards.
func DecodeShardEpochs(value []byte) (map[wigeonstep.Partition]wigeonstep.FencingToken, error) {
	var m wigeonwire.ShardEpochsRecord
	if err := proto.Unmarshal(value, &m); err != nil {
		return nil, fmt.Errorf("decode record of the epochs of the shards: %w", err)
	}
	if len(m.GetPartitions()) != len(m.GetEpochs()) {
		return nil, fmt.Errorf("decode record of the epochs of the shards: %d partitions and %d epochs", len(m.GetPartitions()), len(m.GetEpochs()))
	}
	epochs := map[wigeonstep.Partition]wigeonstep.FencingToken{}
	for i, part := range m.GetPartitions() {
		epochs[wigeonstep.Partition(part)] = wigeonstep.FencingToken(m.GetEpochs()[i])
	}
	return epochs, nil
}
