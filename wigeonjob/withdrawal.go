package wigeonjob

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// Withdrawal is the cancellation of a job that did not exist when a client cancelled it. A submission of the job that was under way
// then has no effect, whenever its record is written.
type Withdrawal struct {
	Job wigeonstep.JobID
	// Team and PublicQueue are those of the client's call: it cancels no job that it could not access.
	Team        wigeonstep.TeamName
	PublicQueue wigeonstep.QueueName
	At          wigeonstep.UnixMillis
}

// Key returns the key of the record. Clients that can't access each other's jobs have different ones, so that none replaces the
// record of another.
func (w Withdrawal) Key() string {
	client := xxhash.Sum64String(string(w.Team) + "\x00" + string(w.PublicQueue))
	return Key(KindWithdrawal, string(w.Job)+"."+strconv.FormatUint(client, 16))
}

// WithdrawnJob returns the job in the id of a record of KindWithdrawal.
func WithdrawnJob(id string) wigeonstep.JobID {
	job, _, _ := strings.Cut(id, ".")
	return wigeonstep.JobID(job)
}

// EncodeWithdrawal returns the record of a withdrawal.
func EncodeWithdrawal(w Withdrawal) ([]byte, error) {
	return encode(&wigeonwire.WithdrawalRecord{Job: string(w.Job), Team: string(w.Team), PublicQueue: string(w.PublicQueue), WithdrawnUnixMs: int64(w.At)})
}

// DecodeWithdrawal decodes the record of a withdrawal.
func DecodeWithdrawal(value []byte) (Withdrawal, error) {
	var r wigeonwire.WithdrawalRecord
	if err := proto.Unmarshal(value, &r); err != nil {
		return Withdrawal{}, fmt.Errorf("decode record of a withdrawal: %w", err)
	}
	return Withdrawal{
		Job: wigeonstep.JobID(r.GetJob()), Team: wigeonstep.TeamName(r.GetTeam()), PublicQueue: wigeonstep.QueueName(r.GetPublicQueue()),
		At: wigeonstep.UnixMillis(r.GetWithdrawnUnixMs()),
	}, nil
}
