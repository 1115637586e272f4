package wigeonstep

import (
	"context"
	"time"
)

// KeyedRecord is one record of a partition of the job log.
type KeyedRecord struct {
	Key string
	// Value is empty in a record that deletes the key.
	Value []byte
}

// KeyedRead is the result of one read of a partition.
type KeyedRead struct {
	// Records holds consecutive records, starting at the requested offset.
	Records []KeyedRecord
	// Next is the offset after the last record.
	Next Offset
	// End is the end of the partition at the time of the read, the offset of the next append.
	End Offset
}

// NewestPage is one page of the listing of the newest record of each key. The pages are not a snapshot: a later page may
// hold records written after an earlier one was read.
type NewestPage struct {
	Records []KeyedRecord
	// NextAfter is the key from which the next page continues; empty on the last page.
	NextAfter string
	// End is the end of the partition at the time the page was read.
	End Offset
}

// AppendFence restricts appends to the owner with the highest epoch and makes them idempotent and ordered.
type AppendFence struct {
	// Epoch is the fencing token of the owner, which the log calls its epoch.
	Epoch FencingToken
	// Sequence increases by one with each append of an epoch. An append that repeats a recent number has no further effect.
	Sequence uint64
}

// KeyedLog is a compacted log, which keeps the newest record of each key. Errors wrap ErrUnavailable or ErrCompacted.
type KeyedLog interface {
	// ReadKeyed returns records from the offset on. If there is none yet, it waits up to wait for one.
	ReadKeyed(ctx context.Context, part Partition, from Offset, wait time.Duration) (KeyedRead, error)
	// ListNewest returns one page of the newest records of all keys: the first page if after is empty, otherwise the page
	// that continues after the key.
	ListNewest(ctx context.Context, part Partition, after string) (NewestPage, error)
}

// JobLog holds the durable state of all jobs. Errors of Append wrap ErrUnavailable if the call had no effect and may be
// repeated, ErrAnswerLost if it took effect or may still do so, ErrFenced if the log has seen a higher epoch, or
// ErrCompacted.
type JobLog interface {
	KeyedLog
	// Append appends the records atomically and returns the end of the partition after them. With a fence and no records,
	// it only raises the epoch.
	Append(ctx context.Context, part Partition, records []KeyedRecord, fence *AppendFence) (Offset, error)
}

// JobRegistry assigns each job id to one partition for good, whatever configuration the caller has in force. A client may submit
// a job again after its queue has moved to another service, and so to another partition.
type JobRegistry interface {
	// Register assigns the job to the partition, unless it is assigned already, and reports whether it is assigned to that
	// partition. Repeated calls are harmless. Errors wrap ErrUnavailable, ErrAnswerLost or ErrRejected.
	Register(ctx context.Context, id JobID, part Partition) (bool, error)
}

// Membership describes a member of the group among which the partitions of the job log are distributed.
type Membership struct {
	Member string
	// TTL is the time after which the group drops a member that has not renewed its membership.
	TTL time.Duration
	// Generation is the generation of the last assignment received, or 0.
	Generation uint64
}

// Assignment holds the partitions assigned to one member of the group.
type Assignment struct {
	// Generation increases with each change of the group.
	Generation uint64
	Partitions []Partition
}

// Group distributes the partitions among the live processes. An assignment may be outdated at any time, so it
// does not exclude other processes from a partition. Only the epochs in AppendFence do.
type Group interface {
	// Join joins the group or renews the membership, and returns the current assignment.
	Join(ctx context.Context, m Membership) (Assignment, error)
	// ListHolders returns the member to which each partition is assigned. Partitions without a member are absent.
	ListHolders(ctx context.Context) (map[Partition]string, error)
	Leave(ctx context.Context, m Membership) error
}
