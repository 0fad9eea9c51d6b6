package main

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"syscall"
	"time"
)

// cases are the cases by name.
var cases = map[string]func(*world) (int, error){
	"replaced": replaced,
	"moved":    moved,
	"torn":     torn,
	"early":    early,
	"soon":     soon,
	"stale":    stale,
	"late":     late,
	"lost":     lost,
}

// Bounds of the pages for a small deployment.
const (
	catchUp  = 4 * time.Second  // CatchUpS
	recovery = 12 * time.Second // RecoveryS
	stretch  = 12 * time.Second // StretchMaxMs
	ack      = 5 * time.Second  // AckMs
	grace    = 6 * time.Second  // GraceS
)

// config returns a configuration with a version, as the operator sends it.
func config(version int, routes string) string {
	return fmt.Sprintf(`{"Version":%d,"Routes":[%s],"Services":[%s],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`,
		version, routes, `{"Name":"dispatch","HealthPath":"/health","MaxConns":2000,"Protocol":"h1","Tls":false,"WarmupS":2.0,"WarmupPerS":0.0}`)
}

// route returns a route to the service dispatch.
func route(name string, port int) string {
	return fmt.Sprintf(`{"Name":%q,"Host":"198.18.0.1","PathPrefix":"/%d/","Kind":"unsafe","TimeoutMs":600,"TargetLatencyMs":120,"Priority":1,"Service":"dispatch","MaxAttempts":2}`, name, port)
}

var versionField = regexp.MustCompile(`"Version":(\d+)`)

// read asks a machine for the configuration and returns its version, or 0 if there is no clear answer.
func (w *world) read(m *machine) int {
	status, answer := w.call("GET", "http://"+w.at(m, portControl)+"/config", "")
	w.say("operator -> %s: GET /config -> %d %s", m.name, status, brief(answer))
	x := versionField.FindStringSubmatch(answer)
	if status != 200 || x == nil {
		return 0
	}
	v, _ := strconv.Atoi(x[1])
	return v
}

// core returns n core machines in three zones, the seeds of the deployment, that start for the first time.
func (w *world) core(n int) []*machine {
	zones := []string{"port-louis", "plaisance", "ebene"}
	var list []*machine
	for i := range n {
		list = append(list, w.add(&machine{
			name: fmt.Sprintf("core-%s-%d", zones[i%3], 1+i/3), class: "core", role: "control", zone: zones[i%3], ip: loopback(1 + i), first: true,
		}))
	}
	w.seeds = list
	return list
}

// startAll starts machines and waits until the operator's first configuration is acknowledged.
func (w *world) startAll(list []*machine, first string) error {
	for _, m := range list {
		if err := w.start(m); err != nil {
			return err
		}
	}
	if w.order("PUT", "/config", first, 20*time.Second, w.seeds...) == nil {
		return errors.New("the first configuration was not acknowledged")
	}
	return nil
}

// replaced: a core machine is replaced as planned: the new one first and, once it has had CatchUpS, SIGTERM
// to the old one. Right after that, one other core machine loses its disk.
func replaced(w *world) (int, error) {
	core := w.core(3)
	a, b, old := core[0], core[1], core[2]
	if err := w.startAll(core, config(3, route("r-1", 8443))); err != nil {
		return 0, err
	}
	successor := w.add(&machine{name: "core-ebene-2", class: "core", role: "control", zone: "ebene", ip: loopback(4)})
	w.say("-- a successor for %s is added", old.name)
	if err := w.start(successor); err != nil {
		return 0, err
	}
	time.Sleep(catchUp + time.Second)
	if v := w.read(successor); v != 3 {
		return 0, fmt.Errorf("the successor reads version %d after CatchUpS", v)
	}
	w.say("-- %s is removed: its successor has had CatchUpS, so it doesn't count as lost", old.name)
	w.signal(old, syscall.SIGTERM)
	if !w.ended(old, grace) {
		return 0, errors.New("the old machine did not end within GraceS")
	}
	// The machine that acknowledges the next change is to lose its disk.
	victim := w.order("PUT", "/config", config(7, route("r-1", 8443)+","+route("r-2", 8444)), 2*ack, a, b)
	if victim == nil {
		return 0, errors.New("the change was not acknowledged")
	}
	if w.trouble {
		w.say("-- %s loses its disk right after it has acknowledged version 7; it is back after a second", victim.name)
		w.signal(victim, syscall.SIGKILL)
		w.ended(victim, grace)
		w.wipe(victim)
		time.Sleep(time.Second)
		if err := w.start(victim); err != nil {
			return 0, err
		}
	}
	back := time.Now()
	ok, last := false, 0
	for time.Since(back) < recovery+stretch+ack && !ok {
		time.Sleep(time.Second)
		ok = true
		for _, m := range []*machine{a, b, successor} {
			v := w.read(m)
			ok = ok && v >= 7
			last = max(last, v)
		}
	}
	w.say("-- %.1f s after all machines are back, the newest version that was read is %d; acknowledged was 7", time.Since(back).Seconds(), last)
	if w.order("PUT", "/config", config(9, route("r-1", 8443)), ack, a, b, successor) == nil {
		w.say("-- a further change is not acknowledged within AckMs")
	}
	for _, m := range []*machine{a, b, successor} {
		w.logs(m, "membership", "msg=started")
	}
	if last < 7 {
		return exitBroken, nil
	}
	if !ok {
		w.say("-- not all machines answered")
	}
	return exitHeld, nil
}
