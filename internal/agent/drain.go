package agent

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"mangokeel"
	"mangokeel/internal/wire"
)

const (
	// minDrain is the time for which a leaving agent waits at least, so that all
	// nodes learn of it and late packets still find it.
	minDrain = 3 * time.Second
	// drainPeriod is the time between two looks whether all flows have ended.
	drainPeriod = 200 * time.Millisecond
	// leaveTimeout bounds one announcement to control.
	leaveTimeout = 5 * time.Second
)

// Run waits for Stop and then leaves: it announces the departure, waits until no
// flows and requests are left or the service's drain time has passed, announces
// that the target is gone, and closes the agent.
func (a *Agent) Run() error {
	<-a.stop
	_ = level.Info(a.log).Log("msg", "leaving")
	a.target.Leave()
	a.drain()
	// A poll after the departure would join the roster again.
	a.follower.Close()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := a.follower.Leave(ctx, true); err != nil {
		_ = level.Warn(a.log).Log("msg", "departure not announced, the lease will end", "err", err)
	}
	a.Close()
	return nil
}

// Stop makes Run leave. It returns at once.
func (a *Agent) Stop() { a.stopOnce.Do(func() { close(a.stop) }) }

// drain announces the departure until control has accepted it, and waits. It is
// announced again for a handle that was given in the meantime, after the lease of
// the one before has ended. Flows that outlast the drain time are cut.
func (a *Agent) drain() {
	begin := a.timers.Now()
	var announced mangokeel.Handle
	for {
		if h := a.Handle(); announced != h {
			ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
			if a.follower.Leave(ctx, false) == nil {
				announced = h
			}
			cancel()
		}
		spent := a.timers.Now().Sub(begin)
		if spent >= minDrain && a.busy() == 0 && !a.holdsClaims(spent) {
			return
		}
		if limit := a.drainTime(); limit > 0 && spent >= limit {
			_ = level.Warn(a.log).Log("msg", "drain time passed", "flows", a.busy())
			return
		}
		time.Sleep(drainPeriod)
	}
}

// drainTime returns the service's drain time; 0 is no limit. Flows of a service
// that is gone reach no caller.
func (a *Agent) drainTime() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reg == nil {
		return 0
	}
	svc := a.view.State().Service(a.reg.service)
	if svc == nil {
		return minDrain
	}
	return time.Duration(svc.GetDrainMs()) * time.Millisecond
}

// busy returns the number of flows and running requests.
func (a *Agent) busy() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.flows() + max(int(a.counters.running.Load()), a.target.Running())
	if a.reg != nil && a.reg.endpoint != nil {
		// Handshakes that have begun are in the table only.
		n += a.reg.table.Len()
	}
	return n
}

// Close ends the agent at once. Its flows break.
func (a *Agent) Close() {
	a.follower.Close()
	for _, s := range a.subs {
		s.Cancel()
	}
	a.mu.Lock()
	reg := a.reg
	a.reg = nil
	a.mu.Unlock()
	if reg != nil {
		reg.end("target left")
	}
	a.streams.Close()
	a.closeClaims()
	a.udp.Close()
	a.done.Wait()
	a.target.Close()
}

// Leaving reports whether control knows that the target leaves.
func (a *Agent) Leaving() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reg == nil {
		return false
	}
	svc := a.view.State().Service(a.reg.service)
	if svc == nil || svc.Targets[a.reg.handle] == nil {
		return false
	}
	return svc.Targets[a.reg.handle].GetState() == wire.State_STATE_LEAVING
}

// Handle returns the target's present handle, or 0 before it has joined.
func (a *Agent) Handle() mangokeel.Handle { return mangokeel.Handle(a.handle.Load()) }
