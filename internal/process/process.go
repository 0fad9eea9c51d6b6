// Package process is the frame that every daemon runs in: command line, logs,
// signals, and a status server with metrics and a dump of the state.
//
// A daemon's main function is
//
//	func main() {
//		var cfg settings.Agent
//		process.Main("agent", &cfg, func(p *process.Process) error { ... })
//	}
//
// The function adds the daemon's parts to p.Group and returns; Main then runs the
// group until a signal arrives or a part ends.
package process

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/jessevdk/go-flags"
	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"mangokeel/internal/jsonrpc"
	"mangokeel/pkg/settings"
)

// Exit codes of all programs.
const (
	// ExitOK means that the program completed its task or was stopped by a signal.
	ExitOK = 0
	// ExitFailure means that a part failed.
	ExitFailure = 1
	// ExitUsage means bad arguments or settings; nothing was started.
	ExitUsage = 2
)

// Process is what a daemon's parts share.
type Process struct {
	Log      log.Logger
	Registry *prometheus.Registry
	Group    *run.Group
	dump     func() any
	flush    func()
	// config is the settings file.
	config string
	before []func()
}

// Before adds a function that runs when the process is asked to stop, before any part of
// the group is interrupted.
func (p *Process) Before(fn func()) { p.before = append(p.before, fn) }

// Reload reads the settings file again into cfg.
func (p *Process) Reload(cfg settings.Checker) error { return settings.Load(p.config, cfg) }

// ConfigTime returns when the settings file last changed, or the zero value.
func (p *Process) ConfigTime() time.Time {
	info, err := os.Stat(p.config)
	if err != nil {
		return time.Time{} // Reload reports the error
	}
	return info.ModTime()
}

// Option changes how a daemon is run.
type Option func(*frame)

type frame struct {
	args   []string
	config string
	output io.Writer
}

// WithArgs sets the command line after the program's name.
func WithArgs(args []string) Option { return func(f *frame) { f.args = args } }

// WithConfig sets the settings file that is read when the command line names none.
func WithConfig(path string) Option { return func(f *frame) { f.config = path } }

// WithOutput sets where logs are written, in the background and without ever waiting for
// the reader. The default is to write to standard error before going on.
func WithOutput(w io.Writer) Option { return func(f *frame) { f.output = w } }

// SetDump sets the function whose result is served as JSON on /dump. It is called
// from any goroutine.
func (p *Process) SetDump(fn func() any) { p.dump = fn }

type arguments struct {
	Config  string `short:"c" long:"config" description:"settings file (YAML)" value-name:"FILE"`
	Check   bool   `long:"check" description:"check the settings and exit"`
	Verbose bool   `short:"v" long:"verbose" description:"log at debug level"`
	Version bool   `long:"version" description:"print the version and exit"`
}

// Main runs a daemon and ends the program with one of the exit codes. cfg is
// filled from the settings file before start is called.
func Main(name string, cfg settings.Checker, start func(p *Process) error, opts ...Option) {
	f := &frame{args: os.Args[1:]}
	for _, o := range opts {
		o(f)
	}
	os.Exit(daemon(name, cfg, start, f))
}

func daemon(name string, cfg settings.Checker, start func(p *Process) error, f *frame) int {
	args := arguments{Config: f.config}
	parser := flags.NewParser(&args, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = name
	if code, done := parse(parser, &args, f.args); done {
		return code
	}
	if err := settings.Load(args.Config, cfg); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return ExitUsage
	}
	if args.Check {
		return ExitOK
	}
	p := newProcess(name, args.Verbose, f.output)
	p.config = args.Config
	defer p.flush()
	if err := start(p); err != nil {
		_ = level.Error(p.Log).Log("msg", "start failed", "err", err)
		return ExitFailure
	}
	execute, interrupt := run.SignalHandler(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	p.Group.Add(func() error {
		err := execute()
		for _, fn := range p.before {
			fn()
		}
		return err
	}, interrupt)
	_ = level.Info(p.Log).Log("msg", "started")
	err := p.Group.Run()
	if code := exitCode(err); code != ExitOK {
		_ = level.Error(p.Log).Log("msg", "failed", "err", err)
		return code
	}
	_ = level.Info(p.Log).Log("msg", "stopped")
	return ExitOK
}

// exitCode maps the error that ended the group. A signal is a normal end.
func exitCode(err error) int {
	if err == nil || errors.Is(err, run.ErrSignal) {
		return ExitOK
	}
	return ExitFailure
}

func newProcess(name string, verbose bool, output io.Writer) *Process {
	flush := func() {}
	w := log.NewSyncWriter(os.Stderr)
	if output != nil {
		x := newLines(output)
		w, flush = x, x.flush
	}
	l := log.NewLogfmtLogger(w)
	l = log.With(l, "ts", log.DefaultTimestampUTC, "process", name)
	allowed := level.AllowInfo()
	if verbose {
		allowed = level.AllowDebug()
	}
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return &Process{
		Log:      level.NewFilter(l, allowed),
		Registry: r,
		Group:    &run.Group{},
		dump:     func() any { return struct{}{} },
		flush:    flush,
	}
}

// parse reads the command line. It is done when the program should end.
func parse(parser *flags.Parser, args *arguments, words []string) (code int, done bool) {
	rest, err := parser.ParseArgs(words)
	switch {
	case flags.WroteHelp(err):
		fmt.Println(err)
		return ExitOK, true
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage, true
	case args.Version:
		fmt.Println(parser.Name, Version())
		return ExitOK, true
	case len(rest) > 0:
		fmt.Fprintf(os.Stderr, "unexpected argument %q\n", rest[0])
		return ExitUsage, true
	case args.Config == "":
		fmt.Fprintln(os.Stderr, "--config is required")
		return ExitUsage, true
	}
	return ExitOK, false
}

// Calls returns the options for clients and servers of calls.
func Calls(t settings.TLS) ([]jsonrpc.Option, error) {
	if t == (settings.TLS{}) {
		return nil, nil
	}
	f, err := jsonrpc.NewFiles(t.Cert, t.Key, t.CA)
	if err != nil {
		return nil, err
	}
	return []jsonrpc.Option{jsonrpc.WithTLS(f.Config())}, nil
}

// Version returns the module's version as the build recorded it.
func Version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}

// ServeStatus adds a server to the group that answers /metrics, /dump and
// /healthz on addr. It does nothing when addr is the zero value. The server ends
// only when all channels of until are closed, so that a process that takes long to
// leave can be watched. ServeStatus must be the last addition to the group then.
func (p *Process) ServeStatus(addr netip.AddrPort, until ...<-chan struct{}) error {
	if !addr.IsValid() {
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(p.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		if err := e.Encode(p.dump()); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	return errors.Wrap(p.Serve(addr, mux, until...), "status")
}

// headerTimeout bounds the wait for a request's header.
const headerTimeout = 5 * time.Second

// Serve adds a server to the group that answers on addr. It ends only when all channels of
// until are closed.
func (p *Process) Serve(addr netip.AddrPort, h http.Handler, until ...<-chan struct{}) error {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return errors.Wrapf(err, "listen on %s", addr)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	p.Group.Add(func() error { return srv.Serve(l) }, func(error) {
		for _, c := range until {
			<-c
		}
		srv.Close()
	})
	return nil
}
