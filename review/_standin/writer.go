package main

import (
	"fmt"
	"net/netip"
	"strings"
	"time"
)

func init() { cases["writer"] = writer }

// simpleConfig has a route of the service for each address.
func simpleConfig(version int, service string, addresses ...netip.AddrPort) []byte {
	var list []string
	for i, a := range addresses {
		list = append(list, fmt.Sprintf(`{"Name":"r-%d","Host":%q,"PathPrefix":"/%d/","Kind":"safe","TimeoutMs":1500,"TargetLatencyMs":100,"Priority":2,"Service":%q,"MaxAttempts":2}`,
			i, a.Addr(), a.Port(), service))
	}
	return fmt.Appendf(nil, `{"Version":%d,"Routes":[%s],"Services":[{"Name":%q,"HealthPath":"/health","MaxConns":2000,"Protocol":"h1","Tls":false,"WarmupS":2.0,"WarmupPerS":0.0}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`,
		version, strings.Join(list, ","), service)
}

var zones = []string{"port-louis", "plaisance", "ebene"}

// startCore starts three control instances, after options have been applied to them.
func startCore(f *fleet, options ...func(m *machine)) (cs []*machine) {
	for i := range 3 {
		f.seeds = append(f.seeds, fmt.Sprintf("%s:%d", f.ip(i+1), f.ports.control))
		cs = append(cs, f.add("control", fmt.Sprintf("core-%s-1", zones[i]), i+1, zones[i]))
	}
	for _, c := range cs {
		for _, o := range options {
			o(c)
		}
		c.start()
		c.first = false
	}
	return cs
}

// writer sends one heartbeat of another writer to an agent whose host holds flows.
func writer(f *fleet, trouble bool) int {
	cs := startCore(f)
	b := f.add("balancer", "frontend-port-louis-1", 11, zones[0])
	var agents []*machine
	var hosts []*host
	for i := range 2 {
		m := f.add("agent", fmt.Sprintf("side-%s-1", zones[i]), 21+i, zones[i])
		m.service = "huvo11a"
		agents = append(agents, m)
	}
	b.start()
	for i, m := range agents {
		m.start()
		hosts = append(hosts, newHost(m, fmt.Sprintf("i-%d", i+1), "huvo11a"))
	}
	address := netip.AddrPortFrom(netip.MustParseAddr(f.ip(200)), 443)
	if _, ok := f.order("PUT", "/config", simpleConfig(1, "huvo11a", address), cs, time.Now().Add(15*time.Second)); !ok {
		fail("configuration not acknowledged")
	}
	c := newCaller(f, 101)
	ready := false
	for i := 0; i < 100 && !ready; i++ {
		ready = strings.HasPrefix(c.serve(b, address, fmt.Sprint("warm-", i)), "HTTP/1.1 200")
		time.Sleep(50 * time.Millisecond)
	}
	if !ready {
		fail("no request is served")
	}
	time.Sleep(5 * time.Second) // all machines are in touch
	var list []*callerFlow
	for i := range 8 {
		x, how := c.open(b, address)
		if how != "open" {
			fail("flow not opened: %s", how)
		}
		if a := x.ask(fmt.Sprintf("q-%d-0", i), time.Second); !strings.HasPrefix(a, "HTTP/1.1 200") {
			fail("first request of a flow: %s", a)
		}
		list = append(list, x)
	}
	held1 := 0
	for _, x := range list {
		if hosts[0].holds(x.k) {
			held1++
		}
	}
	f.record.printf("%s holds %d of %d flows", hosts[0].id, held1, len(list))
	time.Sleep(time.Second)
	if trouble {
		body := fmt.Sprintf(`{"Service":"zz-unnamed","Address":"%s:%d","Zone":%q,"Version":"other","Concurrency":1,"State":"ready","WarmupLeftMs":0,"Seq":1,"born":%d}`,
			agents[0].ip, f.ports.app, zones[0], time.Now().UnixMilli())
		a := call("PUT", agents[0].controlURL("/instances/x-other"), []byte(body), time.Second)
		f.record.printf("heartbeat of another writer to %s, %s: answer %d %v", agents[0].name, body, a.status, a.err)
	}
	lost := 0
	for n := 1; n <= 10; n++ {
		time.Sleep(300 * time.Millisecond)
		for i, x := range list {
			if x.reset {
				continue
			}
			if a := x.ask(fmt.Sprintf("q-%d-%d", i, n), time.Second); a == "reset" {
				holds := hosts[0].holds(x.k) || hosts[1].holds(x.k)
				f.record.printf("flow %d (%s) gets a reset that no host sent; a host still holds it: %v", i, x.k.caller, holds)
				if holds {
					lost++
				}
			} else if !strings.HasPrefix(a, "HTTP/1.1 200") {
				f.record.printf("flow %d: %s", i, a)
			}
		}
	}
	f.record.printf("%d flows were reset though their host held them", lost)
	if lost > 0 {
		return broken
	}
	return held
}
