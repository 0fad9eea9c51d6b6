package main

import (
	"bytes"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["backlog"] = backlog }

const (
	// routesInForce is the number of routes of each version, replacedRoutes how many of them the
	// next version replaces by routes at other addresses.
	routesInForce  = 455
	replacedRoutes = 150
	// changesOfDay and changeTime bound the changes before the outage.
	changesOfDay = 900
	changeTime   = 50 * time.Second
	downTime     = 760 * time.Millisecond
	recovery     = 12 * time.Second
	// judgedTime is how long requests are judged after the recovery.
	judgedTime = 10 * time.Second
)

// backlogConfig has the route of the clients and the routes numbered from first on.
func (f *fleet) backlogConfig(version, first int, fixed netip.AddrPort) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"Version":%d,"Routes":[`, version)
	route := func(name string, host fmt.Stringer, port int) {
		fmt.Fprintf(&b, `{"Name":%q,"Host":%q,"PathPrefix":"/%d/","Kind":"safe","TimeoutMs":1500,"TargetLatencyMs":100,"Priority":2,"Service":"huvo11a","MaxAttempts":2}`,
			name, host, port)
	}
	route("r-clients", fixed.Addr(), int(fixed.Port()))
	for i := first; i < first+routesInForce-1; i++ {
		b.WriteByte(',')
		route(fmt.Sprintf("r-%07x", uint32(i)*2654435761>>4), netip.AddrFrom4([4]byte{127, 250, byte(i / 200 % 250), byte(i%200 + 1)}), 1024+i/50000)
	}
	b.WriteString(`],"Services":[{"Name":"huvo11a","HealthPath":"/health","MaxConns":2000,"Protocol":"h1","Tls":false,"WarmupS":2.0,"WarmupPerS":0.0}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`)
	return b.Bytes()
}

// backlog kills all processes of the system after hundreds of changes.
func backlog(f *fleet, trouble bool) int {
	for i := range 3 {
		f.seeds = append(f.seeds, fmt.Sprintf("%s:%d", f.ip(i+1), f.ports.control))
	}
	var cs []*machine
	for i := range 3 {
		cs = append(cs, f.add("control", fmt.Sprintf("core-%s-1", zones[i]), i+1, zones[i]))
	}
	b := f.add("balancer", "frontend-port-louis-1", 11, zones[0])
	m := f.add("agent", "side-port-louis-1", 21, zones[0])
	m.service = "huvo11a"
	all := append([]*machine{b, m}, cs...)
	for _, x := range all {
		x.oneCore = true
		x.start()
		x.first = false
	}
	newHost(m, "i-1", "huvo11a")
	address := netip.AddrPortFrom(netip.MustParseAddr(f.ip(200)), 443)
	if _, ok := f.order("PUT", "/config", f.backlogConfig(1, 0, address), cs, time.Now().Add(15*time.Second)); !ok {
		fail("first configuration not acknowledged")
	}
	changed := time.Now()
	var version, acked atomic.Int64
	version.Store(1)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for time.Since(changed) < changeTime {
				v := int(version.Add(1))
				if v > changesOfDay {
					return
				}
				if _, ok := f.order("PUT", "/config", f.backlogConfig(v, v*replacedRoutes, address), cs, time.Now().Add(10*time.Second)); ok {
					acked.Add(1)
				}
			}
		})
	}
	wg.Wait()
	f.record.printf("%d changes acknowledged in %.1f s", acked.Load(), time.Since(changed).Seconds())
	time.Sleep(2 * time.Second)
	c := newCaller(f, 101)
	before := f.share(c, b, address, "before", 2*time.Second)
	if before < 0.25 {
		fail("requests are not served before the outage: %.2f", before)
	}
	if trouble {
		for _, x := range all {
			x.signal(syscall.SIGKILL)
		}
		for _, x := range all {
			x.kill()
		}
		time.Sleep(downTime)
		for _, x := range all {
			x.start()
		}
	}
	back := time.Now()
	time.Sleep(recovery)
	after := f.share(c, b, address, "after", judgedTime)
	f.record.printf("served before: %.2f; served of the requests sent %.0f to %.0f s after the machines are back: %.2f",
		before, recovery.Seconds(), time.Since(back).Seconds(), after)
	if after < 0.25 {
		return broken
	}
	return held
}

// share sends ten requests a second for some time and returns the share that is served.
func (f *fleet) share(c *caller, via *machine, address netip.AddrPort, name string, d time.Duration) float64 {
	var sent, served atomic.Int64
	var wg sync.WaitGroup
	for start := time.Now(); time.Since(start) < d; time.Sleep(100 * time.Millisecond) {
		n := sent.Add(1)
		wg.Go(func() {
			if a := c.serve(via, address, fmt.Sprint(name, "-", n)); strings.HasPrefix(a, "HTTP/1.1 200") {
				served.Add(1)
			}
		})
	}
	wg.Wait()
	f.record.printf("%s: %d requests sent, %d served", name, sent.Load(), served.Load())
	return float64(served.Load()) / float64(sent.Load())
}
