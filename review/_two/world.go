// Command two plays the cases of the second review: it starts the programs of the deploy file as
// separate processes on loopback addresses, does to them what a case says, and records what was sent
// and answered.
//
//	two CASE FOLDER
//
// It ends with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0
// in its environment it leaves out the disruption.
package main

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// maxRun bounds a whole case.
const maxRun = 115 * time.Second

// Ports of a machine, as offsets from the base port.
const (
	portData = iota
	portReady
	portControl
	portOutbound
	portApp
	portFirst
	portLast = portFirst + 15
)

// machine is one machine of the deployment. All machines have the same ports and addresses of their own.
type machine struct {
	name, class, role, zone, ip, service string
	// first is set for the first start of the whole system.
	first bool
	proc  *process
}

// process is a running process of the system.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// world is a running deployment.
type world struct {
	dir     string
	base    int
	trouble bool
	seeds   []*machine
	// losses is how many machines with a disk may be lost at once.
	losses int
	// hosts is the capacity of each host.
	hosts capacity
	// env is added to the environment of the processes.
	env []string

	mu sync.Mutex
	// closed is set once no process may start any more.
	closed   bool
	record   *os.File
	started  time.Time
	machines []*machine
}

func newWorld(folder string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-two-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: record, started: time.Now(), trouble: os.Getenv("TROUBLE") != "0", hosts: small, losses: 1}
	for w.base = 21000; w.base < 31000; w.base += 50 {
		if w.free() {
			return w, nil
		}
	}
	return nil, errors.New("no free ports")
}

// address returns an address of the machine with a number.
func loopback(n int) string { return fmt.Sprintf("127.83.%s.%d", cmp.Or(os.Getenv("NETWORK"), "0"), n) }

// free reports whether all ports from the base are free on all addresses that a case may use.
func (w *world) free() bool {
	for n := 1; n <= 30; n++ {
		for p := w.base; p <= w.base+portLast; p++ {
			a := fmt.Sprintf("%s:%d", loopback(n), p)
			l, err := net.Listen("tcp4", a)
			if err != nil {
				return false
			}
			l.Close()
			u, err := net.ListenPacket("udp4", a)
			if err != nil {
				return false
			}
			u.Close()
		}
	}
	return true
}

// say writes a line to the record.
func (w *world) say(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
	fmt.Fprint(w.record, line)
	if os.Getenv("LOUD") != "" {
		fmt.Print(line)
	}
}

func (w *world) add(m *machine) *machine {
	w.machines = append(w.machines, m)
	return m
}

// at returns an address of a machine.
func (w *world) at(m *machine, port int) string { return fmt.Sprintf("%s:%d", m.ip, w.base+port) }

var placeholder = regexp.MustCompile(`\{\{([A-Za-z.0-9]+)\}\}`)

// settings renders the deploy template of a machine's role.
func (w *world) settings(m *machine) (string, error) {
	text, err := os.ReadFile("deploy/" + m.role + ".yaml")
	if err != nil {
		return "", err
	}
	var seeds []string
	for _, s := range w.seeds {
		seeds = append(seeds, w.at(s, portControl))
	}
	fields := map[string]string{
		"NodeId": m.name, "Zone": m.zone, "Service": m.service, "Ip": m.ip,
		"Listen.DatagramAddr": w.at(m, portData), "Listen.ReadyAddr": w.at(m, portReady),
		"Listen.Control": w.at(m, portControl), "Listen.outbound": w.at(m, portOutbound), "app": w.at(m, portApp),
		"PortRange.0": fmt.Sprint(w.base + portFirst), "PortRange.1": fmt.Sprint(w.base + portLast),
		"HeartbeatMs": "770", "Limits.MemoryMb": "280", "DataDir": w.data(m), "Bootstrap": fmt.Sprint(m.first),
		"FaultTolerance.Machines": fmt.Sprint(w.losses), "Seeds": strings.Join(seeds, ","),
	}
	var missing error
	out := placeholder.ReplaceAllStringFunc(string(text), func(s string) string {
		v, ok := fields[placeholder.FindStringSubmatch(s)[1]]
		if !ok {
			missing = fmt.Errorf("no value for %s", s)
		}
		return v
	})
	return out, missing
}

