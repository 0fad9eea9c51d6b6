package main

import (
	"bytes"
	"context"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"mangokeel"
	"mangokeel/internal/jsonrpc"
	"mangokeel/internal/roster"
	"mangokeel/internal/wire"
)

// instance answers as a control instance does, from a machine without a log.
type instance struct {
	machine  *roster.Machine
	revision uint64
	// ids are those of the changes it got.
	ids []string
	// stale makes it refuse calls.
	stale bool
	// lose makes it fail after it has executed a change.
	lose bool
}

func serve[P proto.Message](req P, fn func(P) (proto.Message, error)) jsonrpc.Method {
	return jsonrpc.Method{
		New:    func() proto.Message { return req.ProtoReflect().New().Interface() },
		Handle: func(_ context.Context, m proto.Message) (proto.Message, error) { return fn(m.(P)) },
	}
}

func (x *instance) start(c *qt.C) netip.AddrPort {
	srv, err := jsonrpc.Listen(netip.MustParseAddrPort("127.0.0.1:0"), jsonrpc.Methods{
		"get": serve(&wire.GetRequest{}, x.get),
		"set": serve(&wire.SetRequest{}, x.set),
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(srv.Close)
	return srv.Addr()
}

func (x *instance) get(req *wire.GetRequest) (proto.Message, error) {
	switch {
	case x.stale:
		return &wire.GetReply{Code: wire.Code_CODE_STALE, Reason: "stale"}, nil
	case req.GetKey() != "secret":
		return &wire.GetReply{Code: wire.Code_CODE_DENIED, Reason: "denied"}, nil
	}
	items, r := x.machine.Get(req.GetPath())
	return &wire.GetReply{Code: wire.Code_CODE_ACCEPTED, Items: items, Revision: r}, nil
}

func (x *instance) set(req *wire.SetRequest) (proto.Message, error) {
	if x.stale {
		return &wire.SetReply{Outcome: &wire.Outcome{Code: wire.Code_CODE_STALE}}, nil
	}
	x.ids = append(x.ids, req.GetChange().GetId())
	x.revision++
	b, err := proto.Marshal(&wire.Command{Body: &wire.Command_Change{Change: req.GetChange()}, Seed: []byte("s")})
	if err != nil {
		return nil, err
	}
	var result wire.Result
	if err := proto.Unmarshal(x.machine.Apply(mangokeel.Revision(x.revision), b), &result); err != nil {
		return nil, err
	}
	if x.lose {
		x.lose = false
		return nil, context.DeadlineExceeded
	}
	return &wire.SetReply{Outcome: result.GetOutcome()}, nil
}

const document = "address: 127.0.0.1:8443\nprotocol: http\nzones: [ebene]\n"

// Guards against exit codes and outputs that scripts cannot rely on, a lost answer
// that makes a second change, and an instance without a majority that ends the
// command although another one could answer.
func TestCommands(t *testing.T) {
	c := qt.New(t)
	x := &instance{machine: roster.New()}
	cut := &instance{machine: roster.New(), stale: true}
	dir := t.TempDir()
	key, doc := filepath.Join(dir, "key"), filepath.Join(dir, "doc.yaml")
	c.Assert(os.WriteFile(key, []byte("secret\n"), 0o600), qt.IsNil)
	c.Assert(os.WriteFile(doc, []byte(document), 0o600), qt.IsNil)
	control := cut.start(c).String() + "," + x.start(c).String()
	command := func(args ...string) (code int, out string) {
		var stdout, stderr bytes.Buffer
		args = append([]string{"--control", control, "--key", key, "--timeout", "2s"}, args...)
		code = run(context.Background(), args, &stdout, &stderr)
		return code, stdout.String() + stderr.String()
	}
	x.lose = true
	code, out := command("set", "/sieste/services/dispatch", "--file", doc)
	c.Assert(code, qt.Equals, 0, qt.Commentf(out))
	c.Assert(out, qt.Equals, "accepted at revision 1\n")
	c.Assert(x.ids, qt.HasLen, 2)
	c.Assert(x.ids[0], qt.Equals, x.ids[1])

	code, out = command("get", "/sieste", "--map")
	c.Assert(code, qt.Equals, 0)
	c.Assert(out, qt.Contains, "/sieste/services/dispatch:\n    address: 127.0.0.1:8443\n")
	code, out = command("get", "/sieste", "--json")
	c.Assert(code, qt.Equals, 0)
	c.Assert(strings.ReplaceAll(out, " ", ""), qt.Contains, `"revision":"1"`)

	code, out = command("set", "--base", "0", "/sieste/zones/ebene=state: out")
	c.Assert(code, qt.Equals, exitConflict)
	c.Assert(out, qt.Contains, "the subtree is at revision 1")
	code, out = command("set", "/sieste/zones/ebene=state: gone")
	c.Assert(code, qt.Equals, exitInvalid)
	c.Assert(out, qt.Contains, `/sieste/zones/ebene: line 1: state: "gone" is not in or out`)
	code, _ = command("set", "/sieste/zones/ebene")
	c.Assert(code, qt.Equals, 2)
	code, _ = command("zone", "out", "/sieste/zones/ebene")
	c.Assert(code, qt.Equals, 0)

	c.Assert(os.WriteFile(key, []byte("other"), 0o600), qt.IsNil)
	code, _ = command("get", "/sieste")
	c.Assert(code, qt.Equals, exitDenied)
	x.stale = true
	code, _ = command("get", "/sieste")
	c.Assert(code, qt.Equals, exitStale)
	control = "127.0.0.1:1"
	code, _ = command("get", "/sieste")
	c.Assert(code, qt.Equals, 1)
}

// Guards against a command that waits for a frozen instance while another one answers
// (12 s were measured with the leader frozen).
func TestFrozenInstance(t *testing.T) {
	c := qt.New(t)
	x := &instance{machine: roster.New()}
	release := make(chan struct{})
	defer close(release)
	frozen, err := jsonrpc.Listen(netip.MustParseAddrPort("127.0.0.1:0"), jsonrpc.Methods{
		"set": serve(&wire.SetRequest{}, func(*wire.SetRequest) (proto.Message, error) {
			<-release
			return &wire.SetReply{}, nil
		}),
	})
	c.Assert(err, qt.IsNil)
	defer func() { go frozen.Close() }()
	dir := t.TempDir()
	key, doc := filepath.Join(dir, "key"), filepath.Join(dir, "doc.yaml")
	c.Assert(os.WriteFile(key, []byte("secret\n"), 0o600), qt.IsNil)
	c.Assert(os.WriteFile(doc, []byte(document), 0o600), qt.IsNil)
	var out bytes.Buffer
	began := time.Now()
	code := run(context.Background(), []string{
		"--control", frozen.Addr().String() + "," + x.start(c).String(), "--key", key,
		"set", "/sieste/services/dispatch", "--base", "0", "--file", doc,
	}, &out, &out)
	c.Assert(code, qt.Equals, 0, qt.Commentf("%s", out.String()))
	c.Assert(time.Since(began) < 2*tryTimeout, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
}
