package wigeonstate

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

const (
	// fieldDecision is the number of the field explained of wigeonwire.State.
	fieldDecision protowire.Number = 9
	// fieldKeyTable and fieldGoneVM are not declared in wigeonwire.State. They hold the key table and the VMs that left the
	// fleet, in encodings of their own.
	fieldKeyTable protowire.Number = 14
	fieldGoneVM   protowire.Number = 15

	// keyEntryBytes is the encoded size of a keyEntry, which is also its size in memory.
	keyEntryBytes = 48
)

// Encode returns the deterministic encoding of the state for a snapshot: a wigeonwire.State whose lists are sorted.
// Decisions, departed VMs and keys follow in their compact form, because building messages of decisions and keys would
// take several times the memory.
func (s *State) Encode() ([]byte, error) {
	message := &wigeonwire.State{
		NextOffset:        uint64(s.nextOffset),
		FoldTimeUnixMs:    s.foldTimeMS,
		Pools:             s.listedPools,
		UnreadableRecords: s.unreadableRecords,
		DuplicateBatches:  s.duplicateBatches,
		Sessions:          s.encodeSessions(),
		Documents:         s.encodeDocuments(),
		Vms:               s.encodeVMs(),
		Jobs:              sortedValues(s.jobs),
		Waves:             sortedValues(s.waves),
		ChangeVerdicts:    sortedValues(s.changeVerdicts),
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	for _, about := range slices.SortedFunc(maps.Keys(s.decisionHistories), subject.compare) {
		for remaining := s.decisionHistories[about].data; len(remaining) > 0; {
			_, size := protowire.ConsumeBytes(remaining)
			data = protowire.AppendTag(data, fieldDecision, protowire.BytesType)
			data = append(data, remaining[:size]...)
			remaining = remaining[size:]
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.goneAtMS)) {
		encoded := protowire.AppendString(nil, string(id))
		encoded = protowire.AppendVarint(encoded, uint64(s.goneAtMS[id]))
		data = protowire.AppendTag(data, fieldGoneVM, protowire.BytesType)
		data = protowire.AppendBytes(data, encoded)
	}
	return s.keys.encode(data), nil
}

func sortedValues[K cmp.Ordered, V any](values map[K]V) []V {
	sorted := make([]V, 0, len(values))
	for _, key := range slices.Sorted(maps.Keys(values)) {
		sorted = append(sorted, values[key])
	}
	return sorted
}

func (s *State) encodeSessions() []*wigeonwire.Session {
	encoded := make([]*wigeonwire.Session, 0, len(s.sessions))
	for _, session := range s.sortedSessions() {
		view := session.view
		message := &wigeonwire.Session{
			Session: uint64(view.ID),
			Open: &wigeonwire.SessionOpen{
				Role:        view.Role,
				DataCentre:  string(view.DataCentre),
				PeerAddress: view.PeerAddress,
				Vm:          string(view.VM),
			},
			OpenedOffset:  uint64(session.opened),
			LastSequence:  session.lastSequence,
			LastRenewal:   view.LastRenewal,
			AppliedOffset: uint64(view.AppliedOffset),
			Ready:         view.Ready,
			Closing:       view.Closing,
			Status:        session.status,
			EndedUnixMs:   session.endedAtMS,
		}
		for _, vm := range slices.Sorted(maps.Keys(view.BusyVMs)) {
			message.BusyVms = append(message.BusyVms, string(vm))
		}
		encoded = append(encoded, message)
	}
	return encoded
}

func (s *State) encodeDocuments() []*wigeonwire.Document {
	encoded := make([]*wigeonwire.Document, 0, len(s.services))
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		service := s.services[name]
		encoded = append(encoded, &wigeonwire.Document{
			Service:  string(name),
			Version:  uint64(service.view.Version),
			Content:  service.content,
			Operator: service.view.Operator,
			ChangeId: string(service.change),
			Offset:   uint64(service.view.AcceptedOffset),
			AtUnixMs: service.view.AcceptedAt.UnixMilli(),
		})
	}
	return encoded
}

func (s *State) encodeVMs() []*wigeonwire.VM {
	encoded := make([]*wigeonwire.VM, 0, len(s.vms))
	for _, id := range slices.Sorted(maps.Keys(s.vms)) {
		vm := s.vms[id]
		message := &wigeonwire.VM{
			Vm:               string(id),
			DataCentre:       string(vm.DataCentre),
			Rack:             string(vm.Rack),
			Pool:             string(vm.Pool),
			Address:          vm.Address,
			Shape:            encodeShape(vm.Shape),
			Phase:            vm.Phase,
			Epoch:            uint64(vm.Epoch),
			PhaseOffset:      uint64(vm.PhaseOffset),
			Wave:             string(vm.Wave),
			LastWave:         string(vm.LastWave),
			Leaving:          vm.Leaving,
			PhaseSinceUnixMs: vm.PhaseSince.UnixMilli(),
		}
		if !vm.LastMaintained.IsZero() {
			message.LastMaintainedUnixMs = vm.LastMaintained.UnixMilli()
		}
		encoded = append(encoded, message)
	}
	return encoded
}

func encodeShape(shape wigeonstep.Shape) *wigeonwire.Shape {
	return &wigeonwire.Shape{
		Cores:        uint32(shape.Cores),
		MemoryGb:     uint32(shape.MemoryGB),
		Accelerators: uint32(shape.Accelerators),
		Slots:        uint32(shape.Slots),
		Connections:  uint32(shape.Connections),
	}
}

// encode appends the table to data: the names in use, in the order of their first use, and then the entries, oldest first.
func (t *keyTable) encode(data []byte) []byte {
	if t.len() == 0 {
		return data
	}
	renumbered := make(map[uint32]uint32)
	var names []byte
	entries := make([]byte, 0, t.len()*keyEntryBytes)
	for position := t.oldest; position < t.end; position++ {
		entry := t.entryAt(position)
		index := entry.namesAndOutcome >> 8
		if _, ok := renumbered[index]; !ok {
			renumbered[index] = uint32(len(renumbered))
			names = protowire.AppendString(names, t.names[index].team)
			names = protowire.AppendString(names, t.names[index].class)
			names = protowire.AppendString(names, t.names[index].service)
		}
		entries = append(entries, entry.id[:]...)
		entries = binary.LittleEndian.AppendUint64(entries, entry.session)
		entries = binary.LittleEndian.AppendUint64(entries, entry.offset)
		entries = binary.LittleEndian.AppendUint64(entries, entry.requestHash)
		entries = binary.LittleEndian.AppendUint32(entries, entry.acceptedS)
		entries = binary.LittleEndian.AppendUint32(entries, renumbered[index]<<8|entry.namesAndOutcome&0xff)
	}
	data = slices.Grow(data, len(names)+len(entries)+32)
	data = protowire.AppendTag(data, fieldKeyTable, protowire.BytesType)
	data = protowire.AppendVarint(data, uint64(protowire.SizeBytes(len(names))+len(entries)))
	data = protowire.AppendBytes(data, names)
	return append(data, entries...)
}
