package main

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	headLen = 32
	fin     = 1
	syn     = 4
	ack     = 16
	bounced = 32
	rst     = 128
)

// packet is a packet of a flow.
type packet struct {
	src, dst netip.AddrPort
	flags    byte
	seq, ack uint32
	data     []byte
}

func putEnd(b []byte, ip, port int, a netip.AddrPort) {
	v4 := a.Addr().As4()
	binary.LittleEndian.PutUint32(b[ip:], binary.BigEndian.Uint32(v4[:]))
	binary.LittleEndian.PutUint16(b[port:], a.Port())
}

func end(b []byte, ip, port int) netip.AddrPort {
	var v4 [4]byte
	binary.BigEndian.PutUint32(v4[:], binary.LittleEndian.Uint32(b[ip:]))
	return netip.AddrPortFrom(netip.AddrFrom4(v4), binary.LittleEndian.Uint16(b[port:]))
}

// sum is the stand-ins' sum over all fields except echo, pad and BOUNCED.
func sum(b []byte) uint32 {
	c := append([]byte("review"), b...)
	h := c[len("review"):]
	copy(h[0:8], make([]byte, 8))
	h[28] &^= bounced
	h[29] = 0
	return crc32.ChecksumIEEE(c) | 1
}

func (p packet) encode() []byte {
	b := make([]byte, headLen, headLen+len(p.data))
	putEnd(b, 10, 8, p.src)
	putEnd(b, 14, 18, p.dst)
	binary.LittleEndian.PutUint32(b[20:], p.seq)
	binary.LittleEndian.PutUint32(b[24:], p.ack)
	b[28] = p.flags
	binary.LittleEndian.PutUint16(b[30:], uint16(len(p.data)))
	b = append(b, p.data...)
	binary.LittleEndian.PutUint32(b[4:], sum(b))
	return b
}

func decode(b []byte) (p packet, own, ok bool) {
	if len(b) < headLen || int(binary.LittleEndian.Uint16(b[30:])) != len(b)-headLen {
		return p, false, false
	}
	p = packet{
		src: end(b, 10, 8), dst: end(b, 14, 18), flags: b[28], seq: binary.LittleEndian.Uint32(b[20:]),
		ack: binary.LittleEndian.Uint32(b[24:]), data: append([]byte(nil), b[headLen:]...),
	}
	return p, binary.LittleEndian.Uint32(b[4:]) == sum(b), true
}

type flowKey struct{ caller, address netip.AddrPort }

// execution is one request that a host has run.
type execution struct {
	host, id, path string
	address        netip.AddrPort
	at             time.Time
}

// host is an application host beside an agent.
type host struct {
	f          *fleet
	m          *machine
	id         string
	service    string
	born       time.Time
	conn       *net.UDPConn
	outbound   *net.UDPAddr
	mu         sync.Mutex
	flows      map[flowKey]*hostFlow
	runs       []execution
	seq        int
	state      string
	stop       chan struct{}
	lastAck    time.Time
	forged     int
	sentResets map[flowKey]bool
}

type hostFlow struct {
	own, opened uint32 // numbers of the two SYNs
	next        uint32 // next byte of the caller
	sent        uint32
	open        bool
	answers     map[uint32][]byte
}

func newHost(m *machine, id, service string) *host {
	h := &host{
		f: m.f, m: m, id: id, service: service, born: time.Now(), flows: map[flowKey]*hostFlow{}, state: "ready", stop: make(chan struct{}),
		outbound: &net.UDPAddr{IP: net.ParseIP(m.ip), Port: m.f.ports.outbound}, sentResets: map[flowKey]bool{},
	}
	var err error
	if h.conn, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(m.ip), Port: m.f.ports.app}); err != nil {
		fail("%v", err)
	}
	go h.read()
	go h.beat()
	return h
}

