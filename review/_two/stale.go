package main

import (
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// idle is a pause that clients make in a flow, below IdleTimeoutMs and MaxFlowS. It ends more than ContactMs after the last
// of five machines was started again.
const idle = 10500 * time.Millisecond

// rollGap is the time between steps of roll_term: 1.2 s in the site files.
const rollGap = 1200 * time.Millisecond

// flows is how many flows the clients keep open.
const flows = 120

// delayed is a heartbeat that is held up by a partition.
type delayed struct {
	host *host
	body string
	sent time.Time
}

// hold takes a host's next heartbeat out of its way.
func (h *host) hold() *delayed {
	d := &delayed{host: h, body: h.body(), sent: time.Now()}
	h.w.say("-- host %s sends a heartbeat that is held up: %s", h.id, d.body)
	return d
}

// arrive delivers the heartbeat once the agent takes calls again.
func (d *delayed) arrive() {
	w, m := d.host.w, d.host.m
	for end := time.Now().Add(grace); time.Now().Before(end); {
		if status, _ := w.call("PUT", "http://"+w.at(m, portControl)+"/instances/"+d.host.id, d.body); status != 0 {
			w.say("-- the heartbeat of host %s arrives at %s, %.1f s after it was sent: %d", d.host.id, m.name, time.Since(d.sent).Seconds(), status)
			return
		}
	}
}

// sides starts the core, a balancer, four agents and a host beside all but the first of them.
func (w *world) sides() (front *machine, sides []*machine, err error) {
	core := w.core(3)
	zones := []string{"port-louis", "plaisance", "ebene"}
	if err := w.startAll(core, config(3, route("r-1", 8443))); err != nil {
		return nil, nil, err
	}
	front = w.add(&machine{name: "frontend-port-louis-1", role: "balancer", zone: zones[0], ip: loopback(11)})
	if err := w.start(front); err != nil {
		return nil, nil, err
	}
	for i := range 4 {
		m := w.add(&machine{
			name: fmt.Sprintf("side-%s-%d", zones[i%3], 1+i/3), role: "agent", zone: zones[i%3], ip: loopback(12 + i), service: "dispatch",
		})
		sides = append(sides, m)
		if err := w.start(m); err != nil {
			return nil, nil, err
		}
		if i > 0 {
			if _, err := w.startHost(m); err != nil {
				return nil, nil, err
			}
		}
	}
	return front, sides, nil
}

// roll stops and starts machines in turn. The delayed heartbeat, if there is one, arrives as the first of them is back.
func (w *world) roll(list []*machine, d *delayed) error {
	begin := time.Now()
	for i, m := range list {
		time.Sleep(time.Duration(i)*rollGap - time.Since(begin))
		w.signal(m, syscall.SIGTERM)
		if !w.ended(m, grace) {
			return errors.New("a process did not end within GraceS")
		}
		if err := w.start(m); err != nil {
			return err
		}
		if i == 0 && w.trouble && d != nil {
			d.arrive()
		}
	}
	return nil
}

// pause opens flows, lets them pause while all agents and the balancer are restarted in turn, and goes on with them. The
// heartbeat arrives as the first agent is back. It returns how many flows the system has reset.
func pause(w *world, front *machine, sides []*machine, d *delayed) (int, error) {
	c, err := w.startCaller(loopback(25))
	if err != nil {
		return 0, err
	}
	dst := netip.MustParseAddrPort("198.18.0.1:8443")
	var clients sync.WaitGroup
	for port := uint16(40001); port <= 40000+flows; port++ {
		clients.Go(func() {
			time.Sleep(time.Duration(port-40001) * 2 * time.Millisecond)
			if !c.open(front, port, dst) || !c.ask(front, port, fmt.Sprintf("first-%d", port), time.Second) {
				w.say("client port %d: not served", port)
			}
		})
	}
	clients.Wait()
	began := time.Now()
	w.say("-- %d flows are open and pause; all agents and the balancer are stopped and started in turn", flows)
	if err := w.roll(append(append([]*machine{}, sides...), front), d); err != nil {
		return 0, err
	}
	w.say("-- all processes are back %.1f s after the flows were open", time.Since(began).Seconds())
	time.Sleep(idle - time.Since(began))
	w.say("-- the clients go on after %.1f s", time.Since(began).Seconds())
	broken := 0
	for port := uint16(40001); port <= 40000+flows; port++ {
		f := c.flow(port)
		if f.answered == 0 {
			continue
		}
		ok := c.ask(front, port, fmt.Sprintf("second-%d", port), 2*time.Second)
		c.mu.Lock()
		if len(f.resets) > 0 {
			broken++
			w.say("client port %d: its flow is open at host %s, which lives; the system reset it", port, f.stamp)
		} else if !ok {
			w.say("client port %d: no answer from host %s", port, f.stamp)
		}
		c.mu.Unlock()
	}
	for _, m := range sides {
		w.logs(m, "target status changed", "target restarted", "deferred", "no owner found")
	}
	w.say("-- %d of %d flows were reset by the system", broken, flows)
	return broken, nil
}

// stale: the delayed heartbeat is that of a crashed host, and arrives after a new incarnation has registered at the same
// address.
func stale(w *world) (int, error) {
	front, sides, err := w.sides()
	if err != nil {
		return 0, err
	}
	old, err := w.startHost(sides[0])
	if err != nil {
		return 0, err
	}
	time.Sleep(3 * time.Second)
	d := old.hold()
	time.Sleep(100 * time.Millisecond)
	old.crash()
	time.Sleep(time.Second)
	if _, err := w.startHost(sides[0]); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	return verdict(pause(w, front, sides, d))
}

// late: the delayed heartbeat is the first one of a host that has lived all the while.
func late(w *world) (int, error) {
	front, sides, err := w.sides()
	if err != nil {
		return 0, err
	}
	h, err := w.newHost(sides[0])
	if err != nil {
		return 0, err
	}
	d := h.hold()
	time.Sleep(time.Second) // the host gives up its call, and makes another one
	h.report()
	time.Sleep(2 * time.Second)
	return verdict(pause(w, front, sides, d))
}

func verdict(broken int, err error) (int, error) {
	if broken > 0 {
		return exitBroken, err
	}
	return exitHeld, err
}
