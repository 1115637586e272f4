// Command wigeonstep manages the capacity and maintenance of a fleet.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"

	// SIGHUP is ignored while the Go runtime and the packages are initialised.
	_ "github.com/wigeonstep/wigeonstep/wigeonsignal"
	"github.com/wigeonstep/wigeonstep/wigeontelemetry"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

// usageError marks an error in the command line or in an input file. It sets exit status 2.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

func usagef(format string, args ...any) error {
	return usageError{fmt.Errorf(format, args...)}
}

func main() {
	// The default action of SIGHUP would end a process that is still starting. Commands that reload install a handler. Package
	// wigeonsignal does the same earlier, in builds with cgo.
	signal.Ignore(syscall.SIGHUP)
	wigeontelemetry.RedirectHertz(zap.NewNop())
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes the command line and returns the exit status.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := newRootCommand(out, errOut)
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		fmt.Fprintf(errOut, "wigeonstep: %v\n", err)
		return exitUsage
	}
	err := root.Run(ctx)
	var usage usageError
	switch {
	case err == nil, errors.Is(err, context.Canceled):
		return 0
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	case errors.As(err, &usage):
		fmt.Fprintln(errOut, err)
		return exitUsage
	}
	fmt.Fprintf(errOut, "wigeonstep: %v\n", err)
	return exitFailure
}

func newRootCommand(out, errOut io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("wigeonstep", flag.ContinueOnError)
	flags.SetOutput(errOut)
	return &ffcli.Command{
		Name:       "wigeonstep",
		ShortUsage: "wigeonstep <command> [flags] [arguments]",
		ShortHelp:  "manages the capacity and maintenance of a fleet",
		FlagSet:    flags,
		Subcommands: []*ffcli.Command{
			newNodeCommand(out, errOut),
			newEntryCommand(errOut),
			newControlCommand(errOut),
			newApplyCommand(out, errOut),
			newCheckCommand(out, errOut),
			newDemoCommand(out, errOut),
			newWaveCommand(out, errOut),
			newStatusCommand(out, errOut),
			newExplainCommand(out, errOut),
			newWhereCommand(out, errOut),
			newReplayCommand(out, errOut),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("unknown command %q; see wigeonstep -h", args[0])
			}
			return flag.ErrHelp
		},
	}
}

// newFlagSet returns an empty flag set for a subcommand.
func newFlagSet(name string, errOut io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet("wigeonstep "+name, flag.ContinueOnError)
	flags.SetOutput(errOut)
	return flags
}