// beat reports about every 770 ms, and at once after a failure.
func (h *host) beat() {
	for {
		h.mu.Lock()
		h.seq++
		body := fmt.Sprintf(`{"Service":%q,"Address":"%s:%d","Zone":%q,"Version":"v1","Concurrency":2,"State":%q,"WarmupLeftMs":0,"Seq":%d,"born":%d}`,
			h.service, h.m.ip, h.f.ports.app, h.m.zone, h.state, h.seq, h.born.UnixMilli())
		h.mu.Unlock()
		a := call("PUT", h.m.controlURL("/instances/"+h.id), []byte(body), time.Second)
		pause := 770 * time.Millisecond
		if a.err != nil || a.status/100 != 2 {
			pause = 100 * time.Millisecond
		} else {
			h.mu.Lock()
			h.lastAck = time.Now()
			h.mu.Unlock()
		}
		select {
		case <-h.stop:
			return
		case <-time.After(pause):
		}
	}
}

func (h *host) send(p packet) { _, _ = h.conn.WriteToUDP(p.encode(), h.outbound) }

func (h *host) read() {
	b := make([]byte, 4096)
	for {
		n, _, err := h.conn.ReadFromUDP(b)
		if err != nil {
			return
		}
		p, own, ok := decode(b[:n])
		if !ok || !own && p.flags&rst == 0 {
			h.forged++
			continue
		}
		h.handle(p, b[:n])
	}
}

func (h *host) handle(p packet, raw []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := flowKey{p.src, p.dst}
	x := h.flows[k]
	switch {
	case p.flags&syn != 0:
		if x == nil || x.opened != p.seq {
			x = &hostFlow{own: rand.Uint32(), opened: p.seq, next: p.seq + 1, answers: map[uint32][]byte{}}
			x.sent = x.own + 1
			h.flows[k] = x
		}
		h.send(packet{src: p.dst, dst: p.src, flags: syn | ack, seq: x.own, ack: p.seq + 1})
		return
	case x == nil || !x.open && p.ack != x.own+1:
		raw[28] |= bounced
		raw[29] = 0
		_, _ = h.conn.WriteToUDP(raw, h.outbound)
		return
	case p.flags&rst != 0:
		delete(h.flows, k)
		return
	}
	x.open = true
	if len(p.data) > 0 {
		h.request(k, x, p)
	}
	if p.flags&fin != 0 {
		h.send(packet{src: p.dst, dst: p.src, flags: fin | ack, seq: x.sent, ack: p.seq + uint32(len(p.data)) + 1})
		delete(h.flows, k)
	}
}

func (h *host) request(k flowKey, x *hostFlow, p packet) {
	if a, ok := x.answers[p.seq]; ok {
		_, _ = h.conn.WriteToUDP(a, h.outbound)
		return
	}
	if p.seq != x.next {
		return
	}
	x.next += uint32(len(p.data))
	var path, id string
	for i, line := range strings.Split(string(p.data), "\r\n") {
		if w := strings.Fields(line); i == 0 && len(w) > 1 {
			path = w[1]
		}
		if v, ok := strings.CutPrefix(line, "Request-Id: "); ok {
			id = v
		}
	}
	h.runs = append(h.runs, execution{h.id, id, path, p.dst, time.Now()})
	h.f.record.printf("%s runs %s for %s on %s", h.id, id, p.src, p.dst)
	body := "stamp " + h.id + " " + id
	out := packet{
		src: p.dst, dst: p.src, flags: ack, seq: x.sent, ack: x.next,
		data: fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nServer-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", h.id, len(body), body),
	}
	x.sent += uint32(len(out.data))
	b := out.encode()
	x.answers[p.seq] = b
	_, _ = h.conn.WriteToUDP(b, h.outbound)
}

// holds reports whether the host holds an open flow.
func (h *host) holds(k flowKey) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	x := h.flows[k]
	return x != nil && x.open
}

// close ends the host as a crash would.
func (h *host) close() {
	close(h.stop)
	h.conn.Close()
}

