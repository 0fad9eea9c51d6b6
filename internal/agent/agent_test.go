package agent_test

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/proto"

	"mangokeel/internal/bucket"
	"mangokeel/internal/wire"
)

// listen returns the address of a target that accepts connections.
func listen(t *testing.T) (netip.AddrPort, net.Listener) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	return l.Addr().(*net.TCPAddr).AddrPort(), l
}

// check reads numbered lines from one host and calls at before each.
func check(c *qt.C, body io.Reader, n int, at func(i int)) (host string) {
	s := bufio.NewScanner(body)
	for i := range n {
		at(i)
		c.Assert(s.Scan(), qt.IsTrue, qt.Commentf("line %d: %v", i, s.Err()))
		from, number, _ := strings.Cut(s.Text(), " ")
		c.Assert(number, qt.Equals, fmt.Sprint(i))
		c.Assert(host == "" || host == from, qt.IsTrue)
		host = from
	}
	c.Assert(s.Scan(), qt.IsFalse)
	c.Assert(s.Err(), qt.IsNil)
	return host
}

// Guards against a stream that breaks when the balancer vanishes through which
// the agent sends, although the caller sends nothing but acknowledgements.
func TestBalancerVanishes(t *testing.T) {
	c := qt.New(t)
	ctl := newControl(wire.Protocol_PROTOCOL_HTTP)
	f := newFabric(t, ctl, 2)
	target, _ := listen(t)
	newAgent(t, ctl, target, lines("a", 200, 10*time.Millisecond))
	newAgent(t, ctl, target, lines("b", 200, 10*time.Millisecond))
	resp, err := client(t).Get("https://" + f.addr())
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	var longest time.Duration
	last := time.Now()
	defer func() { t.Logf("longest time between two lines: %s", longest) }()
	check(c, resp.Body, 200, func(i int) {
		longest, last = max(longest, time.Since(last)), time.Now()
		switch i {
		case 50:
			c.Assert(f.replies[0].Load() > 0 && f.replies[1].Load() > 0, qt.IsTrue)
			f.dead[0].Store(true)
		case 150:
			ctl.change(func(u *wire.Update) { u.Balancers = u.Balancers[1:] })
		}
	})
}

// Guards against a planned stop that breaks a stream, accepts new work, or ends
// before the stream has.
func TestStopInTheMiddleOfAStream(t *testing.T) {
	c := qt.New(t)
	ctl := newControl(wire.Protocol_PROTOCOL_HTTP)
	f := newFabric(t, ctl, 2)
	target, _ := listen(t)
	leaver := newAgent(t, ctl, target, lines("leaver", 300, 15*time.Millisecond))
	http3 := client(t)
	resp, err := http3.Get("https://" + f.addr())
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	newAgent(t, ctl, target, lines("stays", 1, 0))
	done := make(chan error, 1)
	host := check(c, resp.Body, 300, func(i int) {
		switch i {
		case 50:
			leaver.Stop()
			go func() { done <- leaver.Run() }()
		case 150:
			again, err := http3.Get("https://" + f.addr())
			c.Assert(err, qt.IsNil)
			c.Assert(check(c, again.Body, 1, func(int) {}), qt.Equals, "stays")
		case 299:
			c.Assert(done, qt.HasLen, 0)
		}
	})
	c.Assert(host, qt.Equals, "leaver")
	select {
	case err := <-done:
		c.Assert(err, qt.IsNil)
	case <-time.After(15 * time.Second):
		c.Fatalf("still %d flows", leaver.Status().Flows)
	}
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	c.Assert(ctl.leaves, qt.DeepEquals, []bool{false, true})
}

