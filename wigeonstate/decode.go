package wigeonstate

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

var errBadSnapshot = errors.New("the snapshot is not a state")

// Decode restores a state from its encoding.
func Decode(data []byte) (*State, error) {
	s := &State{}
	s.init()
	var message wigeonwire.State
	plain, err := s.decodeCompact(data)
	if err == nil {
		err = proto.Unmarshal(plain, &message)
	}
	if err != nil {
		return nil, fmt.Errorf("decode state: %w", err)
	}
	s.next = wigeonstep.Offset(message.GetNextOffset())
	s.timeMS = message.GetFoldTimeUnixMs()
	s.listed = message.GetPools()
	s.unreadable, s.duplicates = message.GetUnreadableRecords(), message.GetDuplicateBatches()
	for _, session := range message.GetSessions() {
		s.sessions[wigeonstep.SessionID(session.GetSession())] = decodeSession(session)
	}
	for _, document := range message.GetDocuments() {
		if err := s.decodeDocument(document); err != nil {
			return nil, fmt.Errorf("decode state: %w", err)
		}
	}
	for _, vm := range message.GetVms() {
		restored := decodeVM(vm)
		s.vms[restored.ID] = restored
		s.members[restored.Pool] = append(s.members[restored.Pool], restored)
	}
	for _, job := range message.GetJobs() {
		s.jobs[wigeonstep.JobID(job.GetAccept().GetJob())] = job
	}
	for _, wave := range message.GetWaves() {
		s.waves[wigeonstep.WaveID(wave.GetWave())] = wave
	}
	for _, verdict := range message.GetChangeVerdicts() {
		s.changes[wigeonstep.ChangeID(verdict.GetChangeId())] = verdict
	}
	s.shareOut()
	return s, nil
}

// decodeCompact restores the parts that are held encoded, and returns the rest, which is a plain wigeonwire.State.
func (s *State) decodeCompact(data []byte) ([]byte, error) {
	var plain []byte
	for len(data) > 0 {
		number, kind, size := protowire.ConsumeTag(data)
		if size < 0 {
			return nil, errBadSnapshot
		}
		length := protowire.ConsumeFieldValue(number, kind, data[size:])
		if length < 0 {
			return nil, errBadSnapshot
		}
		field, value := data[:size+length], data[size:size+length]
		data = data[size+length:]
		if number != fieldExplained && number != fieldGone && number != fieldKeyTable {
			plain = append(plain, field...)
			continue
		}
		if kind != protowire.BytesType {
			return nil, errBadSnapshot
		}
		content, _ := protowire.ConsumeBytes(value)
		var err error
		switch number {
		case fieldExplained:
			err = s.decodeExplained(content)
		case fieldGone:
			err = s.decodeGone(content)
		default:
			err = s.keys.decode(content)
		}
		if err != nil {
			return nil, err
		}
	}
	return plain, nil
}

func (s *State) decodeExplained(content []byte) error {
	var explained wigeonwire.Explained
	if err := proto.Unmarshal(content, &explained); err != nil {
		return fmt.Errorf("a decision: %w", err)
	}
	about := subject{explained.GetDecision().GetSubjectKind(), explained.GetDecision().GetSubject()}
	kept := s.histories[about]
	if kept == nil {
		kept = &history{}
		s.histories[about] = kept
	}
	kept.add(content)
	return nil
}

func (s *State) decodeGone(content []byte) error {
	id, size := protowire.ConsumeString(content)
	if size < 0 {
		return errBadSnapshot
	}
	at, length := protowire.ConsumeVarint(content[size:])
	if length < 0 {
		return errBadSnapshot
	}
	s.gone[wigeonstep.VMID(id)] = int64(at)
	return nil
}