// caller is a client machine.
type caller struct {
	f    *fleet
	ip   netip.Addr
	conn *net.UDPConn
	mu   sync.Mutex
	in   map[flowKey]chan packet
	port uint16
}

func newCaller(f *fleet, n int) *caller {
	c := &caller{f: f, ip: netip.MustParseAddr(f.ip(n)), in: map[flowKey]chan packet{}, port: 30000}
	var err error
	if c.conn, err = net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(f.ip(n)), Port: f.ports.datagram}); err != nil {
		fail("%v", err)
	}
	go func() {
		b := make([]byte, 4096)
		for {
			n, _, err := c.conn.ReadFromUDP(b)
			if err != nil {
				return
			}
			p, _, ok := decode(b[:n])
			if !ok {
				continue
			}
			c.mu.Lock()
			ch := c.in[flowKey{p.dst, p.src}]
			c.mu.Unlock()
			if ch != nil {
				select {
				case ch <- p:
				default:
				}
			}
		}
	}()
	return c
}

// callerFlow is a flow of a caller.
type callerFlow struct {
	c         *caller
	k         flowKey
	in        chan packet
	via       *machine
	next, ack uint32
	reset     bool
}

func (x *callerFlow) send(p packet) {
	p.src, p.dst = x.k.caller, x.k.address
	_, _ = x.c.conn.WriteToUDP(p.encode(), &net.UDPAddr{IP: net.ParseIP(x.via.ip), Port: x.c.f.ports.datagram})
}

// open opens a flow to an address through a balancer. The result is "open", "reset" or "silent".
func (c *caller) open(via *machine, address netip.AddrPort) (*callerFlow, string) {
	c.mu.Lock()
	c.port++
	x := &callerFlow{c: c, k: flowKey{netip.AddrPortFrom(c.ip, c.port), address}, in: make(chan packet, 64), via: via}
	c.in[x.k] = x.in
	c.mu.Unlock()
	first := rand.Uint32()
	start := time.Now()
	for i, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		time.Sleep(time.Until(start.Add(at)))
		x.send(packet{flags: syn, seq: first, ack: uint32(i)})
		until := start.Add([]time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}[i])
		for {
			select {
			case p := <-x.in:
				if p.flags&rst != 0 {
					return x, "reset"
				}
				if p.flags&syn != 0 && p.ack == first+1 {
					x.next, x.ack = first+1, p.seq+1
					return x, "open"
				}
				continue
			case <-time.After(time.Until(until)):
			}
			break
		}
	}
	return x, "silent"
}

// ask sends a request on an open flow and returns the answer, "reset" or "silent".
func (x *callerFlow) ask(id string, deadline time.Duration) string {
	data := []byte("GET /x HTTP/1.1\r\nRequest-Id: " + id + "\r\n\r\n")
	until := time.Now().Add(deadline)
	wait := 200 * time.Millisecond
	for time.Now().Before(until) {
		x.send(packet{flags: ack, seq: x.next, ack: x.ack, data: data})
		t := time.After(min(wait, time.Until(until)))
		wait = min(2*wait, 1600*time.Millisecond)
	answers:
		for {
			select {
			case p := <-x.in:
				if p.flags&rst != 0 {
					x.reset = true
					return "reset"
				}
				if len(p.data) > 0 && p.seq == x.ack {
					x.next += uint32(len(data))
					x.ack += uint32(len(p.data))
					x.send(packet{flags: ack, seq: x.next, ack: x.ack})
					return string(p.data)
				}
			case <-t:
				break answers
			}
		}
	}
	return "silent"
}

// serve opens a flow, asks once and ends the flow.
func (c *caller) serve(via *machine, address netip.AddrPort, id string) string {
	x, how := c.open(via, address)
	if how != "open" {
		return how
	}
	a := x.ask(id, time.Second)
	x.send(packet{flags: fin | ack, seq: x.next, ack: x.ack})
	return a
}
