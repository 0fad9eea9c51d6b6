package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Flags of a packet, and the layout of its head, as the pages have them.
const (
	flagFin     = 1
	flagSyn     = 4
	flagAck     = 16
	flagBounced = 32
	flagRst     = 128
	headSize    = 32
)

// packet is a packet of the platform.
type packet struct {
	src, dst netip.AddrPort
	seq, ack uint32
	flags    byte
	data     []byte
}

// sum stands for the keyed sum of a packet, which only clients and hosts can compute.
const sum = 0xa1b2c3d5

func putEnd(b []byte, ip, port int, a netip.AddrPort) {
	v4 := a.Addr().As4()
	binary.LittleEndian.PutUint32(b[ip:], binary.BigEndian.Uint32(v4[:]))
	binary.LittleEndian.PutUint16(b[port:], a.Port())
}

func end(b []byte, ip, port int) netip.AddrPort {
	var a [4]byte
	binary.BigEndian.PutUint32(a[:], binary.LittleEndian.Uint32(b[ip:]))
	return netip.AddrPortFrom(netip.AddrFrom4(a), binary.LittleEndian.Uint16(b[port:]))
}

// encode writes a packet of a client or a host.
func (p packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	binary.LittleEndian.PutUint32(b[4:], sum)
	putEnd(b, 10, 8, p.src)
	putEnd(b, 14, 18, p.dst)
	binary.LittleEndian.PutUint32(b[20:], p.seq)
	binary.LittleEndian.PutUint32(b[24:], p.ack)
	b[28] = p.flags
	binary.LittleEndian.PutUint16(b[30:], uint16(len(p.data)))
	return append(b, p.data...)
}

// decode reads a packet. own reports whether a client or a host wrote it, and not the system.
func decode(b []byte) (p packet, own bool) {
	if len(b) < headSize {
		return p, false
	}
	return packet{
		src: end(b, 10, 8), dst: end(b, 14, 18), seq: binary.LittleEndian.Uint32(b[20:]), ack: binary.LittleEndian.Uint32(b[24:]),
		flags: b[28], data: append([]byte(nil), b[headSize:]...),
	}, binary.LittleEndian.Uint32(b[4:]) == sum
}

func (p packet) String() string {
	var f []string
	for _, x := range []struct {
		bit  byte
		name string
	}{{flagSyn, "SYN"}, {flagAck, "ACK"}, {flagFin, "FIN"}, {flagRst, "RST"}, {flagBounced, "BOUNCED"}} {
		if p.flags&x.bit != 0 {
			f = append(f, x.name)
		}
	}
	return fmt.Sprintf("%v -> %v %s seq %d ack %d, %d bytes", p.src, p.dst, strings.Join(f, "+"), p.seq, p.ack, len(p.data))
}

// held is a flow at a host.
type held struct {
	own, peer uint32
	// accepted is set once the host has answered the SYN, open once it has the end of the handshake.
	accepted, open bool
}

// host is the stand-in for a host beside an agent.
type host struct {
	w       *world
	m       *machine
	id      string
	born    int64
	serial  atomic.Int64
	stopped chan struct{}
	udp     *net.UDPConn
	health  *http.Server
	out     *net.UDPAddr

	mu    sync.Mutex
	flows map[netip.AddrPort]*held
	// taken counts the requests that the host works on or queues. slots bounds those that it works on at a time.
	taken int
	slots chan struct{}
	// returned counts the packets that the host returned.
	returned int
	// ran are the requests that the host ran.
	ran []string
}

// capacity is what a host can do: how many requests it works on at a time, how many more it queues, and how long one takes.
type capacity struct {
	slots, queue int
	work         time.Duration
}

// small is a host of dispatch at sieste-hq.
var small = capacity{slots: 2, queue: 8, work: 20 * time.Millisecond}

// heartbeat is the period of the heartbeats: HeartbeatMs.
const heartbeat = 770 * time.Millisecond

// startHost starts a host at the address of a machine, with its heartbeats.
func (w *world) startHost(m *machine) (*host, error) {
	h, err := w.newHost(m)
	if err == nil {
		h.report()
	}
	return h, err
}

// newHost starts a host at the address of a machine, without heartbeats.
func (w *world) newHost(m *machine) (*host, error) {
	h := &host{
		w: w, m: m, id: fmt.Sprintf("i-%08x", rand.Uint32()), born: time.Now().UnixMilli(), stopped: make(chan struct{}),
		flows: map[netip.AddrPort]*held{}, slots: make(chan struct{}, w.hosts.slots),
	}
	addr, err := net.ResolveUDPAddr("udp4", w.at(m, portApp))
	if err != nil {
		return nil, err
	}
	if h.out, err = net.ResolveUDPAddr("udp4", w.at(m, portOutbound)); err != nil {
		return nil, err
	}
	if h.udp, err = net.ListenUDP("udp4", addr); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", w.at(m, portApp))
	if err != nil {
		return nil, err
	}
	h.health = &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = h.health.Serve(l) }()
	go h.serve()
	w.say("host %s starts beside %s", h.id, m.name)
	return h, nil
}

