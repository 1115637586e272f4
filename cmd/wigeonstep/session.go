package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"github.com/wigeonstep/wigeonstep/wigeonfollow"
	"github.com/wigeonstep/wigeonstep/wigeonpeer"
	"github.com/wigeonstep/wigeonstep/wigeonplatform"
	"github.com/wigeonstep/wigeonstep/wigeonwire"
)

// sourceFlags are the flags of commands that read the fleet state, either from the platform's log or from one process.
type sourceFlags struct {
	platform string
	peer     string
	timeout  time.Duration
	asJSON   bool
}

func (s *sourceFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&s.platform, "platform", "", "host:port of the platform, whose log is read")
	flags.StringVar(&s.peer, "peer", "", "peer address of a process to ask in place of the platform")
	flags.DurationVar(&s.timeout, "timeout", 10*time.Second, "longest time that the command takes")
	flags.BoolVar(&s.asJSON, "json", false, "write JSON")
}

func (s *sourceFlags) validate(command string) error {
	if (s.platform == "") == (s.peer == "") {
		return usagef("%s: name either -platform or -peer", command)
	}
	return nil
}

// query runs a status query and decodes its JSON result into target. It asks the process at -peer, or else builds the
// state from the platform's log with a read-only follower.
func (s *sourceFlags) query(ctx context.Context, view string, target any) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	var data []byte
	var err error
	if s.peer != "" {
		data, err = queryPeer(ctx, s.peer, view)
	} else {
		err = withFollower(ctx, wigeonfollow.Config{ReadOnly: true}, s.platform, func(ctx context.Context, follower *wigeonfollow.Follower) error {
			answer, err := answerQuery(view, follower)
			data = answer
			return err
		})
	}
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, target); err != nil {
		return fmt.Errorf("decode response to status query %q: %w", view, err)
	}
	return nil
}

func queryPeer(ctx context.Context, address, view string) ([]byte, error) {
	client := &wigeonpeer.Client{}
	defer func() { _ = client.Close() }()
	response, err := client.Call(ctx, address, &wigeonwire.PeerRequest{Body: &wigeonwire.PeerRequest_Status{Status: &wigeonwire.StatusQuery{View: view}}})
	if err != nil {
		return nil, err
	}
	return response.GetStatus().GetJson(), nil
}

// withFollower runs fn with a follower that has reached the end of the log, and stops the follower afterwards.
func withFollower(ctx context.Context, config wigeonfollow.Config, platform string, fn func(ctx context.Context, follower *wigeonfollow.Follower) error) error {
	log, err := wigeonplatform.New(wigeonplatform.Config{Address: platform, Name: "operator"})
	if err != nil {
		return err
	}
	config.Log = log
	follower := wigeonfollow.New(config)
	runCtx, stop := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- follower.Run(runCtx) }()
	err = follower.WaitReady(ctx)
	if err != nil {
		err = fmt.Errorf("platform %s: %w", platform, err)
	} else {
		err = fn(ctx, follower)
	}
	stop()
	return errors.Join(err, <-done)
}

// operatorSessionConfig returns the configuration of a follower that opens an operator session, which changes need.
func operatorSessionConfig() wigeonfollow.Config {
	return wigeonfollow.Config{
		Session:   wigeonfollow.NewSessionID(),
		OpenEntry: &wigeonwire.SessionOpen{Role: wigeonwire.Role_ROLE_OPERATOR},
	}
}

// closeTimeout bounds the time to close an operator session.
const closeTimeout = 2 * time.Second

// closeSession closes an operator session. It ignores errors, because a session that is not closed expires.
func closeSession(ctx context.Context, follower *wigeonfollow.Follower) {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	_ = follower.CloseSession(ctx)
}

func operatorName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return os.Getenv("USER")
}

func writeJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
