package main

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wigeonstep/wigeonstep/wigeondemo"
	"github.com/wigeonstep/wigeonstep/wigeontelemetry"
)

func newDemoCommand(out, errOut io.Writer) *ffcli.Command {
	flags := newFlagSet("demo", errOut)
	length := flags.Duration("for", 20*time.Second, "longest time that the demo takes, at least 12s")
	level := flags.String("log-level", "error", "least level of the processes' logs")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "wigeonstep demo [-for DURATION]",
		ShortHelp:  "plays a recorded trace of two deployments on stand-ins",
		LongHelp: `Starts entry processes, control daemons and stand-ins for two deployments in three data centres each, sends a recorded
trace, changes a document, runs a maintenance wave and lets a worker fail. Meanwhile it hands jobs in at one of two nodes
on stand-ins of the users' platform, kills that node and sees the jobs completed at the other. It ends with a table of outcomes and measures.
The exit status is 1 when an outcome breaks a promise.

Example:
  wigeonstep demo -for 15s`,
		FlagSet: flags,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 || *length < 12*time.Second {
				return usagef("demo: takes no arguments and at least -for 12s")
			}
			logger, err := wigeontelemetry.NewLogger(errOut, *level)
			if err != nil {
				return usageError{err}
			}
			jobs := startJobDemo(ctx, logger)
			results, err := wigeondemo.Run(ctx, wigeondemo.Config{Length: *length, Progress: out, Logger: logger})
			job := <-jobs
			job.writeText(out)
			err = errors.Join(err, job.err)
			breached := job.breached()
			for _, result := range results {
				if result != nil {
					err = errors.Join(err, result.WriteText(out))
					breached = breached || len(result.Breaches()) > 0
				}
			}
			if breached {
				err = errors.Join(err, errors.New("demo: an outcome breached its guarantee; see the results"))
			}
			return err
		},
	}
}