// report starts the heartbeats.
func (h *host) report() {
	go func() {
		for {
			h.beat()
			select {
			case <-h.stopped:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
}

// body returns the next heartbeat of the host.
func (h *host) body() string {
	return fmt.Sprintf(`{"Service":"dispatch","Address":%q,"Zone":%q,"Version":"v1","Concurrency":%d,"State":"ready","WarmupLeftMs":0,"Seq":%d,"born":%d}`,
		h.w.at(h.m, portApp), h.m.zone, h.w.hosts.slots, h.serial.Add(1), h.born)
}

// beat sends heartbeats until one is acknowledged.
func (h *host) beat() {
	for {
		select {
		case <-h.stopped:
			return
		default:
		}
		if status, _ := h.w.call("PUT", "http://"+h.w.at(h.m, portControl)+"/instances/"+h.id, h.body()); status/100 == 2 {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// crash ends the host without a word.
func (h *host) crash() {
	close(h.stopped)
	h.udp.Close()
	h.health.Close()
	h.w.say("host %s beside %s crashes", h.id, h.m.name)
}

func (h *host) send(p packet) { _, _ = h.udp.WriteToUDP(p.encode(), h.out) }

// serve answers packets: a SYN with a SYN+ACK, the request of an open flow with an answer once it has run, and returns
// all others.
func (h *host) serve() {
	b := make([]byte, 4096)
	for {
		n, _, err := h.udp.ReadFromUDP(b)
		if err != nil {
			return
		}
		p, own := decode(b[:n])
		if !own {
			continue
		}
		h.handle(p, b[:n])
	}
}

func (h *host) handle(p packet, raw []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p.flags == flagSyn {
		f := h.flows[p.src]
		if f == nil {
			f = &held{own: rand.Uint32()}
			h.flows[p.src] = f
		}
		f.peer = p.seq + 1
		h.accept(f, packet{src: p.dst, dst: p.src, seq: f.own, ack: p.seq + 1, flags: flagSyn | flagAck})
		return
	}
	f := h.flows[p.src]
	if f == nil || !f.open && p.ack != f.own+1 {
		h.returned++
		raw[28] |= flagBounced
		raw[29] = 0
		_, _ = h.udp.WriteToUDP(raw, h.out)
		return
	}
	if !f.open {
		f.open = true
		f.own++
	}
	if len(p.data) == 0 {
		return
	}
	if p.seq != f.peer {
		return
	}
	f.peer += uint32(len(p.data))
	id, size := requestID(string(p.data)), h.w.hosts
	if h.taken >= size.slots+size.queue {
		h.answer(f, p, "503 Service Unavailable\r\nNot-Executed: 1")
		return
	}
	h.taken++
	go func() {
		h.slots <- struct{}{}
		h.mu.Lock()
		h.ran = append(h.ran, id)
		h.mu.Unlock()
		h.w.say("host %s runs %s", h.id, id)
		time.Sleep(size.work)
		<-h.slots
		h.mu.Lock()
		defer h.mu.Unlock()
		h.taken--
		h.answer(f, p, "200 OK\r\nServer-Stamp: "+h.id)
	}()
}

// answer sends the answer to the request of a packet.
func (h *host) answer(f *held, p packet, status string) {
	text := "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\nok"
	h.send(packet{src: p.dst, dst: p.src, seq: f.own, ack: f.peer, flags: flagAck, data: []byte(text)})
	f.own += uint32(len(text))
}

// accept answers a SYN. Until the flow is open, the host sends the answer again after 200 ms and at intervals that
// double up to 1.6 s; after 8 times it gives up.
func (h *host) accept(f *held, p packet) {
	h.send(p)
	if f.accepted {
		return
	}
	f.accepted = true
	h.w.say("host %s accepts the flow of port %d with seq %d", h.id, p.dst.Port(), p.seq)
	go func() {
		pause := 200 * time.Millisecond
		for range 8 {
			select {
			case <-h.stopped:
				return
			case <-time.After(pause):
			}
			pause = min(2*pause, 1600*time.Millisecond)
			h.mu.Lock()
			open := f.open
			if !open {
				h.send(p)
			}
			h.mu.Unlock()
			if open {
				return
			}
		}
	}()
}

func requestID(s string) string {
	_, rest, _ := strings.Cut(s, "Request-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

// flow is a flow of the client.
type flow struct {
	src, dst  netip.AddrPort
	seq, ack  uint32
	open      bool
	stamp     string
	answered  int
	resets    []string
	requested int
}

// caller is the stand-in for the clients at one address.
type caller struct {
	w   *world
	ip  netip.Addr
	udp *net.UDPConn

	mu    sync.Mutex
	flows map[uint16]*flow
	// lose has the ports of the flows whose next SYN+ACK is lost on its way to the client. received and lost count the
	// packets on their way to it, and those of them that are lost.
	lose           map[uint16]bool
	received, lost int
}

// startCaller starts a client at an address.
func (w *world) startCaller(ip string) (*caller, error) {
	udp, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: w.base + portData})
	if err != nil {
		return nil, err
	}
	c := &caller{w: w, ip: netip.MustParseAddr(ip), udp: udp, flows: map[uint16]*flow{}, lose: map[uint16]bool{}}
	go func() {
		b := make([]byte, 4096)
		for {
			n, _, err := udp.ReadFromUDP(b)
			if err != nil {
				return
			}
			c.handle(decode(b[:n]))
		}
	}()
	return c, nil
}

func (c *caller) handle(p packet, own bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	port := p.dst.Port()
	f := c.flows[port]
	c.received++
	switch {
	case f == nil:
	case p.flags == flagSyn|flagAck && c.lose[port]:
		delete(c.lose, port)
		c.lost++
		c.w.say("-- lost on its way: %v", p)
	case p.flags&flagRst != 0:
		if near := int32(p.seq - f.ack); !f.open || near > -76800 && near < 76800 {
			f.resets = append(f.resets, fmt.Sprintf("%v (of the system's own: %v)", p, !own))
			c.w.say("client port %d: reset %v, of the system's own: %v", port, p, !own)
		}
	case p.flags == flagSyn|flagAck && !f.open:
		f.open, f.ack = true, p.seq+1
		f.seq++
	case len(p.data) > 0 && p.seq == f.ack:
		f.ack += uint32(len(p.data))
		f.answered++
		_, rest, _ := strings.Cut(string(p.data), "Server-Stamp: ")
		f.stamp, _, _ = strings.Cut(rest, "\r\n")
	}
}

func (c *caller) send(to *machine, p packet) {
	a, err := net.ResolveUDPAddr("udp4", c.w.at(to, portData))
	if err == nil {
		_, _ = c.udp.WriteToUDP(p.encode(), a)
	}
}

// open opens a flow through a balancer, with copies of the SYN after 200 and 600 ms. It reports whether the flow opened.
func (c *caller) open(through *machine, port uint16, dst netip.AddrPort) bool {
	f := &flow{src: netip.AddrPortFrom(c.ip, port), dst: dst, seq: rand.Uint32()}
	c.mu.Lock()
	c.flows[port] = f
	c.mu.Unlock()
	begin := time.Now()
	copies := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
	for i := 0; ; {
		c.mu.Lock()
		open, reset := f.open, len(f.resets) > 0
		c.mu.Unlock()
		if open {
			return true
		}
		if since := time.Since(begin); since >= copies[i] {
			if i == 3 || reset {
				return false
			}
			c.send(through, packet{src: f.src, dst: f.dst, seq: f.seq, ack: uint32(i), flags: flagSyn})
			i++
		}
		time.Sleep(min(time.Millisecond, copies[i]-time.Since(begin)))
	}
}

// ask sends a request on an open flow and waits for its answer, with retransmissions, until limit.
func (c *caller) ask(through *machine, port uint16, id string, limit time.Duration) bool {
	c.mu.Lock()
	f := c.flows[port]
	before := f.answered
	f.requested++
	data := []byte("POST / HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
	seq := f.seq
	f.seq += uint32(len(data))
	c.mu.Unlock()
	begin, next, pause := time.Now(), time.Duration(0), 200*time.Millisecond
	for time.Since(begin) < limit {
		c.mu.Lock()
		answered, reset, ackNow := f.answered > before, len(f.resets) > 0, f.ack
		c.mu.Unlock()
		if answered {
			return true
		}
		if reset {
			return false
		}
		if time.Since(begin) >= next {
			c.send(through, packet{src: f.src, dst: f.dst, seq: seq, ack: ackNow, flags: flagAck, data: data})
			next += pause
			pause = min(2*pause, 1600*time.Millisecond)
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

// flow returns the flow of a port.
func (c *caller) flow(port uint16) *flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.flows[port]
}
