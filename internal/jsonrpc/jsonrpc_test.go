package jsonrpc_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"mangokeel"
	"mangokeel/internal/jsonrpc"
	"mangokeel/internal/wire"
)

var local = netip.MustParseAddrPort("127.0.0.1:0")

func methods(delay time.Duration) jsonrpc.Methods {
	return jsonrpc.Methods{"join": {
		New: func() proto.Message { return &wire.JoinRequest{} },
		Handle: func(_ context.Context, req proto.Message) (proto.Message, error) {
			time.Sleep(delay)
			if req.(*wire.JoinRequest).GetZone() == "" {
				return nil, errors.New("no zone")
			}
			return &wire.JoinReply{Id: 7}, nil
		},
	}}
}

func TestCall(t *testing.T) {
	c := qt.New(t)
	srv, err := jsonrpc.Listen(local, methods(0))
	c.Assert(err, qt.IsNil)
	defer srv.Close()
	cl := jsonrpc.NewClient()
	defer cl.Close()
	var resp wire.JoinReply
	c.Assert(cl.Call(context.Background(), srv.Addr(), "join", &wire.JoinRequest{Zone: "ebene"}, &resp), qt.IsNil)
	c.Assert(resp.GetId(), qt.Equals, uint32(7))
	err = cl.Call(context.Background(), srv.Addr(), "join", &wire.JoinRequest{}, &resp)
	c.Assert(err, qt.ErrorMatches, "no zone")
	err = cl.Call(context.Background(), srv.Addr(), "nothing", &wire.JoinRequest{}, &resp)
	c.Assert(err, qt.ErrorMatches, "unknown method nothing")
}

// Guards against processes of different builds that refuse each other's messages because one of them has
// a field more. The other messages stand for those of the later build.
func TestUnknownFields(t *testing.T) {
	c := qt.New(t)
	srv, err := jsonrpc.Listen(local, methods(0))
	c.Assert(err, qt.IsNil)
	defer srv.Close()
	cl := jsonrpc.NewClient()
	defer cl.Close()
	var resp wire.LeaveReply
	c.Assert(cl.Call(context.Background(), srv.Addr(), "join", &wire.Balancer{Id: 3, Zone: "ebene"}, &resp), qt.IsNil)
}

// Guards against a call whose outcome is unknown being reported as not sent, and
// the other way round.
func TestErrNotSent(t *testing.T) {
	c := qt.New(t)
	srv, err := jsonrpc.Listen(local, methods(200*time.Millisecond))
	c.Assert(err, qt.IsNil)
	cl := jsonrpc.NewClient()
	defer cl.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	err = cl.Call(ctx, srv.Addr(), "join", &wire.JoinRequest{Zone: "ebene"}, &wire.JoinReply{})
	c.Assert(err, qt.Not(qt.IsNil))
	c.Assert(errors.Is(err, mangokeel.ErrNotSent), qt.IsFalse)
	addr := srv.Addr()
	srv.Close()
	cl.Drop(addr)
	err = cl.Call(context.Background(), addr, "join", &wire.JoinRequest{Zone: "ebene"}, &wire.JoinReply{})
	c.Assert(errors.Is(err, mangokeel.ErrNotSent), qt.IsTrue)
}
