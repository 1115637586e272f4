package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeondocument"
	"github.com/wigeonstep/wigeonstep/wigeonfollow"
	"github.com/wigeonstep/wigeonstep/wigeonoperator"
)

type applyFlags struct {
	platform string
	base     int64
	operator string
	dryRun   bool
	timeout  time.Duration
}

func newApplyCommand(out, errOut io.Writer) *ffcli.Command {
	flags := newFlagSet("apply", errOut)
	var f applyFlags
	flags.StringVar(&f.platform, "platform", "", "host:port of the platform")
	flags.Int64Var(&f.base, "base", -1, "version that the document was changed from; -1 takes the version in force")
	flags.StringVar(&f.operator, "operator", operatorName(), "name kept with the change")
	flags.BoolVar(&f.dryRun, "dry-run", false, "show what the fleet would do and change nothing")
	flags.DurationVar(&f.timeout, "timeout", 30*time.Second, "longest time that the command takes")
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "wigeonstep apply -platform ADDRESS [-base VERSION] [-dry-run] FILE",
		ShortHelp:  "puts a service document in force",
		LongHelp: `The document is checked first; faults are reported with their position, and nothing changes.
A change that was made from an older version than the one in force is refused, with who changed it, when and what differs.

Examples:
  wigeonstep apply -platform 127.0.0.1:9000 -base 3 examples/documents/orders.yaml
  wigeonstep apply -platform 127.0.0.1:9000 -dry-run examples/documents/orders.yaml`,
		FlagSet: flags,
		Exec: func(ctx context.Context, args []string) error {
			if f.platform == "" || len(args) != 1 {
				return usagef("apply: name -platform and one file")
			}
			ctx, cancel := context.WithTimeout(ctx, f.timeout)
			defer cancel()
			return f.run(ctx, out, args[0])
		},
	}
}

func (f *applyFlags) run(ctx context.Context, out io.Writer, file string) error {
	content, err := os.ReadFile(file)
	if err != nil {
		return usageError{fmt.Errorf("apply: %w", err)}
	}
	document, faults := wigeondocument.Parse(file, content)
	if err := faults.Err(); err != nil {
		return usageError{err}
	}
	if f.dryRun {
		return withFollower(ctx, wigeonfollow.Config{ReadOnly: true}, f.platform, func(_ context.Context, follower *wigeonfollow.Follower) error {
			return writePreview(out, wigeonoperator.NewPreview(follower.View(), document))
		})
	}
	change := wigeonoperator.Change{
		ID:       wigeonstep.ChangeID(wigeonfollow.NewSessionID().String()),
		File:     file,
		Content:  content,
		Operator: f.operator,
	}
	if f.base >= 0 {
		base := wigeonstep.DocumentVersion(f.base)
		change.Base = &base
	}
	return withFollower(ctx, operatorSessionConfig(), f.platform, func(ctx context.Context, follower *wigeonfollow.Follower) error {
		verdict, err := wigeonoperator.Apply(ctx, follower, change)
		closeSession(ctx, follower)
		if err != nil {
			return err
		}
		if !verdict.Accepted {
			return fmt.Errorf("apply %s: refused: %s", file, verdict.Reason)
		}
		fmt.Fprintf(out, "%s: version %d accepted at offset %d\n", verdict.Service, verdict.Version, verdict.Offset)
		return nil
	})
}

func writePreview(out io.Writer, preview wigeonoperator.Preview) error {
	fmt.Fprintf(out, "base version %d\n", preview.Base)
	for _, conflict := range preview.Conflicts {
		fmt.Fprintf(out, "would be refused: %s\n", conflict)
	}
	for _, effect := range preview.Effects {
		fmt.Fprintf(out, "would change: %s\n", effect)
	}
	if len(preview.Conflicts)+len(preview.Effects) == 0 {
		fmt.Fprintln(out, "would change nothing")
	}
	return nil
}
