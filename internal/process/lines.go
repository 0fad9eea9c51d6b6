package process

import (
	"io"
	"sync/atomic"
	"time"
)

// lineLimit bounds the lines that wait for a slow reader.
const lineLimit = 1024

// flushTimeout bounds the wait for the last lines of a process.
const flushTimeout = 200 * time.Millisecond

// lines writes log lines in the background. When the reader does not keep up, lines are
// dropped and counted, so that logging never holds up a packet.
type lines struct {
	w       io.Writer
	queue   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
}

func newLines(w io.Writer) *lines {
	l := &lines{w: w, queue: make(chan []byte, lineLimit), done: make(chan struct{})}
	go func() {
		defer close(l.done)
		for b := range l.queue {
			if b == nil {
				return
			}
			// There is nowhere to report an error of the log itself.
			_, _ = l.w.Write(b)
		}
	}()
	return l
}

// Write implements io.Writer.
func (l *lines) Write(b []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), b...):
	default:
		l.dropped.Add(1)
	}
	return len(b), nil
}

// flush waits a moment for the lines that were written before it. Later lines are lost.
func (l *lines) flush() {
	select {
	case l.queue <- nil:
	default:
		return
	}
	select {
	case <-l.done:
	case <-time.After(flushTimeout):
	}
}
