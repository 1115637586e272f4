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

var errMalformedSnapshot = errors.New("malformed snapshot")

// Decode restores a state from the encoding that Encode returns.
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
	s.nextOffset = wigeonstep.Offset(message.GetNextOffset())
	s.foldTimeMS = message.GetFoldTimeUnixMs()
	s.listedPools = message.GetPools()
	s.unreadableRecords, s.duplicateBatches = message.GetUnreadableRecords(), message.GetDuplicateBatches()
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
		s.poolMembers[restored.Pool] = append(s.poolMembers[restored.Pool], restored)
	}
	for _, job := range message.GetJobs() {
		s.jobs[wigeonstep.JobID(job.GetAccept().GetJob())] = job
	}
	for _, wave := range message.GetWaves() {
		s.waves[wigeonstep.WaveID(wave.GetWave())] = wave
	}
	for _, verdict := range message.GetChangeVerdicts() {
		s.changeVerdicts[wigeonstep.ChangeID(verdict.GetChangeId())] = verdict
	}
	s.assignPartitions()
	return s, nil
}

// decodeCompact restores the parts that Encode appends in compact form: decisions, departed VMs and the key table.
// It returns the other fields, which are an encoded wigeonwire.State.
func (s *State) decodeCompact(data []byte) ([]byte, error) {
	var plain []byte
	for len(data) > 0 {
		number, kind, size := protowire.ConsumeTag(data)
		if size < 0 {
			return nil, fmt.Errorf("%w: invalid field tag %d bytes before the end", errMalformedSnapshot, len(data))
		}
		length := protowire.ConsumeFieldValue(number, kind, data[size:])
		if length < 0 {
			return nil, fmt.Errorf("%w: field %d is invalid or truncated", errMalformedSnapshot, number)
		}
		field, value := data[:size+length], data[size:size+length]
		data = data[size+length:]
		if number != fieldDecision && number != fieldGoneVM && number != fieldKeyTable {
			plain = append(plain, field...)
			continue
		}
		if kind != protowire.BytesType {
			return nil, fmt.Errorf("%w: field %d has wire type %d, want %d", errMalformedSnapshot, number, kind, protowire.BytesType)
		}
		content, _ := protowire.ConsumeBytes(value)
		var err error
		switch number {
		case fieldDecision:
			err = s.decodeDecision(content)
		case fieldGoneVM:
			err = s.decodeGoneVM(content)
		default:
			err = s.keys.decode(content)
		}
		if err != nil {
			return nil, err
		}
	}
	return plain, nil
}

func (s *State) decodeDecision(content []byte) error {
	var explained wigeonwire.Explained
	if err := proto.Unmarshal(content, &explained); err != nil {
		return fmt.Errorf("decode decision: %w", err)
	}
	about := subject{explained.GetDecision().GetSubjectKind(), explained.GetDecision().GetSubject()}
	history := s.decisionHistories[about]
	if history == nil {
		history = &decisionHistory{}
		s.decisionHistories[about] = history
	}
	history.add(content)
	return nil
}

func (s *State) decodeGoneVM(content []byte) error {
	id, size := protowire.ConsumeString(content)
	if size < 0 {
		return fmt.Errorf("%w: departed VM has no valid id", errMalformedSnapshot)
	}
	atMS, length := protowire.ConsumeVarint(content[size:])
	if length < 0 {
		return fmt.Errorf("%w: departed VM %q has no valid time", errMalformedSnapshot, id)
	}
	s.goneAtMS[wigeonstep.VMID(id)] = int64(atMS)
	return nil
}

func (t *keyTable) decode(content []byte) error {
	encoded, size := protowire.ConsumeBytes(content)
	if size < 0 || (len(content)-size)%keyEntryBytes != 0 {
		return fmt.Errorf("%w: key table of %d bytes does not hold names and whole entries of %d bytes", errMalformedSnapshot, len(content), keyEntryBytes)
	}
	var names []keyNames
	for len(encoded) > 0 {
		var texts [3]string
		for i := range texts {
			text, length := protowire.ConsumeString(encoded)
			if length < 0 {
				return fmt.Errorf("%w: invalid name after %d entries in the name list of the key table", errMalformedSnapshot, len(names))
			}
			texts[i], encoded = text, encoded[length:]
		}
		names = append(names, keyNames{team: texts[0], class: texts[1], service: texts[2]})
	}
	for entries := content[size:]; len(entries) > 0; entries = entries[keyEntryBytes:] {
		packed := binary.LittleEndian.Uint32(entries[44:])
		if int(packed>>8) >= len(names) {
			return fmt.Errorf("%w: key entry refers to names %d of %d", errMalformedSnapshot, packed>>8, len(names))
		}
		t.add(keyEntry{
			id:              keyID(entries[:16]),
			session:         binary.LittleEndian.Uint64(entries[16:]),
			offset:          binary.LittleEndian.Uint64(entries[24:]),
			requestHash:     binary.LittleEndian.Uint64(entries[32:]),
			acceptedS:       binary.LittleEndian.Uint32(entries[40:]),
			namesAndOutcome: packed & 0xff,
		}, names[packed>>8])
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
		opened:       wigeonstep.Offset(message.GetOpenedOffset()),
		lastSequence: message.GetLastSequence(),
		status:       message.GetStatus(),
		endedAtMS:    message.GetEndedUnixMs(),
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
		return fmt.Errorf("parse document of service %s: %s", message.GetService(), reason)
	}
	s.services[wigeonstep.ServiceName(message.GetService())] = &service{
		view: &Service{
			Version:        wigeonstep.DocumentVersion(message.GetVersion()),
			Document:       document,
			Operator:       message.GetOperator(),
			AcceptedOffset: wigeonstep.Offset(message.GetOffset()),
			AcceptedAt:     time.UnixMilli(message.GetAtUnixMs()).UTC(),
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
		Shape:       decodeShape(message.GetShape()),
		Phase:       message.GetPhase(),
		Epoch:       wigeonstep.VMEpoch(message.GetEpoch()),
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
