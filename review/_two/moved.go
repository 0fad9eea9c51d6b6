package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

const (
	// gap is the time between the steps of planned work: gap_s is 1 unless it is given.
	gap = time.Second
	// wide is the gap of the run without the disruption: longer than control needs to remove a silent voter.
	wide = 6 * time.Second
)

// moved: all machines of the core are replaced as planned: three new ones first and, once each has had CatchUpS, SIGTERM
// to the old ones, one after the other.
func moved(w *world) (int, error) {
	core := w.core(3)
	if err := w.startAll(core, config(3, route("r-1", 8443))); err != nil {
		return 0, err
	}
	var successors []*machine
	for i, old := range core {
		m := w.add(&machine{name: fmt.Sprintf("core-%s-2", old.zone), class: "core", role: "control", zone: old.zone, ip: loopback(4 + i)})
		w.say("-- a successor for %s is added", old.name)
		if err := w.start(m); err != nil {
			return 0, err
		}
		successors = append(successors, m)
		time.Sleep(catchUp + time.Second)
		if v := w.read(m); v != 3 {
			return 0, fmt.Errorf("%s reads version %d after CatchUpS", m.name, v)
		}
	}
	if w.order("PUT", "/config", config(7, route("r-1", 8443)+","+route("r-2", 8444)), 2*ack, successors...) == nil {
		return 0, errors.New("the change was not acknowledged")
	}
	pause := gap
	if !w.trouble {
		pause = wide
	}
	for _, old := range core {
		w.say("-- %s is removed: its successor has had CatchUpS, so it doesn't count as lost", old.name)
		w.signal(old, syscall.SIGTERM)
		if !w.ended(old, grace) {
			return 0, errors.New("an old machine did not end within GraceS")
		}
		time.Sleep(pause)
	}
	begin, last := time.Now(), 0
	for time.Since(begin) < recovery+stretch+ack && last < 7 {
		time.Sleep(time.Second)
		for _, m := range successors {
			last = max(last, w.read(m))
		}
	}
	w.say("-- %.1f s after the last old machine was removed, the newest version that was read is %d; acknowledged was 7", time.Since(begin).Seconds(), last)
	if w.order("PUT", "/config", config(9, route("r-1", 8443)), ack, successors...) == nil {
		w.say("-- a further change is not acknowledged within AckMs")
	}
	for _, m := range successors {
		w.logs(m, "membership", "msg=started")
	}
	if last < 7 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
