package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonfollow"
	"github.com/wigeonstep/wigeonstep/wigeonoperator"
)

func newWaveCommand(out, errOut io.Writer) *ffcli.Command {
	flags := newFlagSet("wave", errOut)
	platform := flags.String("platform", "", "host:port of the platform")
	timeout := flags.Duration("timeout", 30*time.Second, "longest time that the command takes")
	return &ffcli.Command{
		Name:       "wave",
		ShortUsage: "wigeonstep wave -platform ADDRESS POOL",
		ShortHelp:  "starts a maintenance wave over a pool before one is due",
		LongHelp: `Every VM of the pool is drained, rebooted and returned once, within the disruption budgets.
The command ends when the wave is accepted; status and explain show its progress.

Example:
  wigeonstep wave -platform 127.0.0.1:9000 orders`,
		FlagSet: flags,
		Exec: func(ctx context.Context, args []string) error {
			if *platform == "" || len(args) != 1 {
				return usagef("wave: name -platform and one pool")
			}
			ctx, cancel := context.WithTimeout(ctx, *timeout)
			defer cancel()
			return withFollower(ctx, operatorSessionConfig(), *platform, func(ctx context.Context, follower *wigeonfollow.Follower) error {
				wave, err := wigeonoperator.StartWave(ctx, follower, wigeonstep.PoolName(args[0]))
				closeSession(ctx, follower)
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "wave %s accepted\n", wave)
				return nil
			})
		},
	}
}