// Guards against callers that wait for a timeout after their target has left, and
// against resets of flows whose target is alive.
func TestStatelessReset(t *testing.T) {
	c := qt.New(t)
	ctl := newControl(wire.Protocol_PROTOCOL_HTTP)
	f := newFabric(t, ctl, 2)
	target, _ := listen(t)
	leaver := newAgent(t, ctl, target, lines("leaver", 10_000, 10*time.Millisecond))
	resp, err := client(t).Get("https://" + f.addr())
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	other := newAgent(t, ctl, target, lines("stays", 1, 0))
	handle := uint32(leaver.Handle())

	// Balancers with a wrong view send the packets as those of a target that left.
	ctl.change(func(u *wire.Update) {
		targetOf(u, handle).State, targetOf(u, handle).Held = wire.State_STATE_LEAVING, all
	})
	b := make([]byte, 1000)
	for range 100 {
		_, err := resp.Body.Read(b)
		c.Assert(err, qt.IsNil)
	}
	f.mute.Store(handle)
	ctl.change(func(u *wire.Update) { without(u, handle) })
	begin := time.Now()
	for err == nil {
		_, err = resp.Body.Read(b)
	}
	var reset *quic.StatelessResetError
	c.Assert(errors.As(err, &reset), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(time.Since(begin) < 2*time.Second, qt.IsTrue)
	// The agent itself joins again under a new handle, which may own the bucket.
	eventually(t, "new handle", func() bool { return uint32(leaver.Handle()) > handle && leaver.Status().Service != 0 })
	c.Assert(other.Status().Actions["reset"]+leaver.Status().Actions["reset"] > 0, qt.IsTrue)
}

// Guards against callers that are not told that their availability zone is out,
// and against buckets that stay held by it.
func TestZoneOut(t *testing.T) {
	c := qt.New(t)
	ctl := newControl(wire.Protocol_PROTOCOL_HTTP)
	f := newFabric(t, ctl, 2)
	target, _ := listen(t)
	a := newAgent(t, ctl, target, lines("a", 10_000, 10*time.Millisecond))
	resp, err := client(t).Get("https://" + f.addr())
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	ctl.change(func(u *wire.Update) { u.Services[0].Zones = []string{"ebene"} })
	begin := time.Now()
	_, err = io.Copy(io.Discard, resp.Body)
	c.Assert(err, qt.ErrorMatches, ".*availability zone out of service.*")
	c.Assert(time.Since(begin) < 2*time.Second, qt.IsTrue)
	// The target had no work while its zone was out, so it comes back cold.
	handle := uint32(a.Handle())
	ctl.change(func(u *wire.Update) {
		u.Services[0].Zones = []string{"plaisance"}
		without(u, handle)
	})
	eventually(t, "cold target", func() bool { return ctl.cold.Load() == 1 })
}

// stream opens a relayed TCP connection to a target's agent.
func stream(c *qt.C, ctl *control, handle uint32, change func(*wire.Header)) net.Conn {
	ctl.mu.Lock()
	addr := targetOf(ctl.state, handle).Agent
	ctl.mu.Unlock()
	conn, err := net.Dial("tcp", addr)
	c.Assert(err, qt.IsNil)
	h := &wire.Header{Kind: wire.Kind_KIND_STREAM, Service: uint32(service), Handle: handle}
	h.SetCaller(netip.MustParseAddrPort("192.0.2.7:99"))
	change(h)
	b, err := proto.Marshal(h)
	c.Assert(err, qt.IsNil)
	b = append(binary.BigEndian.AppendUint16(nil, uint16(len(b))), b...)
	_, err = conn.Write(append(b, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"...))
	c.Assert(err, qt.IsNil)
	return conn
}

// Guards against TCP connections of another service or target, and against a
// leaving target that keeps idle connections.
func TestStream(t *testing.T) {
	c := qt.New(t)
	ctl := newControl(wire.Protocol_PROTOCOL_HTTP)
	target, _ := listen(t)
	a := newAgent(t, ctl, target, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.RemoteAddr) }))
	h := uint32(a.Handle())
	for _, change := range []func(*wire.Header){
		func(x *wire.Header) { x.Service++ }, func(x *wire.Header) { x.Handle++ }, func(x *wire.Header) { x.Kind = wire.Kind_KIND_FIND },
	} {
		conn := stream(c, ctl, h, change)
		n, err := conn.Read(make([]byte, 1))
		c.Assert(n, qt.Equals, 0)
		c.Assert(err, qt.IsNotNil)
		conn.Close()
	}
	conn := stream(c, ctl, h, func(*wire.Header) {})
	defer conn.Close()
	r := bufio.NewReader(conn)
	resp, err := http.ReadResponse(r, nil)
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(body), qt.Equals, "192.0.2.7:99")
	ctl.change(func(u *wire.Update) { targetOf(u, h).State = wire.State_STATE_LEAVING })
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = r.ReadByte()
	c.Assert(err, qt.Equals, io.EOF)
}

