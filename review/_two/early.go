package main

import (
	"errors"
	"syscall"
	"time"
)

// largeRecovery is RecoveryS, StretchMaxMs and AckMs of a deployment with five core machines.
const largeRecovery = 15*time.Second + 15*time.Second + 6*time.Second

// early: a seed stands still during the first start; the two others create the log, and the one that acknowledged the
// first configuration loses its disk right after that.
func early(w *world) (int, error) {
	core := w.core(3)
	late := core[2]
	for _, m := range core {
		if err := w.start(m); err != nil {
			return 0, err
		}
	}
	w.signal(late, syscall.SIGSTOP)
	w.say("-- %s stands still as it starts", late.name)
	frozen := time.Now()
	victim := w.order("PUT", "/config", config(3, route("r-1", 8443)), 10*time.Second, core[0], core[1])
	if victim == nil {
		return 0, errors.New("the first configuration was not acknowledged")
	}
	if w.trouble {
		w.say("-- %s loses its disk right after it has acknowledged version 3; it is back after a second", victim.name)
		w.signal(victim, syscall.SIGKILL)
		w.ended(victim, grace)
		w.wipe(victim)
	}
	time.Sleep(time.Second)
	w.say("-- %s goes on after %.1f s", late.name, time.Since(frozen).Seconds())
	w.signal(late, syscall.SIGCONT)
	if w.trouble {
		if err := w.start(victim); err != nil {
			return 0, err
		}
	}
	return w.readBack(3, recovery+stretch+ack, core)
}

// soon: five core machines start for the first time, and two of them lose their disks right after the first configuration was
// acknowledged.
func soon(w *world) (int, error) {
	w.losses = 2
	core := w.core(5)
	w.seeds = core[:3]
	for _, m := range core {
		if err := w.start(m); err != nil {
			return 0, err
		}
	}
	victim := w.order("PUT", "/config", config(3, route("r-1", 8443)), 10*time.Second, w.seeds...)
	if victim == nil {
		return 0, errors.New("the first configuration was not acknowledged")
	}
	if w.trouble {
		other := core[0]
		if other == victim {
			other = core[1]
		}
		gone := []*machine{victim, other}
		for _, m := range gone {
			_ = m.proc.cmd.Process.Kill()
		}
		w.say("-- %s loses its disk right after it has acknowledged version 3, and so does %s; both are back after a second", victim.name, other.name)
		for _, m := range gone {
			w.ended(m, grace)
			w.wipe(m)
		}
		time.Sleep(time.Second)
		for _, m := range gone {
			if err := w.start(m); err != nil {
				return 0, err
			}
		}
	}
	return w.readBack(3, largeRecovery, core)
}

// readBack reads the configuration until a machine has answered with a version, or until the limit.
func (w *world) readBack(version int, limit time.Duration, core []*machine) (int, error) {
	back, last := time.Now(), 0
	for time.Since(back) < limit && last < version {
		time.Sleep(time.Second)
		for _, m := range core {
			last = max(last, w.read(m))
		}
	}
	w.say("-- %.1f s after all machines are back, the newest version that was read is %d; acknowledged was %d", time.Since(back).Seconds(), last, version)
	for _, m := range core {
		w.logs(m, "membership", "msg=started")
	}
	if last < version {
		return exitBroken, nil
	}
	return exitHeld, nil
}
