// Command wigeonfake runs stand-ins of the platform, of backend servers and of callers.
//
// It exits with status 0 on success, 1 on failure and 2 for bad use.
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
	exitBadUse  = 2

	namePlatform = "platform"
	nameBackend  = "backend"
	nameCaller   = "caller"
)

// usageError is bad use of the command line.
type usageError struct{ error }

func badUse(format string, values ...any) error {
	return usageError{fmt.Errorf(format, values...)}
}

// output is where a command writes.
type output struct {
	stdout io.Writer
	stderr io.Writer
	logger *zap.Logger
}

func main() {
	// The HTTP library logs through a global logger; its warnings become lines of this process's log.
	hlog.SetOutput(&zapio.Writer{Log: newLogger(os.Stderr), Level: zap.WarnLevel})
	hlog.SetLevel(hlog.LevelWarn)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	status := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}

// run runs the command and returns its exit status.
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
				return badUse("unknown command %q", args[0])
			}
			return badUse("no command is named")
		},
	}
	err := root.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitBadUse
	}
	err = root.Run(ctx)
	var usage usageError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage):
		_, _ = fmt.Fprintf(stderr, "%v\nrun \"wigeonfake -h\" for help\n", err)
		return exitBadUse
	}
	out.logger.Error("the command failed", zap.Error(err))
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

// noArguments refuses arguments after the flags.
func noArguments(args []string) error {
	if len(args) > 0 {
		return badUse("unexpected argument %q", args[0])
	}
	return nil
}

// loopback refuses an address that is not an IP number of the loopback range with a port.
func loopback(flagName, address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return badUse("-%s %q: %v", flagName, address, err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return badUse("-%s %q: expected an IP number of the loopback range", flagName, address)
	}
	return nil
}
