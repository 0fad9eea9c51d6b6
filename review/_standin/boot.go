package main

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

func init() { cases["boot"] = boot }

const (
	// lostAt is when one machine of the core is lost, after the first machine started.
	lostAt = 350 * time.Millisecond
	// replacedAfter is when an empty machine comes in its place.
	replacedAfter = 2 * time.Second
	// patience is how long the operator and the clients try.
	patience = 60 * time.Second
)

// boot loses one of three core machines for good while the whole system starts for the first time.
func boot(f *fleet, trouble bool) int {
	for i := range 3 {
		f.seeds = append(f.seeds, fmt.Sprintf("%s:%d", f.ip(i+1), f.ports.control))
	}
	start := time.Now()
	var cs []*machine
	for i := range 3 {
		time.Sleep(time.Until(start.Add(time.Duration(i) * 125 * time.Millisecond)))
		c := f.add("control", fmt.Sprintf("core-%s-1", zones[i]), i+1, zones[i])
		c.start()
		cs = append(cs, c)
	}
	b := f.add("balancer", "frontend-port-louis-1", 11, zones[0])
	m := f.add("agent", "side-port-louis-1", 21, zones[0])
	m.service = "huvo11a"
	b.start()
	m.start()
	newHost(m, "i-1", "huvo11a")
	if trouble {
		time.Sleep(time.Until(start.Add(lostAt)))
		cs[2].kill()
		f.record.printf("%s is gone for good", cs[2].name)
		time.Sleep(replacedAfter)
		n := f.add("control", "core-ebene-2", 4, zones[2])
		n.first = false
		n.start()
		cs[2] = n
	}
	address := netip.AddrPortFrom(netip.MustParseAddr(f.ip(200)), 443)
	at := time.Now()
	acked, ok := f.order("PUT", "/config", simpleConfig(1, "huvo11a", address), cs, at.Add(patience))
	if !ok {
		f.record.printf("the first configuration has no acknowledgement after %.0f s", time.Since(at).Seconds())
	} else {
		f.record.printf("the first configuration is acknowledged after %.2f s", acked.Sub(at).Seconds())
	}
	c := newCaller(f, 101)
	served := 0
	for i := range 10 {
		a := c.serve(b, address, fmt.Sprint("q-", i))
		if strings.HasPrefix(a, "HTTP/1.1 200") {
			served++
		}
		time.Sleep(200 * time.Millisecond)
	}
	for _, c := range cs {
		a := call("GET", c.controlURL("/config"), nil, time.Second)
		f.record.printf("read at %s: %d %v", c.name, a.status, a.err)
	}
	f.record.printf("%d of 10 requests are served", served)
	if !ok || served == 0 {
		return broken
	}
	return held
}