// data is the folder of a machine's disk.
func (w *world) data(m *machine) string { return filepath.Join(w.dir, m.name+".disk") }

// start starts the process of a machine with the command of the deploy file.
func (w *world) start(m *machine) error {
	text, err := w.settings(m)
	if err != nil {
		return err
	}
	file := filepath.Join(w.dir, m.name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(w.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/node", m.role)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "MANGOKEEL_CONFIG=" + file}, w.env...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := w.launch(m, cmd); err != nil {
		return err
	}
	w.say("%s: start %s (Bootstrap %v), process %d", m.name, m.role, m.first, cmd.Process.Pid)
	m.first = false
	return nil
}

// launch starts a command as the process of a machine.
func (w *world) launch(m *machine, cmd *exec.Cmd) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return errors.New("the case has ended")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	m.proc = p
	return nil
}

// signal sends a signal to the process of a machine.
func (w *world) signal(m *machine, s syscall.Signal) {
	if p := m.proc; p != nil {
		w.say("%s: %v", m.name, s)
		_ = p.cmd.Process.Signal(s)
	}
}

// ended waits until the process of a machine has ended.
func (w *world) ended(m *machine, limit time.Duration) bool {
	select {
	case <-m.proc.done:
		w.say("%s: ended, %v", m.name, m.proc.cmd.ProcessState)
		return true
	case <-time.After(limit):
		return false
	}
}

// wipe empties the disk of a machine, whose process must have ended.
func (w *world) wipe(m *machine) {
	w.say("%s: its disk is lost", m.name)
	_ = os.RemoveAll(w.data(m))
}

// close ends all processes and removes the folder.
func (w *world) close() {
	w.mu.Lock()
	w.closed = true
	var list []*process
	for _, m := range w.machines {
		if m.proc != nil {
			list = append(list, m.proc)
		}
	}
	w.mu.Unlock()
	for _, p := range list {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
	}
	for _, p := range list {
		<-p.done
	}
	w.record.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", w.dir)
		return
	}
	_ = os.RemoveAll(w.dir)
}

// logs copies the lines of a machine's log that contain one of the words to the record.
func (w *world) logs(m *machine, words ...string) {
	b, _ := os.ReadFile(filepath.Join(w.dir, m.name+".log"))
	for _, line := range strings.Split(string(b), "\n") {
		for _, word := range words {
			if strings.Contains(line, word) {
				w.say("log of %s: %s", m.name, line)
				break
			}
		}
	}
}

// client makes calls like the platform's: each on a connection of its own, given up after a second.
var client = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes one call and returns the status, or 0 if there was no answer.
func (w *world) call(method, url, body string) (status int, answer string) {
	r, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	x, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer x.Body.Close()
	b, err := io.ReadAll(x.Body)
	if err != nil {
		return 0, err.Error()
	}
	return x.StatusCode, string(b)
}

// brief shortens an answer for the record.
func brief(s string) string {
	s = strings.TrimSpace(s)
	if len(s) > 100 {
		return s[:100] + "..."
	}
	return s
}

// order sends an operator's order to machines in turn until one acknowledges it, for as long as limit.
// It returns the machine that did.
func (w *world) order(method, path, body string, limit time.Duration, to ...*machine) *machine {
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		m := to[i%len(to)]
		status, answer := w.call(method, "http://"+w.at(m, portControl)+path, body)
		w.say("operator -> %s: %s %s %s -> %d %s", m.name, method, path, brief(body), status, brief(answer))
		if status/100 == 2 {
			return m
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: two CASE FOLDER")
		os.Exit(exitCannot)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannot)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	result := make(chan int, 1)
	go func() {
		code, err := cases[os.Args[1]](w)
		if err != nil {
			w.say("the case cannot run: %v", err)
			code = exitCannot
		}
		result <- code
	}()
	code := exitCannot
	select {
	case code = <-result:
	case <-signals:
	case <-time.After(maxRun):
		w.say("the case took too long")
	}
	verdict := map[int]string{exitHeld: "the rule held", exitBroken: "the rule was broken", exitCannot: "the case could not run"}[code]
	w.say("%s", verdict)
	w.close()
	fmt.Println(verdict)
	os.Exit(code)
}
