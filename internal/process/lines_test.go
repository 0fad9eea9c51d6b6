package process

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// blocked is a reader of logs that does not read.
type blocked struct{ release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against a process that waits for whoever reads its log.
func TestBlockedReader(t *testing.T) {
	c := qt.New(t)
	b := blocked{make(chan struct{})}
	defer close(b.release)
	l := newLines(b)
	began := time.Now()
	for range 10 * lineLimit {
		_, err := l.Write([]byte("line\n"))
		c.Assert(err, qt.IsNil)
	}
	l.flush()
	c.Assert(time.Since(began) < 5*time.Second, qt.IsTrue)
	c.Assert(l.dropped.Load() > 0, qt.IsTrue)
}

// Guards against the loss of the last lines before an exit.
func TestFlush(t *testing.T) {
	c := qt.New(t)
	var out strings.Builder
	l := newLines(&out)
	_, _ = l.Write([]byte("last\n"))
	l.flush()
	c.Assert(out.String(), qt.Equals, "last\n")
}