// Guards against datagrams that reach the wrong flow, buckets that are never
// released, and a target that refuses packets but keeps its weight.
func TestUDP(t *testing.T) {
	c := qt.New(t)
	ctl := newControl(wire.Protocol_PROTOCOL_UDP)
	f := newFabric(t, ctl, 2)
	echo, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	c.Assert(err, qt.IsNil)
	go func() {
		b := make([]byte, 100)
		for {
			n, from, err := echo.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			_, _ = echo.WriteToUDPAddrPort(append(b[:n], "!"...), from)
		}
	}()
	a := newAgent(t, ctl, echo.LocalAddr().(*net.UDPAddr).AddrPort(), nil)
	ask := func(conn net.Conn, text string) string {
		_, err := conn.Write([]byte(text))
		c.Assert(err, qt.IsNil)
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		b := make([]byte, 100)
		n, _ := conn.Read(b)
		return string(b[:n])
	}
	one, two := dial(c, f), dial(c, f)
	for i := range 20 {
		c.Assert(ask(one, fmt.Sprint("a", i)), qt.Equals, fmt.Sprintf("a%d!", i))
		c.Assert(ask(two, fmt.Sprint("b", i)), qt.Equals, fmt.Sprintf("b%d!", i))
	}
	other := newAgent(t, ctl, echo.LocalAddr().(*net.UDPAddr).AddrPort(), nil)
	ctl.change(func(u *wire.Update) {
		x := targetOf(u, uint32(a.Handle()))
		x.State, x.Held = wire.State_STATE_LEAVING, all
	})
	c.Assert(ask(one, "after"), qt.Equals, "after!")
	c.Assert(a.Status().Table, qt.Equals, 2)
	used := map[uint32]bool{}
	for _, x := range []net.Conn{one, two} {
		used[bucket.Index(x.LocalAddr().(*net.UDPAddr).AddrPort(), service, buckets)] = true
	}
	eventually(t, "release", func() bool {
		ctl.mu.Lock()
		defer ctl.mu.Unlock()
		held := 0
		for range bucket.Bitmap(targetOf(ctl.state, uint32(a.Handle())).Held).All {
			held++
		}
		return held == len(used)
	})
	three := dial(c, f)
	c.Assert(ask(three, "new"), qt.Equals, "new!")
	c.Assert(other.Status().Table, qt.Equals, 1)
	echo.Close()
	ask(three, "lost")
	eventually(t, "weight 0", func() bool {
		ctl.mu.Lock()
		defer ctl.mu.Unlock()
		w, ok := ctl.weights[uint32(other.Handle())]
		return ok && w == 0
	})
}

// echoes answers each packet with a name until the test ends.
func echoes(c *qt.C, name string) netip.AddrPort {
	sock, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { sock.Close() })
	go func() {
		b := make([]byte, 100)
		for {
			_, from, err := sock.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			_, _ = sock.WriteToUDPAddrPort([]byte(name), from)
		}
	}()
	return sock.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Guards against flows with two owners and lost packets while one balancer, or
// one balancer and the earlier owner, do not know of a target yet.
func TestViewsDiffer(t *testing.T) {
	for _, frozen := range []bool{false, true} {
		t.Run(fmt.Sprint("agent behind: ", frozen), func(t *testing.T) {
			c := qt.New(t)
			ctl := newControl(wire.Protocol_PROTOCOL_UDP)
			f := newFabric(t, ctl, 2)
			first := newAgent(t, ctl, echoes(c, "first"), nil)
			f.lag.Store(ctl.view.State())
			ctl.mu.Lock()
			ctl.frozen[uint32(first.Handle())] = frozen
			ctl.mu.Unlock()
			second := newAgent(t, ctl, echoes(c, "second"), nil)
			hosts := map[string]int{}
			b := make([]byte, 100)
			for range 40 {
				conn := dial(c, f)
				host := ""
				for range 6 {
					_, err := conn.Write([]byte("x"))
					c.Assert(err, qt.IsNil)
					_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
					n, err := conn.Read(b)
					c.Assert(err, qt.IsNil)
					c.Assert(host == "" || host == string(b[:n]), qt.IsTrue)
					host = string(b[:n])
				}
				hosts[host]++
			}
			c.Assert(hosts["first"] > 0 && hosts["second"] > 0, qt.IsTrue, qt.Commentf("%v", hosts))
			c.Assert(first.Status().Table+second.Status().Table, qt.Equals, 40)
			if frozen {
				c.Assert(first.Status().Counters.Fenced > 0, qt.IsTrue)
			}
		})
	}
}

