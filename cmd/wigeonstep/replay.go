package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wigeonstep/wigeonstep/wigeonreplay"
)

type replayFlags struct {
	trace    string
	outcomes string
	seed     uint64
	policy   string
}

func newReplayCommand(out, errOut io.Writer) *ffcli.Command {
	flags := newFlagSet("replay", errOut)
	var f replayFlags
	flags.StringVar(&f.trace, "trace", "", "recorded trace (YAML)")
	flags.StringVar(&f.outcomes, "outcomes", "", "stated outcomes (YAML)")
	flags.Uint64Var(&f.seed, "seed", 1, "seed of everything that the trace leaves open")
	flags.StringVar(&f.policy, "policy", string(wigeonreplay.PolicyWigeonstep), "planners: wigeonstep, or the baseline fixed or greedy")
	return &ffcli.Command{
		Name:       "replay",
		ShortUsage: "wigeonstep replay -trace FILE -outcomes FILE [-seed N] [-policy wigeonstep|fixed|greedy]",
		ShortHelp:  "replays a recorded trace and checks stated outcomes",
		LongHelp: `Drives the decision cores with the trace, without a fleet, and prints each outcome with its bound and its figure.
The same trace and seed give the same output. The exit status is 1 when an outcome is breached and 2 for bad input.

Example:
  wigeonstep replay -trace wigeonreplay/testdata/oltvanykod.yaml -outcomes wigeonreplay/testdata/oltvanykod.outcomes.yaml`,
		FlagSet: flags,
		Exec: func(_ context.Context, args []string) error {
			if f.trace == "" || f.outcomes == "" || len(args) > 0 {
				return usagef("replay: name -trace and -outcomes and no arguments")
			}
			return f.run(out)
		},
	}
}

func (f *replayFlags) run(out io.Writer) error {
	policy, err := wigeonreplay.ParsePolicy(f.policy)
	if err != nil {
		return usagef("replay: %w", err)
	}
	traceData, traceErr := os.ReadFile(f.trace)
	outcomeData, outcomeErr := os.ReadFile(f.outcomes)
	if err := errors.Join(traceErr, outcomeErr); err != nil {
		return usageError{fmt.Errorf("replay: %w", err)}
	}
	trace, traceFaults := wigeonreplay.ParseTrace(f.trace, traceData)
	outcomes, outcomeFaults := wigeonreplay.ParseOutcomes(f.outcomes, outcomeData)
	if err := errors.Join(traceFaults.Err(), outcomeFaults.Err()); err != nil {
		return usageError{err}
	}
	result, err := wigeonreplay.Replay(trace, outcomes, f.seed, policy)
	if err != nil {
		return usageError{fmt.Errorf("replay: %w", err)}
	}
	if err := result.WriteText(out); err != nil {
		return fmt.Errorf("replay: %w", err)
	}
	if result.Breaches > 0 {
		return fmt.Errorf("replay of %s: %d outcomes breached", f.trace, result.Breaches)
	}
	return nil
}
