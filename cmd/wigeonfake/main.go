// Command wigeonfake runs stand-ins of the platform, of backend servers and of callers.
//
// The exit status is 0 on success, 1 on failure and 2 for a usage error.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zapio"
)

const (
	exitFailure = 1
	exitUsage   = 2

	namePlatform = "platform"
	nameBackend  = "backend"
	nameCaller   = "caller"
)

// usageError marks an error in the command line or in an input file. It sets exit status 2.
type usageError struct{ error }

func usagef(format string, values ...any) error {
	return usageError{fmt.Errorf(format, values...)}
}

// output holds the output streams and the logger of a command.
type output struct {
	stdout io.Writer
	stderr io.Writer
	logger *zap.Logger
}

func main() {
	// The HTTP library Hertz logs through a global logger. Its warnings and errors go to the log of this process.
	hlog.SetOutput(&zapio.Writer{Log: newLogger(os.Stderr), Level: zap.WarnLevel})
	hlog.SetLevel(hlog.LevelWarn)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	status := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}

// run executes the command line and returns the exit status.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	out := output{stdout: stdout, stderr: stderr, logger: newLogger(stderr)}
	root := &ffcli.Command{
		Name:       "wigeonfake",
		ShortUsage: "wigeonfake <platform|backend|caller> [flags]",
		LongHelp:   "Runs a stand-in on the loopback range. Every flag can also be set in the environment, for example WIGEONFAKE_LISTEN.",
		FlagSet:    newFlagSet("wigeonfake", out),
		Subcommands: []*ffcli.Command{
			platformCommand(out), backendCommand(out), callerCommand(out),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("unknown command %q", args[0])
			}
			return usagef("no command is named")
		},
	}
	err := root.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	err = root.Run(ctx)
	var usage usageError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage):
		_, _ = fmt.Fprintf(stderr, "%v\nrun \"wigeonfake -h\" for help\n", err)
		return exitUsage
	}
	out.logger.Error("command failed", zap.Error(err))
	return exitFailure
}

func newFlagSet(name string, out output) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(out.stderr)
	return flags
}

func flagOptions() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix("WIGEONFAKE")}
}

func newLogger(w io.Writer) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(config), zapcore.Lock(zapcore.AddSync(w)), zap.InfoLevel))
}

// rejectArguments returns a usage error if there are arguments after the flags.
func rejectArguments(args []string) error {
	if len(args) > 0 {
		return usagef("unexpected argument %q", args[0])
	}
	return nil
}

// checkLoopback returns a usage error unless the address is a loopback IP address with a port.
func checkLoopback(flagName, address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return usagef("-%s %q: %v", flagName, address, err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return usagef("-%s %q: expected an IP number of the loopback range", flagName, address)
	}
	return nil
}
