package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/platform"
	"github.com/wigeonstep/wigeonstep/wigeondaemon"
	"github.com/wigeonstep/wigeonstep/wigeonjob"
)

func newWhereCommand(out, errOut io.Writer) *ffcli.Command {
	flags := newFlagSet("where", errOut)
	var source sourceFlags
	source.register(flags)
	queue := flags.String("queue", "", "name of the queue")
	team := flags.String("team", "", "name of the team that would submit the job; empty on a public queue")
	id := flags.String("id", "where", "id of the job, which decides on its shard if the service has several")
	return &ffcli.Command{
		Name:       "where",
		ShortUsage: "wigeonstep where -peer ADDRESS -queue NAME [-team NAME] [-id ID] [-json] FILE",
		ShortHelp:  "says where a job would be placed now, and why, without submitting it",
		LongHelp: `FILE holds the JSON body of a submission. Any node on the users' platform answers at its peer address, the first of
internal_ports in its settings, at most 10 questions a second. Nothing is stored, counted or sent to a worker.

Example:
  wigeonstep where -peer 10.1.0.9:7060 -queue r-ib23yku job.json`,
		FlagSet: flags,
		Exec: func(ctx context.Context, args []string) error {
			if source.peer == "" || source.platform != "" || *queue == "" || len(args) != 1 {
				return usagef("where: name -peer, -queue and one file")
			}
			body, err := os.ReadFile(args[0])
			if err != nil {
				return usageError{fmt.Errorf("where: %w", err)}
			}
			job, err := platform.DecodeSubmission(wigeonstep.JobID(*id), body)
			if err != nil {
				return usageError{fmt.Errorf("where: the job would be refused with 400: %w", err)}
			}
			question := wigeondaemon.WhereQuestion{Queue: wigeonstep.QueueName(*queue), Team: wigeonstep.TeamName(*team), ID: job.ID}
			if question.Job, err = wigeonjob.EncodeJob(job); err != nil {
				return fmt.Errorf("where: %w", err)
			}
			view, err := question.View()
			if err != nil {
				return fmt.Errorf("where: %w", err)
			}
			var answer wigeondaemon.WhereAnswer
			if err := source.query(ctx, view, &answer); err != nil {
				return fmt.Errorf("where: %w", err)
			}
			if source.asJSON {
				return writeJSON(out, answer)
			}
			return answer.WriteText(out)
		},
	}
}