// Guards against a balancer that lags and so does not know the handle in a
// connection ID: the flow goes on by relay, and nothing resets it.
func TestHandleUnknownToBalancer(t *testing.T) {
	c := qt.New(t)
	ctl := newControl(wire.Protocol_PROTOCOL_HTTP)
	f := newFabric(t, ctl, 2)
	target, _ := listen(t)
	first := newAgent(t, ctl, target, lines("a", 30, time.Millisecond))
	f.lag.Store(ctl.view.State())
	newAgent(t, ctl, target, lines("b", 30, time.Millisecond))
	ctl.change(func(u *wire.Update) { targetOf(u, 1).State = wire.State_STATE_LEAVING })
	eventually(t, "the owner's view", first.Leaving)
	resp, err := client(t).Get("https://" + f.addr())
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	c.Assert(check(c, resp.Body, 30, func(int) {}), qt.Equals, "b")
	s := first.Status()
	c.Assert(s.Actions["forward"] > 0, qt.IsTrue)
	c.Assert(s.Actions["reset"], qt.Equals, uint64(0))
}

// Guards against garbage on the data socket that stops an agent.
func TestGarbage(t *testing.T) {
	c := qt.New(t)
	ctl := newControl(wire.Protocol_PROTOCOL_UDP)
	f := newFabric(t, ctl, 2)
	a := newAgent(t, ctl, echoes(c, "host"), nil)
	ctl.mu.Lock()
	conn, err := net.Dial("udp", targetOf(ctl.state, uint32(a.Handle())).Agent)
	ctl.mu.Unlock()
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range 2000 {
		h := &wire.Header{
			Kind: wire.Kind(rng.IntN(9)), Service: rng.Uint32N(5), Handle: rng.Uint32N(3), Epoch: rng.Uint64N(9),
			Bucket: rng.Uint32N(1 << 18), Hops: rng.Uint32N(20), Next: rng.Uint32N(4), CallerLow: rng.Uint64(), CallerPort: rng.Uint32(),
		}
		for range rng.IntN(3) {
			h.Chain = append(h.Chain, &wire.Hop{Handle: rng.Uint32N(3), Ip: make([]byte, rng.IntN(6)), Port: rng.Uint32()})
		}
		b, err := wire.AppendPacket(nil, h, []byte("x"))
		c.Assert(err, qt.IsNil)
		if i%4 == 0 {
			b = b[:rng.IntN(len(b))]
		}
		_, err = conn.Write(b)
		c.Assert(err, qt.IsNil)
	}
	x := dial(c, f)
	_, err = x.Write([]byte("x"))
	c.Assert(err, qt.IsNil)
	_ = x.SetReadDeadline(time.Now().Add(2 * time.Second))
	n, err := x.Read(make([]byte, 10))
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, len("host"))
	drops := a.Status().Drops
	for _, r := range []string{"service", "handle", "kind", "bucket"} {
		c.Assert(drops[r] > 0, qt.IsTrue, qt.Commentf("%s: %v", r, drops))
	}
}

func dial(c *qt.C, f *fabric) net.Conn {
	conn, err := net.Dial("udp", f.addr())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	return conn
}

// Guards against a target that gets flows although nothing listens on it.
func TestTargetDown(t *testing.T) {
	ctl := newControl(wire.Protocol_PROTOCOL_HTTP)
	target, l := listen(t)
	a := newAgent(t, ctl, target, http.NotFoundHandler())
	l.Close()
	eventually(t, "weight 0", func() bool {
		ctl.mu.Lock()
		defer ctl.mu.Unlock()
		w, ok := ctl.weights[uint32(a.Handle())]
		return ok && w == 0
	})
}
