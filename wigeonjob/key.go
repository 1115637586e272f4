package wigeonjob

import (
	"fmt"
	"strings"

	"github.com/wigeonstep/wigeonstep"
)

// Kind is the kind of a record in the job log: the first byte of the record's key.
type Kind byte

// Kinds of records.
const (
	KindJob         Kind = 'j'
	KindProgress    Kind = 'p'
	KindTasks       Kind = 't'
	KindCancel      Kind = 'c'
	KindWithdrawal  Kind = 'w'
	KindOwner       Kind = 'o'
	KindMaintenance Kind = 'u'
	KindRelease     Kind = 'r'
	KindMove        Kind = 'm'
	KindPartitions  Kind = 's'
	KindAllowances  Kind = 'a'
	KindShardEpochs Kind = 'e'
)

// Key returns the key of the record of the given kind for an id.
func Key[T ~string](kind Kind, id T) string {
	return string(kind) + "/" + string(id)
}

// TasksID identifies a record of KindTasks: it holds the progress of the tasks of a step whose index divided by
// TasksPerRecord is Number.
type TasksID struct {
	Job        wigeonstep.JobID
	Occurrence int
	Step       int
	Number     int
}

// Key returns the key of the record.
func (id TasksID) Key() string {
	return Key(KindTasks, fmt.Sprintf("%s.%d.%d.%d", id.Job, id.Occurrence, id.Step, id.Number))
}

// ParseTasksID parses the id in the key of a record of KindTasks.
func ParseTasksID(text string) (TasksID, bool) {
	// It has the form of a task id.
	id, ok := ParseTaskID(text)
	return TasksID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step, Number: id.Index}, ok
}

// SplitKey returns the kind and the id of a key; ok is false when the key has another form.
func SplitKey(key string) (kind Kind, id string, ok bool) {
	if len(key) < 2 || key[1] != '/' {
		return 0, "", false
	}
	return Kind(key[0]), key[2:], true
}

// OwnerKey is the key of the owner record. A partition has one owner, so the key contains no id.
const OwnerKey = "o/"

// ShardEpochsKey is the key of the record of the shards' epochs, of which the fleet partition has one.
const ShardEpochsKey = "e/"

// ParseTaskID parses a task id of the form JOB.OCCURRENCE.STEP.INDEX.
func ParseTaskID(text string) (wigeonstep.TaskID, bool) {
	job, rest, _ := strings.Cut(text, ".")
	occurrence, rest, _ := strings.Cut(rest, ".")
	step, index, _ := strings.Cut(rest, ".")
	var numbers [3]int
	for i, part := range [3]string{occurrence, step, index} {
		n, ok := parseNumber(part)
		if !ok {
			return wigeonstep.TaskID{}, false
		}
		numbers[i] = n
	}
	return wigeonstep.TaskID{Job: wigeonstep.JobID(job), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, job != ""
}

// parseNumber parses an unsigned decimal number of at most nine digits, which fits into an int32.
func parseNumber(text string) (int, bool) {
	if text == "" || len(text) > 9 {
		return 0, false
	}
	n := 0
	for i := range len(text) {
		digit := text[i] - '0'
		if digit > 9 {
			return 0, false
		}
		n = n*10 + int(digit)
	}
	return n, true
}
