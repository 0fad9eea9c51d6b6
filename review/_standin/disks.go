package main

import (
	"bytes"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["disks"] = disks }

const (
	// disksReplacedRoutes is how many of the routes each change replaces.
	disksReplacedRoutes = 50
	// wipeDown is how long a machine that loses its disk is down; catchUp is CatchUpS and some slack.
	wipeDown = time.Second
	catchUp  = 4200 * time.Millisecond
	// readTime is how long the operator tries to read the configuration afterwards.
	readTime = 30 * time.Second
)

// disks loses the disks of two control instances, one after the other, after hundreds of changes.
// CHANGES sets another number of changes.
func disks(f *fleet, trouble bool) int {
	changes := changesOfDay
	if n, err := strconv.Atoi(os.Getenv("CHANGES")); err == nil {
		changes = n
	}
	cs := startCore(f, func(m *machine) { m.oneCore = true })
	address := netip.AddrPortFrom(netip.MustParseAddr(f.ip(200)), 443)
	if _, ok := f.order("PUT", "/config", f.backlogConfig(1, 0, address), cs, time.Now().Add(15*time.Second)); !ok {
		fail("first configuration not acknowledged")
	}
	start := time.Now()
	var version, newest atomic.Int64
	version.Store(1)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for time.Since(start) < changeTime {
				v := version.Add(1)
				if int(v) > changes {
					return
				}
				if _, ok := f.order("PUT", "/config", f.backlogConfig(int(v), int(v)*disksReplacedRoutes, address), cs, time.Now().Add(10*time.Second)); ok {
					for o := newest.Load(); o < v && !newest.CompareAndSwap(o, v); o = newest.Load() {
					}
				}
			}
		})
	}
	wg.Wait()
	f.record.printf("version %d acknowledged after %.1f s", newest.Load(), time.Since(start).Seconds())
	time.Sleep(2 * time.Second)
	if trouble {
		for _, c := range cs[:2] {
			c.kill()
			c.wipe()
			f.record.printf("%s has lost its disk", c.name)
			time.Sleep(wipeDown)
			c.start()
			time.Sleep(catchUp)
		}
	}
	for until := time.Now().Add(readTime); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for _, c := range cs {
			a := call("GET", c.controlURL("/config"), nil, time.Second)
			if a.err != nil || a.status != 200 {
				continue
			}
			f.record.printf("read at %s: %s", c.name, a.body[:min(20, len(a.body))])
			if want := strconv.AppendInt([]byte(`{"Version":`), newest.Load(), 10); !bytes.HasPrefix(a.body, want) {
				return broken
			}
			return held
		}
	}
	f.record.printf("no instance gives the configuration for %.0f s", readTime.Seconds())
	return broken
}
