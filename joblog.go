package wigeonstep

import (
	"context"
	"time"
)

// KeyedRecord is one record of a partition of the job log.
type KeyedRecord struct {
	Key string
	// Value is empty when the record drops the key.
	Value []byte
}

// KeyedRead is the result of one read of a partition.
type KeyedRead struct {
	// Records are in the order of their offsets, without gaps, from the offset asked for.
	Records []KeyedRecord
	// Next is the offset after the last record.
	Next Offset
	// End is the offset that the next append will get.
	End Offset
}

// NewestPage is a part of the newest records of all keys. Pages are no snapshot: a later page may hold newer records.
type NewestPage struct {
	Records []KeyedRecord
	// After continues the listing; empty when the page is the last one.
	After string
	// End is the end of the partition when the page was read.
	End Offset
}

// AppendFence makes the log accept an append only from the owner with the highest epoch, once and in order.
type AppendFence struct {
	Epoch Fence
	// Sequence rises by one with each append of an epoch. A repeat of a recent one has no further effect.
	Sequence uint64
}

// KeyedLog is a log that keeps the newest record of each key. Errors wrap ErrUnavailable or ErrCompacted.
type KeyedLog interface {
	// ReadKeyed waits up to wait for a record at the offset.
	ReadKeyed(ctx context.Context, part Partition, from Offset, wait time.Duration) (KeyedRead, error)
	// Newest lists the newest record of each key, from the first key or from the one after the given one.
	Newest(ctx context.Context, part Partition, after string) (NewestPage, error)
}

// JobLog holds the durable state of all jobs. Errors of an append wrap ErrUnavailable when a call had no effect and may be repeated,
// ErrAnswerLost when it may have taken effect or may yet do so, ErrFenced when a higher epoch was seen, and ErrCompacted.
type JobLog interface {
	KeyedLog
	// Append adds the records, all or none. With a fence and no records it only raises the epoch. It returns the end of
	// the partition after the append.
	Append(ctx context.Context, part Partition, records []KeyedRecord, fence *AppendFence) (Offset, error)
}

// Membership is a member of the group that shares the partitions of the job log out.
type Membership struct {
	Member string
	TTL    time.Duration
	// Generation is the last one received, or 0.
	Generation uint64
}

// Assignment is what the group gives to one member.
type Assignment struct {
	// Generation rises with each change of the group.
	Generation uint64
	Partitions []Partition
}

// Group shares the partitions out among the live processes. What a member was told may be out of date at any time; only
// the epoch of the partition protects it.
type Group interface {
	Join(ctx context.Context, m Membership) (Assignment, error)
	// Holders returns the names of the members that hold partitions.
	Holders(ctx context.Context) ([]string, error)
	Leave(ctx context.Context, m Membership) error
}
