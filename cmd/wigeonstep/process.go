package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep/wigeonprocess"
	"github.com/wigeonstep/wigeonstep/wigeonsettings"
	"github.com/wigeonstep/wigeonstep/wigeontelemetry"
	"github.com/wigeonstep/wigeonstep/wigeonyaml"
)

func newEntryCommand(errOut io.Writer) *ffcli.Command {
	return newProcessCommand("entry", "serves callers and sends their requests to backend servers", errOut, wigeonsettings.ParseEntry,
		func(settings wigeonsettings.Entry) string { return settings.LogLevel },
		wigeonprocess.RunEntry)
}

func newControlCommand(errOut io.Writer) *ffcli.Command {
	return newProcessCommand("control", "plans drains, reboots, repairs and moves in its data centre", errOut, wigeonsettings.ParseControl,
		func(settings wigeonsettings.Control) string { return settings.LogLevel },
		func(ctx context.Context, settings wigeonsettings.Control, deps wigeonprocess.Deps) error {
			if os.Getenv("GOGC") == "" {
				debug.SetGCPercent(controlGCPercent)
			}
			return wigeonprocess.RunControl(ctx, settings, deps)
		})
}

// controlGCPercent keeps a planning control daemon within its limit of 64 MB at the target fleet size: the peak falls
// from 59 to 51 MB. While a daemon writes snapshots the peak falls from 79 to 70 MB, which is still above the limit.
// CPU use is 2% of a core either way.
const controlGCPercent = 50

// newProcessCommand returns the command that runs an entry or control process until SIGTERM or SIGINT. parse parses the
// settings file and logLevel returns the log level from it.
func newProcessCommand[T any](name, help string, errOut io.Writer, parse func(string, []byte) (T, wigeonyaml.Faults),
	logLevel func(T) string, run func(context.Context, T, wigeonprocess.Deps) error,
) *ffcli.Command {
	flags := newFlagSet(name, errOut)
	file := flags.String("settings", "", "settings file of the process (YAML)")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "wigeonstep " + name + " -settings FILE",
		ShortHelp:  help,
		LongHelp: fmt.Sprintf(`Logs one key=value line for each event to the standard error.
SIGTERM stops the process gracefully; the exit status is then 0.

Example:
  wigeonstep %s -settings examples/local/%s-budapest.yaml`, name, name),
		FlagSet: flags,
		Exec: func(ctx context.Context, args []string) error {
			if *file == "" || len(args) > 0 {
				return usagef("%s: name -settings and no arguments", name)
			}
			settings, err := wigeonsettings.Load(*file, parse)
			if err != nil {
				return usageError{err}
			}
			logger, err := wigeontelemetry.NewLogger(errOut, logLevel(settings))
			if err != nil {
				return usageError{err}
			}
			wigeontelemetry.RedirectHertz(logger)
			return run(ctx, settings, wigeonprocess.Deps{Logger: logger.With(zap.String("process", name))})
		},
	}
}
