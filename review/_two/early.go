package main

import (
	"errors"
	"syscall"
	"time"
)

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
	back, last := time.Now(), 0
	for time.Since(back) < recovery+stretch+ack && last < 3 {
		time.Sleep(time.Second)
		for _, m := range core {
			last = max(last, w.read(m))
		}
	}
	w.say("-- %.1f s after all machines are back, the newest version that was read is %d; acknowledged was 3", time.Since(back).Seconds(), last)
	for _, m := range core {
		w.logs(m, "membership", "msg=started")
	}
	if last < 3 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
