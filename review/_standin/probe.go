package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["probe"] = probe }

func envInt(name string, d int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return d
}

// routes renders a configuration whose routes are numbered from first on.
func config(version, first, n int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"Version":%d,"Routes":[`, version)
	for i := first; i < first+n; i++ {
		if i > first {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"Name":"r-%07x","Host":"198.18.%d.%d","PathPrefix":"/%d/","Kind":"safe","TimeoutMs":500,"TargetLatencyMs":100,"Priority":2,"Service":"huvo11a","MaxAttempts":2}`,
			uint32(i)*2654435761>>4, i/200%250, i%200+1, 1024+i%60000)
	}
	b.WriteString(`],"Services":[{"Name":"huvo11a","HealthPath":"/health","MaxConns":2000,"Protocol":"h1","Tls":false,"WarmupS":2.0,"WarmupPerS":0.0}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`)
	return b.Bytes()
}

func probe(f *fleet, trouble bool) int {
	zones := []string{"port-louis", "plaisance", "ebene"}
	var cs []*machine
	for i := range 3 {
		f.seeds = append(f.seeds, fmt.Sprintf("%s:%d", f.ip(i+1), f.ports.control))
		cs = append(cs, f.add("control", fmt.Sprintf("core-%s-1", zones[i]), i+1, zones[i]))
	}
	for _, c := range cs {
		c.start()
	}
	changes, routes, swap := envInt("CHANGES", 900), envInt("ROUTES", 1300), envInt("SWAP", 0)
	if _, ok := f.order("PUT", "/config", config(1, 0, routes), cs, time.Now().Add(20*time.Second)); !ok {
		fail("first configuration not acknowledged")
	}
	f.record.printf("first acked; body %d", len(config(1, 0, routes)))
	var next atomic.Int64
	next.Store(1)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for {
				v := int(next.Add(1))
				if v > changes {
					return
				}
				if _, ok := f.order("PUT", "/config", config(v, v*swap, routes), cs, time.Now().Add(20*time.Second)); !ok {
					f.record.printf("version %d not acked", v)
				}
			}
		})
	}
	wg.Wait()
	f.record.printf("%d changes done", changes)
	for _, c := range cs {
		c.first = false
		b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.cmd.Process.Pid))
		f.record.printf("%s %s", c.name, bytes.Join(bytes.Fields(b[bytes.Index(b, []byte("VmHWM")):bytes.Index(b, []byte("RssAnon"))]), []byte(" ")))
	}
	if !trouble {
		return held
	}
	read := func(until time.Time) bool {
		t := time.Now()
		for time.Now().Before(until) {
			for _, c := range cs {
				a := call("GET", c.controlURL("/config"), nil, time.Second)
				if a.status == 200 {
					f.record.printf("read at %s after %.2f s: %s", c.name, time.Since(t).Seconds(), a.body[:30])
					return true
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		return false
	}
	switch os.Getenv("HOW") {
	case "all":
		for _, c := range cs {
			c.kill()
		}
		time.Sleep(500 * time.Millisecond)
		for _, c := range cs {
			c.start()
		}
		if !read(time.Now().Add(40 * time.Second)) {
			f.record.printf("no read in 40 s")
			return broken
		}
	case "wipe":
		cs[0].kill()
		cs[0].wipe()
		time.Sleep(1500 * time.Millisecond)
		cs[0].start()
		time.Sleep(time.Duration(envInt("CATCHUP", 4000)) * time.Millisecond)
		cs[1].kill()
		cs[1].wipe()
		time.Sleep(1500 * time.Millisecond)
		cs[1].start()
		if !read(time.Now().Add(30 * time.Second)) {
			f.record.printf("no read in 30 s")
			return broken
		}
	}
	return held
}
