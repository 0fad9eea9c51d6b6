package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// busy is a host of dispatch at sieste-hq-now-grown.
var busy = capacity{slots: 3, queue: 12, work: 40 * time.Millisecond}

const (
	// others is how many flows are opened first, and quiet how many after them, one at a time.
	others = 100
	quiet  = 4
	// spacing separates the quiet flows: no packet of another flow comes before the first copy of the SYN.
	spacing = 1010 * time.Millisecond
	// rest is the pause of the flows after the last of them was opened. It ends more than ContactMs after the last of five
	// machines was started again, and the pause of the first flows stays below IdleTimeoutMs.
	rest = 10 * time.Second
	// ahead and behind are how many requests of the flows of each kind come to a host at once when the clients go on. A host
	// takes 15 and works on them for 5 x 40 ms.
	ahead, behind = 12, 3
)

// lost: a SYN+ACK of some flows is lost, so that two hosts accept them. Then balancer and agents are restarted in turn.
func lost(w *world) (int, error) {
	w.hosts = busy
	front, sides, err := w.sides()
	if err != nil {
		return 0, err
	}
	if _, err := w.startHost(sides[0]); err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	c, err := w.startCaller(loopback(25))
	if err != nil {
		return 0, err
	}
	const first, last = 40001, 40000 + others + quiet
	var clients sync.WaitGroup
	for port := uint16(first); port <= last; port++ {
		if port <= 40000+others {
			time.Sleep(5 * time.Millisecond)
		} else {
			time.Sleep(spacing)
			c.mu.Lock()
			c.lose[port] = w.trouble
			c.mu.Unlock()
		}
		clients.Go(func() {
			if !c.open(front, port, netip.MustParseAddrPort("198.18.0.1:8443")) || !c.ask(front, port, fmt.Sprintf("first-%d", port), time.Second) {
				w.say("client port %d: not served", port)
			}
		})
	}
	clients.Wait()
	began := time.Now()
	w.say("-- the flows are open and pause; %d of %d packets to the client were lost; balancer and agents are stopped and started in turn", c.lost, c.received)
	if err := w.roll(append([]*machine{front}, sides...), nil); err != nil {
		return 0, err
	}
	w.say("-- all processes are back %.1f s after the flows were open", time.Since(began).Seconds())
	time.Sleep(rest - time.Since(began))
	w.say("-- the clients go on after %.1f s", time.Since(began).Seconds())
	byHost := map[string][][]uint16{}
	for port := uint16(first); port <= last; port++ {
		f := c.flow(port)
		if f.stamp == "" {
			continue
		}
		kind := 0
		if port > 40000+others {
			kind = 1
		}
		if byHost[f.stamp] == nil {
			byHost[f.stamp] = make([][]uint16, 2)
		}
		byHost[f.stamp][kind] = append(byHost[f.stamp][kind], port)
	}
	for _, ports := range byHost {
		clients.Go(func() { c.bursts(front, ports[0], ports[1]) })
	}
	clients.Wait()
	broken := 0
	for port := uint16(first); port <= last; port++ {
		if len(c.flow(port).resets) > 0 {
			broken++
		}
	}
	for _, m := range sides {
		w.logs(m, "no owner found")
	}
	w.say("-- %d of %d flows were reset by the system", broken, others+quiet)
	return verdict(broken, nil)
}

// bursts goes on with the flows of a host, some at a time.
func (c *caller) bursts(through *machine, others, quiet []uint16) {
	for len(quiet) > 0 && len(others) >= ahead {
		n := min(behind, len(quiet))
		var all sync.WaitGroup
		for i, port := range append(append([]uint16{}, others[:ahead]...), quiet[:n]...) {
			if i == ahead {
				time.Sleep(5 * time.Millisecond)
			}
			all.Go(func() {
				if !c.ask(through, port, fmt.Sprintf("second-%d", port), 1500*time.Millisecond) {
					c.w.say("client port %d: not answered; its flow is open at host %s, which lives", port, c.flow(port).stamp)
				}
			})
		}
		all.Wait()
		others, quiet = others[ahead:], quiet[n:]
	}
}
