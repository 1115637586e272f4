package main

import (
	"context"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep/wigeonfake"
)

func platformCommand(out output) *ffcli.Command {
	flags := newFlagSet("wigeonfake "+namePlatform, out)
	listen := flags.String("listen", "127.0.0.1:7400", "host:port to listen on")
	seed := flags.Uint64("seed", 1, "seed of the random faults")
	retention := flags.Duration("retention", time.Hour, "how long the log keeps records")
	appendsPerSecond := flags.Int("appends-per-second", 500, "rate above which appends are rejected")
	rebootTime := flags.Duration("reboot-time", 5*time.Second, "how long a reboot takes")
	listLag := flags.Duration("list-lag", time.Second, "how far the VM list is behind")
	return &ffcli.Command{
		Name:       namePlatform,
		ShortUsage: "wigeonfake platform [flags]",
		ShortHelp:  "run the platform: log, VM list and actions on VMs",
		LongHelp: `Serves the API that the package wigeonplatform documents, and /control to switch faults. State is in memory.

Examples:
  wigeonfake platform -listen 127.0.0.1:7400
  curl -X PATCH -d '{"log_down": true}' http://127.0.0.1:7400/control/faults
  curl -X PUT http://127.0.0.1:7400/control/cut/entry-1
  curl -X DELETE http://127.0.0.1:7400/control/vms/a1`,
		FlagSet: flags,
		Options: flagOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			if err := checkLoopback("listen", *listen); err != nil {
				return err
			}
			platform := &wigeonfake.Platform{Seed: *seed}
			platform.OnVMEvent = func(event wigeonfake.VMEvent) {
				out.logger.Info("a VM changed state", zap.String("event", string(event.Kind)), zap.String("vm", string(event.VM.ID)),
					zap.String("pool", string(event.VM.Pool)), zap.Uint64("fence", uint64(event.VM.Fence)), zap.Int("reboots", event.VM.Reboots))
			}
			platform.SetFaults(wigeonfake.Faults{
				RetainAge: *retention, AppendsPerSecond: *appendsPerSecond, RebootTime: *rebootTime, VMListLag: *listLag,
			})
			server := &wigeonfake.PlatformServer{Platform: platform}
			if err := server.Start(*listen); err != nil {
				return err
			}
			out.logger.Info("the platform listens", zap.String("address", server.Address()))
			<-ctx.Done()
			server.Close()
			platform.Close()
			out.logger.Info("the platform stopped", zap.Int("appends", platform.Appends()))
			return nil
		},
	}
}
