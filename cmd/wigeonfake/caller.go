package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep/wigeonfake"
)

func callerCommand(out output) *ffcli.Command {
	flags := newFlagSet("wigeonfake "+nameCaller, out)
	entries := flags.String("entries", "", "host:port of the entry processes, separated by commas")
	trace := flags.String("trace", "", "trace file, .csv or .yaml")
	backends := flags.String("backends", "", "host:port of the backend servers, separated by commas, to check what ran; empty for no check")
	keyPrefix := flags.String("key-prefix", "", "put before every key, so that a trace can be run again")
	inFlight := flags.Int("in-flight", 4096, "bound of the requests under way")
	timeout := flags.Duration("timeout", 90*time.Second, "how long to wait for an answer")
	settle := flags.Duration("settle", 0, "how long to wait at the end until accepted jobs have run")
	return &ffcli.Command{
		Name:       nameCaller,
		ShortUsage: "wigeonfake caller -entries <host:port,...> -trace <file> [flags]",
		ShortHelp:  "send the requests of a trace and report what became of them",
		LongHelp: `Sends the arrivals of a trace at their times, checks every answer and prints a table of outcomes and waits by team
and class. The status is 1 when an answer was bad, a key ran twice, or an answer contradicts what ran.

The columns of a CSV trace, and the keys of the elements of "arrivals" in YAML, are offset_ms, team, class, key, run_ms,
cancel_ms and deadline_ms.

Examples:
  wigeonfake caller -entries 127.0.0.1:8001,127.0.0.2:8001 -trace spring.csv
  wigeonfake caller -entries 127.0.0.1:8001 -trace bakes.yaml -backends 127.0.0.1:9001 -settle 10s`,
		FlagSet: flags,
		Options: flagOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			if *trace == "" {
				return usagef("-trace is missing")
			}
			caller := &wigeonfake.Caller{InFlight: *inFlight, Timeout: *timeout, KeyPrefix: *keyPrefix, AcceptedJobsTimeout: *settle}
			var err error
			if caller.EntryAddresses, err = parseAddresses("entries", *entries); err != nil {
				return err
			}
			if *backends != "" {
				servers, err := parseAddresses("backends", *backends)
				if err != nil {
					return err
				}
				caller.Counts = func(ctx context.Context) (wigeonfake.RunCounts, error) {
					return wigeonfake.FetchCounts(ctx, servers)
				}
			}
			return runCaller(ctx, out, caller, *trace)
		},
	}
}

func runCaller(ctx context.Context, out output, caller *wigeonfake.Caller, traceFile string) error {
	arrivals, err := wigeonfake.LoadTrace(traceFile)
	if err != nil {
		return usageError{err}
	}
	out.logger.Info("the caller starts to send the trace", zap.Int("arrivals", len(arrivals)), zap.Strings("entries", caller.EntryAddresses))
	report, err := caller.Run(ctx, arrivals)
	if report != nil {
		if err := report.WriteTable(out.stdout); err != nil {
			return err
		}
	}
	if err != nil {
		return fmt.Errorf("run trace %s: %w", traceFile, err)
	}
	if violations := report.Violations(); violations > 0 {
		return fmt.Errorf("trace %s: %d violations: bad responses, repeated runs, or outcomes that contradict the runs", traceFile, violations)
	}
	return nil
}

func parseAddresses(flagName, list string) ([]string, error) {
	var parsed []string
	for address := range strings.SplitSeq(list, ",") {
		address = strings.TrimSpace(address)
		if err := checkLoopback(flagName, address); err != nil {
			return nil, err
		}
		parsed = append(parsed, address)
	}
	return parsed, nil
}
