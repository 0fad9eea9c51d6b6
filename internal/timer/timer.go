// Package timer implements mangokeel.Timers.
//
// A process passes one Real to its components, which call Every and After. Tests use
// Virtual, whose clock moves only in Advance, so that hours of scheduled calls run in
// milliseconds and in the same order on every run.
package timer

import (
	"sync"
	"time"

	"mangokeel"
)

// Real schedules functions on the system's monotonic clock. The zero value is ready
// to use.
type Real struct{}

var _ mangokeel.Timers = Real{}

// Now returns the current time with a monotonic clock reading.
func (Real) Now() time.Time { return time.Now() }

// Every implements mangokeel.Timers.
func (Real) Every(period time.Duration, fn func(now time.Time)) mangokeel.Subscription {
	s := &tickerSubscription{done: make(chan struct{})}
	t := time.NewTicker(period)
	go func() {
		defer t.Stop()
		for {
			select {
			case <-s.done:
				return
			case now := <-t.C:
				fn(now)
			}
		}
	}()
	return s
}

// After implements mangokeel.Timers.
func (Real) After(d time.Duration, fn func(now time.Time)) mangokeel.Subscription {
	return afterSubscription{time.AfterFunc(d, func() { fn(time.Now()) })}
}

// tickerSubscription is a call of Every; closing done ends its goroutine.
type tickerSubscription struct {
	once sync.Once
	done chan struct{}
}

func (s *tickerSubscription) Cancel() { s.once.Do(func() { close(s.done) }) }

type afterSubscription struct{ t *time.Timer }

func (s afterSubscription) Cancel() { s.t.Stop() }
