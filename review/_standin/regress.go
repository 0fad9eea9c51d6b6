package main

import (
	"fmt"
	"net/netip"
	"strings"
	"syscall"
	"time"
)

func init() { cases["regress"] = regress }

// regress freezes an agent and a balancer while a configuration is accepted, and takes the power of
// the core just before they wake. The agent then serves the new configuration on the word of another
// balancer, and the old one on the word of the balancer that was frozen.
func regress(f *fleet, trouble bool) int {
	cs := startCore(f)
	b1 := f.add("balancer", "frontend-port-louis-1", 11, zones[0])
	b2 := f.add("balancer", "frontend-port-louis-2", 12, zones[0])
	m := f.add("agent", "side-port-louis-1", 21, zones[0])
	m.service = "huvo11a"
	b1.start()
	b2.start()
	m.start()
	h := newHost(m, "i-1", "huvo11a")
	dropped := netip.AddrPortFrom(netip.MustParseAddr(f.ip(200)), 443)
	kept := netip.AddrPortFrom(netip.MustParseAddr(f.ip(200)), 444)
	added := netip.AddrPortFrom(netip.MustParseAddr(f.ip(200)), 445)
	if _, ok := f.order("PUT", "/config", simpleConfig(1, "huvo11a", dropped, kept), cs, time.Now().Add(15*time.Second)); !ok {
		fail("configuration not acknowledged")
	}
	c := newCaller(f, 101)
	ok := func(a string) bool { return strings.HasPrefix(a, "HTTP/1.1 200") }
	for _, b := range []*machine{b1, b2} {
		ready := false
		for i := 0; i < 100 && !ready; i++ {
			ready = ok(c.serve(b, dropped, fmt.Sprint("warm-", b.name, "-", i)))
			time.Sleep(50 * time.Millisecond)
		}
		if !ready {
			fail("no request is served through %s", b.name)
		}
	}
	time.Sleep(4 * time.Second)
	if trouble {
		m.signal(syscall.SIGSTOP)
		b2.signal(syscall.SIGSTOP)
		f.record.printf("%s and %s are frozen", m.name, b2.name)
	}
	time.Sleep(300 * time.Millisecond)
	acked, done := f.order("PUT", "/config", simpleConfig(2, "huvo11a", kept, added), cs, time.Now().Add(5*time.Second))
	if !done {
		fail("second configuration not acknowledged")
	}
	f.record.printf("version 2 acknowledged: route %s dropped, route %s added", dropped, added)
	time.Sleep(time.Second)
	if trouble {
		for _, x := range cs {
			x.kill()
		}
		f.record.printf("the core is without power")
		m.signal(syscall.SIGCONT)
		b2.signal(syscall.SIGCONT)
		f.record.printf("%s and %s wake after %.1f s", m.name, b2.name, time.Since(acked).Seconds()+.3)
	}
	off := time.Now()
	time.Sleep(250 * time.Millisecond)
	var seen time.Time
	for i := 0; i < 20 && seen.IsZero(); i++ {
		a := c.serve(b1, added, fmt.Sprint("new-", i))
		f.record.printf("request new-%d on the added route through %s: %.15q", i, b1.name, a)
		if ok(a) {
			seen = time.Now()
		}
	}
	if seen.IsZero() {
		fail("the added route is not served")
	}
	time.Sleep(400 * time.Millisecond)
	bad := 0
	for i := range 5 {
		id := fmt.Sprint("old-", i)
		sent := time.Now()
		if sent.Sub(off) > 1800*time.Millisecond && trouble {
			break
		}
		a := c.serve(b2, dropped, id)
		f.record.printf("request %s on the dropped route through %s, sent %.0f ms after %s ran new: %.15q", id, b2.name, sent.Sub(seen).Seconds()*1000, h.id, a)
		if ok(a) {
			bad++
		}
		time.Sleep(50 * time.Millisecond)
	}
	if trouble {
		time.Sleep(time.Until(off.Add(1800 * time.Millisecond)))
		for _, x := range cs {
			x.start()
		}
		time.Sleep(4 * time.Second)
		f.record.printf("afterwards, through %s: %.15q", b2.name, c.serve(b2, dropped, "after"))
	}
	f.record.printf("%d requests on the dropped route ran beside %s after it had served version 2", bad, m.name)
	if bad > 0 {
		return broken
	}
	return held
}
