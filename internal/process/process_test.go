package process

import (
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/oklog/run"
)

// Guards against a planned stop that service managers take for a failure.
func TestExitCode(t *testing.T) {
	c := qt.New(t)
	c.Assert(exitCode(nil), qt.Equals, ExitOK)
	c.Assert(exitCode(&run.SignalError{Signal: syscall.SIGTERM}), qt.Equals, ExitOK)
	c.Assert(exitCode(errors.New("disk full")), qt.Equals, ExitFailure)
}
