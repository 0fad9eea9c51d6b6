// Command standin runs the scripts of the review: it starts the project's programs with the
// commands of the deploy file, plays the platform, operators, hosts and clients, and checks one
// rule. It ends with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of each machine. Machines differ by their loopback address.
type ports struct{ node, status, control, ready, datagram, outbound, app int }

// fleet is a deployment on loopback addresses.
type fleet struct {
	bin, dir string
	net      string // first three bytes of the addresses
	ports    ports
	seeds    []string
	record   *record
	mu       sync.Mutex
	machines map[string]*machine
}

// machine is one process of the project with its settings.
type machine struct {
	f       *fleet
	role    string
	name    string
	ip      string
	zone    string
	service string
	first   bool
	oneCore bool // the process sees one processor
	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	log     *os.File
}

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	w     io.Writer
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// cannotRun ends the program because the case could not run.
type cannotRun struct{ reason string }

func fail(format string, args ...any) { panic(cannotRun{fmt.Sprintf(format, args...)}) }

func newFleet(bin string, rec *record) *fleet {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("%v", err)
	}
	f := &fleet{bin: bin, dir: dir, record: rec, machines: map[string]*machine{}}
	for range 50 {
		f.net = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(250))
		b := 20000 + rand.IntN(9000)
		f.ports = ports{node: b, status: b + 15, control: b + 20, ready: b + 21, datagram: b + 22, outbound: b + 23, app: b + 24}
		l, err := net.Listen("tcp", f.ip(1)+fmt.Sprint(":", b))
		if err == nil {
			l.Close()
			return f
		}
	}
	fail("no free address")
	return nil
}

func (f *fleet) ip(n int) string { return fmt.Sprintf("%s.%d", f.net, n) }

func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		m.signal(syscall.SIGCONT)
		m.kill()
	}
	if os.Getenv("KEEP") != "" {
		f.record.printf("kept %s", f.dir)
		return
	}
	os.RemoveAll(f.dir)
}

func (f *fleet) add(role, name string, n int, zone string) *machine {
	m := &machine{f: f, role: role, name: name, ip: f.ip(n), zone: zone, first: true}
	f.mu.Lock()
	f.machines[name] = m
	f.mu.Unlock()
	return m
}

func (m *machine) data() string { return filepath.Join(m.f.dir, m.name, "data") }

// settings fills the template of the role.
func (m *machine) settings() string {
	p := m.f.ports
	at := func(port int) string { return fmt.Sprint(m.ip, ":", port) }
	tail := fmt.Sprintf("cluster:\n  port: %d\n  seeds: [%s]\n", p.node, strings.Join(m.f.seeds, ","))
	switch m.role {
	case "control":
		return fmt.Sprintf("name: %s\nzone: %s\naddress: %s\noperators: %s\nstatus: %s\ndata: %s\nfirst: %v\nlosses: 1\nmemory: 280\n",
			m.name, m.zone, at(p.node), at(p.control), at(p.status), m.data(), m.first) + tail
	case "balancer":
		return fmt.Sprintf("name: %s\nzone: %s\ndata: %s\nhints: %s\nready: %s\nstatus: %s\nmemory: 284\n",
			m.name, m.zone, at(p.datagram), at(p.node), at(p.ready), at(p.status)) + tail
	}
	return fmt.Sprintf("name: %s\nzone: %s\nservice: %s\ndata: %s\noutbound: %s\ntarget: %s\nreports: %s\nperiod: 770ms\nready: %s\nstatus: %s\nmemory: 152\n",
		m.name, m.zone, m.service, at(p.datagram), at(p.outbound), at(p.app), at(p.control), at(p.ready), at(p.status)) + tail
}

// start starts the machine's process as the deploy file says.
func (m *machine) start() {
	dir := filepath.Join(m.f.dir, m.name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		fail("%v", err)
	}
	file := filepath.Join(dir, "node.yaml")
	if err := os.WriteFile(file, []byte(m.settings()), 0o644); err != nil {
		fail("%v", err)
	}
	log, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		fail("%v", err)
	}
	cmd := exec.Command(m.f.bin, m.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MANGOKEEL_CONFIG=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	start := cmd.Start
	if m.oneCore {
		start = func() error { return startOnOneCore(cmd) }
	}
	if err := start(); err != nil {
		fail("start %s: %v", m.name, err)
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.ended, m.log = cmd, ended, log
	m.mu.Unlock()
	m.f.record.printf("start %s at %s, first=%v", m.name, m.ip, m.first)
	go func() {
		err := cmd.Wait()
		m.f.record.printf("%s ended: %v", m.name, err)
		log.Close()
		close(ended)
	}()
}

func (m *machine) signal(s os.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// running reports whether the process has not ended.
func (m *machine) running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return false
	}
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// kill sends SIGKILL and waits for the end.
func (m *machine) kill() {
	m.mu.Lock()
	cmd, ended := m.cmd, m.ended
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-ended
}

// wipe removes the disk of a stopped machine.
func (m *machine) wipe() {
	if err := os.RemoveAll(m.data()); err != nil {
		fail("%v", err)
	}
	m.first = false
}

func (m *machine) controlURL(path string) string {
	return fmt.Sprintf("http://%s:%d%s", m.ip, m.f.ports.control, path)
}

// answer is what a caller of control got.
type answer struct {
	status int
	body   []byte
	err    error
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call and waits for at most timeout.
func call(method, url string, body []byte, timeout time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	w, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer w.Body.Close()
	b, err := io.ReadAll(w.Body)
	return answer{w.StatusCode, b, err}
}

// order sends an order to the instances in turn until one acknowledges it or deadline passes. It
// returns the time of the acknowledgement.
func (f *fleet) order(method, path string, body []byte, nodes []*machine, deadline time.Time) (at time.Time, ok bool) {
	pause := 50 * time.Millisecond
	for i := rand.IntN(len(nodes)); time.Now().Before(deadline); i++ {
		m := nodes[i%len(nodes)]
		a := call(method, m.controlURL(path), body, time.Second)
		switch {
		case a.err == nil && a.status/100 == 2:
			return time.Now(), true
		case a.err == nil && (a.status == 400 || a.status == 409 || a.status == 412 || a.status == 413 || a.status == 422):
			f.record.printf("%s %s at %s refused: %d %s", method, path, m.name, a.status, a.body)
			return time.Time{}, false
		}
		time.Sleep(pause)
		pause = min(2*pause, 500*time.Millisecond)
	}
	return time.Time{}, false
}
