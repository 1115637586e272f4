package main

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"

	"github.com/wigeonstep/wigeonstep"
	"github.com/wigeonstep/wigeonstep/wigeonfake"
)

// backendFlags are the flags of the backend subcommand.
type backendFlags struct {
	listen     string
	platform   string
	prefix     string
	count      int
	dataCentre string
	rackSize   int
	pool       string
	shape      wigeonstep.Shape
	runTime    time.Duration
}

func backendCommand(out output) *ffcli.Command {
	var f backendFlags
	flags := newFlagSet("wigeonfake "+nameBackend, out)
	flags.StringVar(&f.listen, "listen", "127.0.0.1:0", "host:port of the first server; later ones take the next ports; 0 lets the system choose")
	flags.StringVar(&f.platform, namePlatform, "", "host:port of a wigeonfake platform to register at and to follow; empty for none")
	flags.StringVar(&f.prefix, "id-prefix", "vm-", "prefix of the VM ids, which end with 1, 2, ...")
	flags.IntVar(&f.count, "count", 1, "how many backend servers to run, at most 500")
	flags.StringVar(&f.dataCentre, "data-centre", "dc1", "data centre of the VMs")
	flags.IntVar(&f.rackSize, "rack-size", 4, "how many VMs are in a rack")
	flags.StringVar(&f.pool, "pool", string(wigeonstep.SparePool), "first pool of the VMs")
	flags.IntVar(&f.shape.Cores, "cores", 32, "processors of a VM")
	flags.IntVar(&f.shape.MemoryGB, "memory-gb", 64, "memory of a VM in GB")
	flags.IntVar(&f.shape.Accelerators, "accelerators", 0, "accelerators of a VM")
	flags.IntVar(&f.shape.Slots, "slots", 8, "requests that a VM runs at once")
	flags.IntVar(&f.shape.Connections, "connections", 64, "connections that a VM takes")
	flags.DurationVar(&f.runTime, "run-time", 5*time.Millisecond, "run time of a request that does not state one")
	return &ffcli.Command{
		Name:       nameBackend,
		ShortUsage: "wigeonfake backend [flags]",
		ShortHelp:  "run backend servers",
		LongHelp: `Runs backend servers that drain, reboot and change pools as the platform says. Each serves ` + wigeonfake.ControlPath + `:
GET shows its faults, statistics and run counts; PATCH changes its faults.

Examples:
  wigeonfake backend -platform 127.0.0.1:7400 -count 8 -id-prefix a -pool orders
  wigeonfake backend -listen 127.0.0.1:9001
  curl -X PATCH -d '{"slow_factor": 10}' http://127.0.0.1:9001` + wigeonfake.ControlPath,
		FlagSet: flags,
		Options: flagOptions(),
		Exec: func(ctx context.Context, args []string) error {
			if err := rejectArguments(args); err != nil {
				return err
			}
			if err := f.validate(); err != nil {
				return err
			}
			return f.run(ctx, out)
		},
	}
}

func (f *backendFlags) validate() error {
	if err := checkLoopback("listen", f.listen); err != nil {
		return err
	}
	if f.platform != "" {
		if err := checkLoopback(namePlatform, f.platform); err != nil {
			return err
		}
	}
	if f.count < 1 || f.count > 500 {
		return usagef("-count %d: expected 1 to 500", f.count)
	}
	if f.rackSize < 1 || f.shape.Slots < 1 || f.shape.Connections < 1 {
		return usagef("-rack-size, -slots and -connections must be at least 1")
	}
	return nil
}

func (f *backendFlags) run(ctx context.Context, out output) error {
	agent := &wigeonfake.Agent{Platform: f.platform, Logger: out.logger}
	for i := range f.count {
		backend, err := f.startServer(i)
		if err != nil {
			return err
		}
		defer backend.Stop()
		out.logger.Info("a backend server listens", zap.String("vm", string(backend.VM)), zap.String("address", backend.Address()))
		if f.platform == "" {
			continue
		}
		if err := agent.Add(ctx, f.listedVM(i), backend); err != nil {
			return err
		}
	}
	if f.platform != "" {
		agent.Run(ctx)
	}
	<-ctx.Done()
	out.logger.Info("the backend servers stop", zap.Int("count", f.count))
	return nil
}

func (f *backendFlags) startServer(index int) (*wigeonfake.BackendServer, error) {
	host, portText, _ := net.SplitHostPort(f.listen) // validate has checked the address
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, usagef("-listen %q: the port is not a number", f.listen)
	}
	if port > 0 {
		port += index
	}
	backend := &wigeonfake.BackendServer{
		VM: f.listedVM(index).ID, Slots: f.shape.Slots, Connections: f.shape.Connections, RunTime: f.runTime, Seed: uint64(index), //nolint:gosec // small
	}
	if err := backend.Start(net.JoinHostPort(host, strconv.Itoa(port))); err != nil {
		return nil, fmt.Errorf("start backend server %s: %w", backend.VM, err)
	}
	return backend, nil
}

func (f *backendFlags) listedVM(index int) wigeonstep.ListedVM {
	return wigeonstep.ListedVM{
		ID:         wigeonstep.VMID(f.prefix + strconv.Itoa(index+1)),
		DataCentre: wigeonstep.DataCentreName(f.dataCentre),
		Rack:       wigeonstep.RackName("rack-" + strconv.Itoa(index/f.rackSize+1)),
		Pool:       wigeonstep.PoolName(f.pool),
		Shape:      f.shape,
		Up:         true,
	}
}
