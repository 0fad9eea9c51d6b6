package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

const (
	// manyRoutes is how many routes the configuration has: big_config adds up to 455.
	manyRoutes = 455
	// changes is how many changes are made at most while a machine stands still, freeze how long it does so at
	// most: config_storm makes a change each 0.06 s, and a freeze lasts up to 7.4 s.
	changes = 120
	freeze  = 7 * time.Second
	// written is how much of what it missed a machine has written when the processes are killed.
	written = 128 << 10
	// tries is how often all processes are killed until the kill meets the write.
	tries = 6
)

// large returns a configuration with many routes.
func large(version int) string {
	var list []string
	for i := range manyRoutes {
		list = append(list, route(fmt.Sprintf("r-%07x", rand.Uint32()>>4), 8000+i))
	}
	return config(version, strings.Join(list, ","))
}

// newest returns the newest segment of a machine's log and its size.
func (w *world) newest(m *machine) (name string, size int64) {
	list, _ := filepath.Glob(filepath.Join(w.data(m), "log-*"))
	if len(list) == 0 {
		return "", 0
	}
	slices.Sort(list)
	name = list[len(list)-1]
	if info, err := os.Stat(name); err == nil {
		size = info.Size()
	}
	return name, size
}

// catchingUp waits until a machine has written a part of what it missed.
func (w *world) catchingUp(m *machine) (before, during int64) {
	name, before := w.newest(m)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && during < before+written; {
		if info, err := os.Stat(name); err == nil {
			during = info.Size()
		}
	}
	return before, during
}

// storm makes changes while a machine stands still, and returns the last version, which was acknowledged.
func (w *world) storm(version int, to []*machine) (int, error) {
	for end := time.Now().Add(freeze - time.Second); time.Now().Before(end) && version%1000 < 2*changes; {
		version += 2
		if w.order("PUT", "/config", large(version), 2*ack, to...) == nil {
			return 0, errors.New("a change was not acknowledged")
		}
	}
	return version, nil
}

// torn: a machine of the core stands still, and as it catches up the final fault comes: all processes of the core
// are killed at one moment, and one of the other machines loses its disk.
func torn(w *world) (int, error) {
	core := w.core(3)
	if err := w.startAll(core, large(3)); err != nil {
		return 0, err
	}
	time.Sleep(catchUp)
	version := 3
	for try := range tries {
		late := core[try%len(core)]
		others := slices.DeleteFunc(slices.Clone(core), func(m *machine) bool { return m == late })
		w.say("-- %s stands still while the configuration changes", late.name)
		w.signal(late, syscall.SIGSTOP)
		var err error
		if version, err = w.storm(1000*(try+1), others); err != nil {
			return 0, err
		}
		w.signal(late, syscall.SIGCONT)
		before, during := w.catchingUp(late)
		for _, m := range append([]*machine{late}, others...) {
			_ = m.proc.cmd.Process.Kill()
		}
		w.say("-- all processes of the core are killed at one moment, as %s writes what it missed: its log had %d bytes and has grown to %d", late.name, before, during)
		whole := map[*machine]bool{}
		for _, m := range core {
			if !w.ended(m, grace) {
				return 0, fmt.Errorf("%s did not end", m.name)
			}
			_, size := w.newest(m)
			whole[m] = w.wholeLog(m)
			w.say("-- the log of %s has %d bytes; its last record is whole: %v", m.name, size, whole[m])
		}
		met := !whole[late] && whole[others[0]] && whole[others[1]]
		if met && w.trouble {
			w.wipe(others[0])
		}
		time.Sleep(time.Second)
		for _, m := range core {
			if err := w.start(m); err != nil {
				return 0, err
			}
		}
		if met || !w.trouble {
			break
		}
		w.say("-- the kill did not meet the write; once more")
		if w.order("PUT", "/config", large(version+2), recovery, core...) == nil {
			return 0, fmt.Errorf("no acknowledgement %v after all processes were killed", recovery)
		}
		if try == tries-1 {
			return 0, errors.New("no kill met the write")
		}
		time.Sleep(catchUp)
	}
	back, last := time.Now(), 0
	for time.Since(back) < recovery+stretch+ack && last < version {
		time.Sleep(time.Second)
		for _, m := range core {
			last = max(last, w.read(m))
		}
	}
	w.say("-- %.1f s after all machines are back, the newest version that was read is %d; acknowledged was %d", time.Since(back).Seconds(), last, version)
	for _, m := range core {
		w.logs(m, "membership", "tail state", "msg=started")
	}
	if last < version {
		return exitBroken, nil
	}
	return exitHeld, nil
}
