// Command standin3 holds the stand-ins of the cases of review/REPORT-3.md: an operator, a platform that
// starts and stops the project's programs, hosts, clients and a router, as the users' pages describe them.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
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

// Offsets of the ports of a machine. All machines have the same ports.
const (
	portData = iota
	portReady
	portControl
	portOutbound
	portApp
	portNode // first port of the range for calls between nodes
	portStatus
	portCount
)

const heartbeat = 770 * time.Millisecond

// record writes record.txt.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// platform starts the project's programs, each on a machine with a loopback address of its own.
type platform struct {
	*record
	dir, program string
	net          string // first three numbers of the machines' addresses
	port         int
	losses       int
	seeds        []int
	mu           sync.Mutex
	running      map[int]*exec.Cmd
	exited       map[int]chan struct{}
}

// newPlatform chooses free ports.
func newPlatform(r *record, program string) (*platform, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	p := &platform{record: r, dir: dir, program: program, losses: 1, running: map[int]*exec.Cmd{}, exited: map[int]chan struct{}{}}
	p.net = fmt.Sprintf("127.%d.%d", 60+os.Getpid()%100, os.Getpid()/100%250)
	for try := 0; ; try++ {
		l, err := net.Listen("tcp", p.net+".1:0")
		if err != nil {
			return nil, err
		}
		p.port = l.Addr().(*net.TCPAddr).Port
		l.Close()
		if p.port+portCount < 65536 && p.free() {
			return p, nil
		}
		if try > 50 {
			return nil, fmt.Errorf("no free ports")
		}
	}
}

func (p *platform) free() bool {
	for i := range portCount {
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", p.net, p.port+i))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

func (p *platform) ip(n int) string { return fmt.Sprintf("%s.%d", p.net, n) }

func (p *platform) address(n, port int) string { return fmt.Sprintf("%s:%d", p.ip(n), p.port+port) }

func (p *platform) seedList() string {
	var list []string
	for _, n := range p.seeds {
		list = append(list, p.address(n, portControl))
	}
	return strings.Join(list, ",")
}

// settings renders the templates of the deploy file for a machine.
func (p *platform) settings(n int, role, zone, service string, first bool) string {
	cluster := fmt.Sprintf("cluster:\n  port: %d\n  seeds: [%s]\n", p.port+portNode, p.seedList())
	name := fmt.Sprintf("%s-%d", role, n)
	switch role {
	case "control":
		return fmt.Sprintf("name: %s\nzone: %s\naddress: %s\noperators: %s\nstatus: %s\ndata: %s\nfirst: %v\nlosses: %d\nmemory: 280\n", name, zone,
			p.address(n, portNode), p.address(n, portControl), p.address(n, portStatus), p.folder(n), first, p.losses) + cluster
	case "balancer":
		return fmt.Sprintf("name: %s\nzone: %s\ndata: %s\nhints: %s\nready: %s\nstatus: %s\nmemory: 284\n", name, zone,
			p.address(n, portData), p.address(n, portNode), p.address(n, portReady), p.address(n, portStatus)) + cluster
	}
	return fmt.Sprintf("name: %s\nzone: %s\nservice: %s\ndata: %s\noutbound: %s\ntarget: %s\nreports: %s\nperiod: 770ms\nready: %s\nstatus: %s\nmemory: 152\noverload:\n  refuse: early\n  order: callers\n",
		name, zone, service, p.address(n, portData), p.address(n, portOutbound), p.address(n, portApp), p.address(n, portControl),
		p.address(n, portReady), p.address(n, portStatus)) + cluster
}

func (p *platform) folder(n int) string { return filepath.Join(p.dir, fmt.Sprint("disk-", n)) }

func (p *platform) start(n int, role, zone, service string, first bool) error {
	file := filepath.Join(p.dir, fmt.Sprintf("node-%d.yaml", n))
	if err := os.WriteFile(file, []byte(p.settings(n, role, zone, service, first)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, fmt.Sprintf("%s-%d.log", role, n)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.program, role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MANGOKEEL_CONFIG=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.running[n], p.exited[n] = cmd, done
	p.mu.Unlock()
	go func() { _ = cmd.Wait(); close(done) }()
	p.add("platform: %s-%d starts at %s", role, n, p.ip(n))
	return nil
}

// stop sends a signal and waits for the end of the process, at most GraceS (6 s).
func (p *platform) stop(n int, s syscall.Signal) {
	p.mu.Lock()
	cmd, done := p.running[n], p.exited[n]
	delete(p.running, n)
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	p.add("platform: machine %d gets %v", n, s)
	_ = cmd.Process.Signal(s)
	select {
	case <-done:
	case <-time.After(6 * time.Second):
		_ = cmd.Process.Kill()
		<-done
	}
}

func (p *platform) close() {
	p.mu.Lock()
	var list []int
	for n := range p.running {
		list = append(list, n)
	}
	p.mu.Unlock()
	for _, n := range list {
		p.stop(n, syscall.SIGKILL)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(p.dir)
	} else {
		fmt.Println(p.dir)
	}
}

// call makes a call of the operator, who waits for a second, and returns the status or 0.
func (p *platform) call(n int, method, path string, body []byte) (int, string) {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(method, "http://"+p.address(n, portControl)+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Header.Set("Content-Type", "application/json")
	w, err := c.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer w.Body.Close()
	b, err := io.ReadAll(w.Body)
	if err != nil {
		return 0, err.Error()
	}
	return w.StatusCode, strings.TrimSpace(string(b))
}

// order sends an order to the instances in turn until one acknowledges it, and returns that one or 0.
func (p *platform) order(limit time.Duration, method, path string, body []byte, list ...int) int {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, n := range list {
			status, _ := p.call(n, method, path, body)
			if status >= 200 && status < 300 {
				p.add("operator: %s %s acknowledged by control-%d", method, path, n)
				return n
			}
		}
	}
	p.add("operator: %s %s not acknowledged within %v", method, path, limit)
	return 0
}

// config returns a configuration that sends one address to a service.
func config(version int) []byte {
	b, _ := json.Marshal(map[string]any{
		"Version": version,
		"Routes": []any{map[string]any{
			"Name": "r-feed", "Host": routeHost, "PathPrefix": fmt.Sprintf("/%d/", routePort), "Kind": "safe", "TimeoutMs": 5000,
			"TargetLatencyMs": 500, "Priority": 2, "Service": "feed", "MaxAttempts": 2,
		}},
		"Services": []any{map[string]any{
			"Name": "feed", "HealthPath": "/health", "MaxConns": 2000, "Protocol": "h1", "Tls": false, "WarmupS": 2.0, "WarmupPerS": 0.0,
		}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	return b
}

// members returns the voters that a control instance names, and whether it leads.
func (p *platform) members(n int) (voters []string, leads bool) {
	c := http.Client{Timeout: time.Second}
	w, err := c.Get("http://" + p.address(n, portStatus) + "/dump")
	if err != nil {
		return nil, false
	}
	defer w.Body.Close()
	var d struct {
		Leading bool
		Members []struct {
			Address string
			Voter   bool
		}
	}
	if json.NewDecoder(w.Body).Decode(&d) != nil {
		return nil, false
	}
	for _, m := range d.Members {
		if m.Voter {
			voters = append(voters, m.Address)
		}
	}
	return voters, d.Leading
}

// leader returns the instance that leads, or 0.
func (p *platform) leader(list ...int) int {
	for _, n := range list {
		if _, ok := p.members(n); ok {
			return n
		}
	}
	return 0
}
