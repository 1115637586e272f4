package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wigeonstep/wigeonstep/wigeonsettings"
)

func newCheckCommand(out, errOut io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "wigeonstep check FILE...",
		ShortHelp:  "checks settings and service documents without a fleet",
		LongHelp: `Reports every fault of every file as "file:line:col: key: what was expected".
A file with the key "role" is checked as settings, any other as a service document.
The exit status is 0 when all files are valid and 2 when one is not.

Example:
  wigeonstep check examples/documents/orders.yaml examples/local/*.yaml`,
		FlagSet: newFlagSet("check", errOut),
		Exec:    func(_ context.Context, args []string) error { return checkFiles(out, args) },
	}
}

func checkFiles(out io.Writer, files []string) error {
	if len(files) == 0 {
		return usagef("check: name at least one file")
	}
	var faults []error
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			faults = append(faults, fmt.Errorf("check: %w", err))
			continue
		}
		if err := wigeonsettings.CheckFile(file, data).Err(); err != nil {
			faults = append(faults, err)
			continue
		}
		fmt.Fprintf(out, "%s: ok\n", file)
	}
	if len(faults) > 0 {
		return usageError{errors.Join(faults...)}
	}
	return nil
}
