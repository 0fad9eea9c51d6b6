// Command mangokeel is the operators' client.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"mangokeel/internal/process"
	"mangokeel/internal/wire"
)

// Exit codes beyond those of package process.
const (
	exitConflict = 3
	exitInvalid  = 4
	exitDenied   = 5
	exitLagging  = 6
	exitStale    = 7
)

const about = `Operators' client of mangokeel.

Paths are /TEAM/services/NAME, /TEAM/zones/NAME and /TEAM/drains/HOST.

Exit codes:
  0  done
  1  no control instance or agent answered, or another failure; a change may have been
     accepted: resend it with the same --id
  2  bad arguments
  3  conflict: the subtree changed since the base revision
  4  invalid: nothing was changed
  5  denied: the key does not open the subtree
  6  nodes lag behind the revision
  7  no control instance is in contact with a majority`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run executes one command line and returns its exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	c := &client{ctx: ctx, out: stdout, warnings: stderr}
	parser := flags.NewNamedParser("mangokeel", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = about
	if err := c.register(parser); err != nil {
		fmt.Fprintln(stderr, err)
		return process.ExitFailure
	}
	if len(args) == 1 && args[0] == "--version" {
		fmt.Fprintln(stdout, "mangokeel", process.Version())
		return process.ExitOK
	}
	_, err := parser.ParseArgs(args)
	if flags.WroteHelp(err) {
		fmt.Fprintln(stdout, err)
		return process.ExitOK
	}
	if err != nil {
		fmt.Fprintln(stderr, "mangokeel:", err)
	}
	return exitCode(err)
}

// outcomeError is an answer other than accepted.
type outcomeError struct {
	code   wire.Code
	reason string
}

// Error implements error.
func (e *outcomeError) Error() string { return e.reason }

// laggingError says that nodes are behind.
type laggingError struct{ n int }

// Error implements error.
func (e *laggingError) Error() string { return fmt.Sprintf("%d nodes lag", e.n) }

func exitCode(err error) int {
	var outcome *outcomeError
	var lagging *laggingError
	var usage *flags.Error
	switch {
	case err == nil:
		return process.ExitOK
	case errors.As(err, &usage):
		return process.ExitUsage
	case errors.As(err, &lagging):
		return exitLagging
	case !errors.As(err, &outcome):
		return process.ExitFailure
	}
	switch outcome.code {
	case wire.Code_CODE_CONFLICT:
		return exitConflict
	case wire.Code_CODE_INVALID:
		return exitInvalid
	case wire.Code_CODE_DENIED:
		return exitDenied
	case wire.Code_CODE_STALE:
		return exitStale
	}
	return process.ExitFailure
}
