package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"mangokeel"
	"mangokeel/internal/jsonrpc"
	"mangokeel/internal/process"
	"mangokeel/internal/wire"
	"mangokeel/pkg/settings"
)

const (
	// tryTimeout bounds one try at one instance: a proposal's try at a leader that may be
	// frozen takes 1 s. Every call may be repeated, so that an answer that comes later is
	// not missed.
	tryTimeout = 1500 * time.Millisecond
	// watchTimeout bounds one poll of a watch.
	watchTimeout = watchWait + tryTimeout
	// roundPause separates rounds through all instances.
	roundPause = 200 * time.Millisecond
)

// options are common to all commands.
type options struct {
	Control string        `short:"c" long:"control" env:"MANGOKEEL_CONTROL" value-name:"IP:PORT,..." description:"control instances"`
	Key     string        `short:"k" long:"key" env:"MANGOKEEL_KEY" value-name:"FILE" description:"file with a team's key or the operators' key"`
	Cert    string        `long:"cert" env:"MANGOKEEL_CERT" value-name:"FILE" description:"certificate for TLS, with --cert-key and --ca"`
	CertKey string        `long:"cert-key" env:"MANGOKEEL_CERT_KEY" value-name:"FILE" description:"key of the certificate"`
	CA      string        `long:"ca" env:"MANGOKEEL_CA" value-name:"FILE" description:"certificate authority of the system"`
	JSON    bool          `long:"json" description:"print JSON"`
	Timeout time.Duration `long:"timeout" default:"20s" value-name:"DURATION" description:"limit for the whole command"`
}

// client runs one command.
type client struct {
	options
	ctx context.Context
	out io.Writer
	// warnings takes what a command says besides its output.
	warnings io.Writer
}

// key returns the key from the options.
func (c *client) key() (string, error) {
	if c.Key == "" {
		return "", errors.New("no key is known; use --key or MANGOKEEL_KEY")
	}
	b, err := os.ReadFile(c.Key)
	return strings.TrimSpace(string(b)), errors.Wrap(err, "read key")
}

// remote returns a client for calls, with TLS when the files for it are known.
func (c *client) remote() (*jsonrpc.Client, error) {
	opts, err := process.Calls(settings.TLS{Cert: c.Cert, Key: c.CertKey, CA: c.CA})
	return jsonrpc.NewClient(opts...), err
}

func (c *client) instances() ([]netip.AddrPort, error) {
	if c.Control == "" {
		return nil, errors.New("no control instance is known; use --control or MANGOKEEL_CONTROL")
	}
	var out []netip.AddrPort
	for s := range strings.SplitSeq(c.Control, ",") {
		a, err := netip.ParseAddrPort(strings.TrimSpace(s))
		if err != nil {
			return nil, errors.Wrap(err, "--control")
		}
		out = append(out, a)
	}
	return out, nil
}

// coded is an answer with a code.
type coded interface {
	proto.Message
	GetCode() wire.Code
	GetReason() string
}

// call asks the instances in turn until one answers from current state. Every
// call is safe to resend: changes carry an id.
func (c *client) call(method string, req, resp proto.Message, code func() coded) error {
	instances, err := c.instances()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.Timeout)
	defer cancel()
	remote, err := c.remote()
	if err != nil {
		return err
	}
	defer remote.Close()
	for {
		var worst error
		for _, a := range instances {
			proto.Reset(resp)
			err := c.try(ctx, remote, a, method, req, resp, code)
			if !again(err) {
				return err
			}
			worst = worse(worst, err)
		}
		select {
		case <-ctx.Done():
			return worst
		case <-time.After(roundPause):
		}
	}
}

func (c *client) try(ctx context.Context, remote mangokeel.Remote, a netip.AddrPort, method string, req, resp proto.Message, code func() coded) error {
	limit := tryTimeout
	if method == "watch" {
		limit = watchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := remote.Call(ctx, a, method, req, resp); err != nil {
		return err
	}
	x := code()
	if x.GetCode() == wire.Code_CODE_ACCEPTED {
		return nil
	}
	return &outcomeError{x.GetCode(), describe(x)}
}

// worse returns the error that says more about what may have happened: an unknown
// outcome before a stale answer before a call that was not sent.
func worse(a, b error) error {
	rank := func(err error) int {
		var outcome *outcomeError
		switch {
		case err == nil:
			return 0
		case errors.Is(err, mangokeel.ErrNotSent):
			return 1
		case errors.As(err, &outcome):
			return 2
		}
		return 3
	}
	if rank(b) > rank(a) {
		return b
	}
	return a
}

// again reports whether another instance may give a better answer.
func again(err error) bool {
	if err == nil {
		return false
	}
	var outcome *outcomeError
	return !errors.As(err, &outcome) || outcome.code == wire.Code_CODE_STALE
}

func describe(x coded) string {
	name := strings.ToLower(strings.TrimPrefix(x.GetCode().String(), "CODE_"))
	var parts []string
	if o, ok := x.(*wire.Outcome); ok {
		if o.GetPath() != "" {
			parts = append(parts, o.GetPath())
		}
		if o.GetCode() == wire.Code_CODE_CONFLICT {
			parts = append(parts, fmt.Sprintf("the subtree is at revision %d", o.GetRevision()))
		}
	}
	if x.GetReason() != "" {
		parts = append(parts, x.GetReason())
	}
	return name + ": " + strings.Join(parts, ": ")
}

// print writes m as JSON with --json and calls people otherwise.
func (c *client) print(m proto.Message, people func(w io.Writer)) error {
	if !c.JSON {
		people(c.out)
		return nil
	}
	b, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode output")
	}
	_, err = fmt.Fprintln(c.out, string(b))
	return err
}

// changeID returns a random id for a change.
func changeID() string { return rand.Text() }