func (t *keyTable) decode(content []byte) error {
	encoded, size := protowire.ConsumeBytes(content)
	if size < 0 || (len(content)-size)%keyEntryBytes != 0 {
		return errBadSnapshot
	}
	var names []keyNames
	for len(encoded) > 0 {
		var texts [3]string
		for i := range texts {
			text, length := protowire.ConsumeString(encoded)
			if length < 0 {
				return errBadSnapshot
			}
			texts[i], encoded = text, encoded[length:]
		}
		names = append(names, keyNames{team: texts[0], class: texts[1], service: texts[2]})
	}
	for entries := content[size:]; len(entries) > 0; entries = entries[keyEntryBytes:] {
		last := binary.LittleEndian.Uint32(entries[44:])
		if int(last>>8) >= len(names) {
			return errBadSnapshot
		}
		t.add(keyEntry{
			id:              keyID(entries[:16]),
			session:         binary.LittleEndian.Uint64(entries[16:]),
			offset:          binary.LittleEndian.Uint64(entries[24:]),
			request:         binary.LittleEndian.Uint64(entries[32:]),
			atS:             binary.LittleEndian.Uint32(entries[40:]),
			namesAndOutcome: last & 0xff,
		}, names[last>>8])
	}
	return nil
}

func decodeSession(message *wigeonwire.Session) *session {
	restored := &session{
		view: &Session{
			ID:            wigeonstep.SessionID(message.GetSession()),
			Role:          message.GetOpen().GetRole(),
			DataCentre:    wigeonstep.DataCentreName(message.GetOpen().GetDataCentre()),
			PeerAddress:   message.GetOpen().GetPeerAddress(),
			VM:            wigeonstep.VMID(message.GetOpen().GetVm()),
			LastRenewal:   message.GetLastRenewal(),
			AppliedOffset: wigeonstep.Offset(message.GetAppliedOffset()),
			Ready:         message.GetReady(),
			Closing:       message.GetClosing(),
			Expired:       message.GetStatus() == wigeonwire.SessionStatus_SESSION_STATUS_EXPIRED,
		},
		opened:   wigeonstep.Offset(message.GetOpenedOffset()),
		sequence: message.GetLastSequence(),
		status:   message.GetStatus(),
		endedMS:  message.GetEndedUnixMs(),
	}
	if len(message.GetBusyVms()) > 0 {
		restored.view.BusyVMs = make(map[wigeonstep.VMID]bool, len(message.GetBusyVms()))
		for _, vm := range message.GetBusyVms() {
			restored.view.BusyVMs[wigeonstep.VMID(vm)] = true
		}
	}
	return restored
}

func (s *State) decodeDocument(message *wigeonwire.Document) error {
	document, reason := parseDocument(message.GetService(), message.GetContent())
	if reason != "" {
		return fmt.Errorf("document of service %s: %s", message.GetService(), reason)
	}
	s.services[wigeonstep.ServiceName(message.GetService())] = &service{
		view: &Service{
			Version:  wigeonstep.Version(message.GetVersion()),
			Document: document,
			Operator: message.GetOperator(),
			Offset:   wigeonstep.Offset(message.GetOffset()),
			At:       time.UnixMilli(message.GetAtUnixMs()).UTC(),
		},
		content: message.GetContent(),
		change:  wigeonstep.ChangeID(message.GetChangeId()),
	}
	return nil
}

func decodeVM(message *wigeonwire.VM) *VM {
	vm := &VM{
		ID:          wigeonstep.VMID(message.GetVm()),
		DataCentre:  wigeonstep.DataCentreName(message.GetDataCentre()),
		Rack:        wigeonstep.RackName(message.GetRack()),
		Pool:        wigeonstep.PoolName(message.GetPool()),
		Address:     message.GetAddress(),
		Shape:       shapeOf(message.GetShape()),
		Phase:       message.GetPhase(),
		Epoch:       wigeonstep.Epoch(message.GetEpoch()),
		PhaseOffset: wigeonstep.Offset(message.GetPhaseOffset()),
		PhaseSince:  time.UnixMilli(message.GetPhaseSinceUnixMs()).UTC(),
		Wave:        wigeonstep.WaveID(message.GetWave()),
		LastWave:    wigeonstep.WaveID(message.GetLastWave()),
		Leaving:     message.GetLeaving(),
	}
	if message.GetLastMaintainedUnixMs() != 0 {
		vm.LastMaintained = time.UnixMilli(message.GetLastMaintainedUnixMs()).UTC()
	}
	return vm
}
