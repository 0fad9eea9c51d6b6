// Package timer is the timer service that parts of a process subscribe to.
//
// A process creates one service with New and hands it to its parts, which call
// Every and After. Tests use Virtual, whose time moves only when the test calls
// Advance, so that a schedule of hours runs in milliseconds and is the same on
// every run.
package timer

import (
	"sync"
	"time"

	"mangokeel"
)

// Real is the timer service on the machine's monotonic clock. The zero value is
// ready for use.
type Real struct{}

var _ mangokeel.Timers = Real{}

// Now returns the present time with a monotonic reading.
func (Real) Now() time.Time { return time.Now() }

// Every implements mangokeel.Timers.
func (Real) Every(period time.Duration, fn func(now time.Time)) mangokeel.Subscription {
	s := &subscription{done: make(chan struct{})}
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

type subscription struct {
	once sync.Once
	done chan struct{}
}

func (s *subscription) Cancel() { s.once.Do(func() { close(s.done) }) }

type afterSubscription struct{ t *time.Timer }

func (s afterSubscription) Cancel() { s.t.Stop() }
