package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wigeonstep/wigeonstep/wigeonoperator"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

func newStatusCommand(out, errOut io.Writer) *ffcli.Command {
	flags := newFlagSet("status", errOut)
	var source sourceFlags
	source.register(flags)
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "wigeonstep status (-platform ADDRESS | -peer ADDRESS) [-json]",
		ShortHelp:  "shows data centres, pools, budgets, waves and the age of what is known",
		LongHelp: `With -platform the command reads the log itself and adds nothing to it.
With -peer it asks one process for its view, which also works while the platform is down.

Examples:
  wigeonstep status -platform 127.0.0.1:9000
  wigeonstep status -peer 127.0.1.1:7002 -json`,
		FlagSet: flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := source.validate("status"); err != nil {
				return err
			}
			if len(args) > 0 {
				return usagef("status: takes no arguments, found %q", args[0])
			}
			var status wigeonoperator.Status
			if err := source.query(ctx, wigeonoperator.StatusView, &status); err != nil {
				return fmt.Errorf("status: %w", err)
			}
			if source.asJSON {
				return writeJSON(out, status)
			}
			return status.WriteText(out)
		},
	}
}

func newExplainCommand(out, errOut io.Writer) *ffcli.Command {
	flags := newFlagSet("explain", errOut)
	var source sourceFlags
	source.register(flags)
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "wigeonstep explain (-platform ADDRESS | -peer ADDRESS) [-json] KIND ID",
		ShortHelp:  "says what was decided about a VM, pool, service, job, request or wave, and why",
		LongHelp: `KIND is one of ` + strings.Join(wigeonoperator.SubjectKinds, ", ") + `. The id of a request is its idempotency key.

A node on the users' platform explains jobs: how far their steps are and what they wait for. Ask any node at its peer
address, the first of internal_ports in its settings.

Examples:
  wigeonstep explain -platform 127.0.0.1:9000 vm budapest-r1-2
  wigeonstep explain -peer 127.0.1.1:7002 service orders
  wigeonstep explain -peer 10.1.0.9:7060 job 3d8a88d1f7bc1deb`,
		FlagSet: flags,
		Exec: func(ctx context.Context, args []string) error {
			if err := source.validate("explain"); err != nil {
				return err
			}
			if len(args) != 2 {
				return usagef("explain: name a kind and an id")
			}
			view := args[0] + "/" + args[1]
			if _, _, err := wigeonoperator.ParseSubject(view); err != nil {
				return usagef("explain: %w", err)
			}
			var explanation wigeonoperator.Explanation
			if err := source.query(ctx, view, &explanation); err != nil {
				return fmt.Errorf("explain: %w", err)
			}
			if source.asJSON {
				return writeJSON(out, explanation)
			}
			return explanation.WriteText(out)
		},
	}
}

func answerQuery(view string, reader wigeonoperator.StateReader) ([]byte, error) {
	answer, err := wigeonoperator.AnswerStatusQuery(&wigeonwire.StatusQuery{View: view}, reader)
	return answer.GetJson(), err
}
