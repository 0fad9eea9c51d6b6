package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

const (
	routeHost = "127.18.0.1"
	routePort = 8443
)

// Flags of a packet.
const (
	fin     = 1
	syn     = 4
	ack     = 16
	bounced = 32
	rst     = 128
)

const headerSize = 32

// packet is a datagram of the users' protocol.
type packet struct {
	sum          uint32
	src, dst     netip.AddrPort
	seq, ackn    uint32
	flags        byte
	data         []byte
	valid, reset bool // valid: the sum is that of a client or host; reset: of the system's own
}

func putAddr(b []byte, ip, port int, a netip.AddrPort) {
	v := a.Addr().As4()
	binary.LittleEndian.PutUint32(b[ip:], binary.BigEndian.Uint32(v[:]))
	binary.LittleEndian.PutUint16(b[port:], a.Port())
}

func getAddr(b []byte, ip, port int) netip.AddrPort {
	var v [4]byte
	binary.BigEndian.PutUint32(v[:], binary.LittleEndian.Uint32(b[ip:]))
	return netip.AddrPortFrom(netip.AddrFrom4(v), binary.LittleEndian.Uint16(b[port:]))
}

// keyedSum is the keyed sum over all fields except echo, pad and BOUNCED.
func keyedSum(b []byte) uint32 {
	h := fnv.New32a()
	h.Write([]byte("key of the ends"))
	h.Write(b[8:28])
	h.Write([]byte{b[28] &^ bounced})
	h.Write(b[30:])
	return h.Sum32()
}

func (p *packet) encode() []byte {
	b := make([]byte, headerSize+len(p.data))
	putAddr(b, 10, 8, p.src)
	putAddr(b, 14, 18, p.dst)
	binary.LittleEndian.PutUint32(b[20:], p.seq)
	binary.LittleEndian.PutUint32(b[24:], p.ackn)
	b[28] = p.flags
	binary.LittleEndian.PutUint16(b[30:], uint16(len(p.data)))
	copy(b[headerSize:], p.data)
	binary.LittleEndian.PutUint32(b[4:], keyedSum(b))
	return b
}

func parse(b []byte) (p packet, ok bool) {
	if len(b) < headerSize || int(binary.LittleEndian.Uint16(b[30:])) != len(b)-headerSize {
		return p, false
	}
	p = packet{
		sum: binary.LittleEndian.Uint32(b[4:]), src: getAddr(b, 10, 8), dst: getAddr(b, 14, 18), seq: binary.LittleEndian.Uint32(b[20:]),
		ackn: binary.LittleEndian.Uint32(b[24:]), flags: b[28], data: bytes.Clone(b[headerSize:]),
	}
	p.valid = p.sum == keyedSum(b)
	p.reset = p.flags == rst && p.sum == 0 && len(p.data) == 0
	return p, true
}

// host is a host on a side machine.
type host struct {
	*platform
	machine int
	id      string
	born    int64
	conn    *net.UDPConn
	mu      sync.Mutex
	flows   map[netip.AddrPort]*hostFlow
	slots   chan struct{}
	serial  int
	done    chan struct{}
	// beats gets a value after each acknowledged heartbeat if somebody waits.
	beats chan struct{}
}

// hostFlow is a flow at a host. It is open once the end of the handshake is there.
type hostFlow struct {
	clientSeq, seq uint32 // the next one of each side
	first          uint32
	open           bool
	answered       map[uint32][]byte
	working        map[uint32]bool
}

func newHost(p *platform, machine int) (*host, error) {
	a := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(p.address(machine, portApp)))
	c, err := net.ListenUDP("udp4", a)
	if err != nil {
		return nil, err
	}
	// Health checks come over TCP at the same address.
	l, err := net.Listen("tcp4", p.address(machine, portApp))
	if err != nil {
		return nil, err
	}
	h := &host{
		platform: p, machine: machine, id: fmt.Sprintf("i-%08x", rand.Uint32()), born: time.Now().UnixMilli(), conn: c,
		flows: map[netip.AddrPort]*hostFlow{}, slots: make(chan struct{}, 2), done: make(chan struct{}), beats: make(chan struct{}),
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})) }()
	go h.receive()
	go h.beat()
	p.add("host %s starts on machine %d", h.id, machine)
	return h, nil
}

// beat sends a heartbeat each HeartbeatMs.
func (h *host) beat() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		h.serial++
		b, _ := json.Marshal(map[string]any{
			"Service": "feed", "Address": h.address(h.machine, portApp), "Zone": "zone-1", "Version": "v1", "Concurrency": 2, "State": "ready",
			"WarmupLeftMs": 0, "Seq": h.serial, "born": h.born,
		})
		r, _ := http.NewRequest("PUT", "http://"+h.address(h.machine, portControl)+"/instances/"+h.id, bytes.NewReader(b))
		r.Header.Set("Content-Type", "application/json")
		w, err := client.Do(r)
		switch {
		case err != nil:
			h.add("host %s: heartbeat %d not acknowledged", h.id, h.serial)
		default:
			w.Body.Close()
			select {
			case h.beats <- struct{}{}:
			default:
			}
			if h.serial <= 2 || w.StatusCode != 200 {
				h.add("host %s: heartbeat %d: %d", h.id, h.serial, w.StatusCode)
			}
		}
		select {
		case <-h.done:
			return
		case <-t.C:
		}
	}
}

func (h *host) send(b []byte) {
	out := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(h.address(h.machine, portOutbound)))
	_, _ = h.conn.WriteToUDP(b, out)
}

func (h *host) receive() {
	b := make([]byte, 4096)
	for {
		n, _, err := h.conn.ReadFromUDP(b)
		if err != nil {
			select {
			case <-h.done:
				return
			default:
				continue // nothing listens at outbound while the node restarts
			}
		}
		if p, ok := parse(b[:n]); ok {
			h.take(p, bytes.Clone(b[:n]))
		}
	}
}

// take handles a packet as the page on packets says.
func (h *host) take(p packet, raw []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !p.valid {
		h.add("UNASKED: host %s got a packet that its sender did not write so", h.id)
		return
	}
	f := h.flows[p.src]
	switch {
	case p.flags&syn != 0:
		if f == nil || f.clientSeq != p.seq+1 && !f.open {
			f = &hostFlow{clientSeq: p.seq + 1, first: rand.Uint32(), answered: map[uint32][]byte{}, working: map[uint32]bool{}}
			f.seq = f.first + 1
			h.flows[p.src] = f
		}
		x := packet{src: p.dst, dst: p.src, seq: f.first, ackn: p.seq + 1, flags: syn | ack}
		h.send(x.encode())
	case f == nil || !f.open && p.ackn != f.first+1:
		raw[28] |= bounced
		h.send(raw)
	case p.flags&fin != 0:
		delete(h.flows, p.src)
		x := packet{src: p.dst, dst: p.src, seq: f.seq, ackn: p.seq + 1, flags: ack | fin}
		h.send(x.encode())
	case len(p.data) > 0:
		f.open = true
		if old := f.answered[p.seq]; old != nil {
			h.send(old)
			return
		}
		if f.working[p.seq] {
			return
		}
		f.working[p.seq] = true
		go h.work(p, f)
	default:
		f.open = true
	}
}

// work runs a request and answers it.
func (h *host) work(p packet, f *hostFlow) {
	h.slots <- struct{}{}
	time.Sleep(5 * time.Millisecond)
	<-h.slots
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.flows[p.src] != f {
		return
	}
	x := packet{
		src: p.dst, dst: p.src, seq: f.seq, ackn: p.seq + uint32(len(p.data)), flags: ack,
		data: []byte("HTTP/1.1 200 OK\r\nServer-Stamp: " + h.id + "\r\nContent-Length: 2\r\n\r\nok"),
	}
	f.seq += uint32(len(x.data))
	b := x.encode()
	f.answered = map[uint32][]byte{p.seq: b}
	h.send(b)
}

// holds reports whether the host has an open flow of a client.
func (h *host) holds(client netip.AddrPort) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[client]
	return f != nil && f.open
}

// router hands packets to the balancers that are in rotation.
type router struct {
	*platform
	mu     sync.Mutex
	nodes  []int
	misses map[int]int
	conn   *net.UDPConn
	done   chan struct{}
}

func newRouter(p *platform, nodes ...int) (*router, error) {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(p.ip(250))})
	if err != nil {
		return nil, err
	}
	r := &router{platform: p, nodes: nodes, misses: map[int]int{}, conn: c, done: make(chan struct{})}
	for _, n := range nodes {
		r.misses[n] = 2
		go r.check(n)
	}
	return r, nil
}

// check sends GET /ready twice a second.
func (r *router) check(n int) {
	c := http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	t := time.NewTicker(500 * time.Millisecond)
	defer t.Stop()
	for {
		w, err := c.Get("http://" + r.address(n, portReady) + "/ready")
		ok := err == nil && w.StatusCode == 200
		if err == nil {
			w.Body.Close()
		}
		r.mu.Lock()
		before := r.misses[n]
		if ok {
			r.misses[n] = 0
		} else {
			r.misses[n]++
		}
		if (before < 2) != (r.misses[n] < 2) {
			r.add("router: machine %d in rotation: %v", n, r.misses[n] < 2)
		}
		r.mu.Unlock()
		select {
		case <-r.done:
			return
		case <-t.C:
		}
	}
}

func (r *router) inRotation() (list []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.nodes {
		if r.misses[n] < 2 {
			list = append(list, n)
		}
	}
	if 2*len(list) < len(r.nodes) {
		return r.nodes
	}
	return list
}

// forward hands a packet to the node that the hash of its addresses selects ("mod").
func (r *router) forward(p packet) {
	list := r.inRotation()
	h := fnv.New32a()
	fmt.Fprint(h, p.src, p.dst)
	n := list[int(h.Sum32()%uint32(len(list)))]
	to := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(r.address(n, portData)))
	_, _ = r.conn.WriteToUDP(p.encode(), to)
}

// clients opens long flows with pauses between their requests.
type clients struct {
	*platform
	router                            *router
	hosts                             func() []*host
	mu                                sync.Mutex
	flows                             map[netip.AddrPort]*clientFlow
	socks                             []*net.UDPConn
	stopped                           bool
	sent, answered, resets, falseRest int
	opened, failed                    int
}

// clientFlow is a flow of a client.
type clientFlow struct {
	end       netip.AddrPort
	seq, ackn uint32
	open      bool
	ended     bool
	waiting   uint32 // the sequence number of the request that waits, if busy
	busy      bool
	request   packet
	host      string
	lastSent  time.Time
}

const clientCount = 8

func newClients(p *platform, r *router, hosts func() []*host) (*clients, error) {
	c := &clients{platform: p, router: r, hosts: hosts, flows: map[netip.AddrPort]*clientFlow{}}
	for i := range clientCount {
		s, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(p.address(200+i, portData))))
		if err != nil {
			return nil, err
		}
		c.socks = append(c.socks, s)
		go c.receive(s)
	}
	return c, nil
}

var routeAddr = netip.AddrPortFrom(netip.MustParseAddr(routeHost), routePort)

func (c *clients) receive(s *net.UDPConn) {
	b := make([]byte, 4096)
	for {
		n, _, err := s.ReadFromUDP(b)
		if err != nil {
			return
		}
		if p, ok := parse(b[:n]); ok {
			c.take(p)
		}
	}
}

func (c *clients) take(p packet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flows[p.dst]
	if f == nil || f.ended {
		return
	}
	switch {
	case p.reset:
		c.resets++
		f.ended = true
		if !f.open {
			c.failed++
			return
		}
		for _, h := range c.hosts() {
			if h.holds(f.end) {
				c.falseRest++
				c.add("FLOW: client %v gets a reset that no host sent; host %s lives and has the open flow; last packet %v ago, request waits: %v",
					f.end, h.id, time.Since(f.lastSent).Round(time.Millisecond), f.busy)
			}
		}
	case !p.valid:
		c.add("MIXED: client %v got a packet that its sender did not write so", f.end)
	case p.flags&(syn|ack) == syn|ack && !f.open:
		f.open = true
		f.seq, f.ackn = p.ackn, p.seq+1
		c.opened++
		c.ask(f)
	case len(p.data) > 0 && f.busy && p.ackn == f.waiting+uint32(len(f.request.data)):
		f.busy = false
		f.seq, f.ackn = p.ackn, p.seq+uint32(len(p.data))
		c.answered++
		time.AfterFunc(pauseMin+time.Duration(rand.Int64N(int64(pauseMax-pauseMin))), func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if !f.ended && !c.stopped {
				c.ask(f)
			}
		})
	}
}

const (
	pauseMin = 2 * time.Second
	pauseMax = 6 * time.Second
)

// ask sends a request on a flow, and again after 200 ms, with twice the time up to 1.6 s. mu is held.
func (c *clients) ask(f *clientFlow) {
	c.sent++
	f.request = packet{
		src: f.end, dst: routeAddr, seq: f.seq, ackn: f.ackn, flags: ack,
		data: fmt.Appendf(nil, "GET /feed HTTP/1.1\r\nHost: feed\r\nRequest-Id: r-%d\r\n\r\n", c.sent),
	}
	f.busy, f.waiting = true, f.seq
	n := f.seq
	var try func(d time.Duration)
	try = func(d time.Duration) {
		if f.ended || !f.busy || f.waiting != n || c.stopped {
			return
		}
		f.lastSent = time.Now()
		c.router.forward(f.request)
		time.AfterFunc(d, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			try(min(2*d, 1600*time.Millisecond))
		})
	}
	try(200 * time.Millisecond)
}

// open opens a flow.
func (c *clients) open(i int) {
	end := netip.MustParseAddrPort(fmt.Sprintf("%s:%d", c.ip(200+i%clientCount), 20000+i))
	f := &clientFlow{end: end, seq: rand.Uint32()}
	c.mu.Lock()
	c.flows[end] = f
	c.mu.Unlock()
	first := f.seq
	for n, d := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		time.AfterFunc(d, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if !f.open && !f.ended {
				c.router.forward(packet{src: end, dst: routeAddr, seq: first, ackn: uint32(n), flags: syn})
			}
		})
	}
}

func (c *clients) close() {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
	for _, s := range c.socks {
		s.Close()
	}
}

// roll: a host with long flows; the balancers and its agent are stopped and started in turn while a host is
// added.
func roll(p *platform, trouble bool) (broken bool, err error) {
	const (
		balancer1, balancer2 = 11, 12
		side1, side2         = 21, 22
		flows                = 240
		gap                  = 1200 * time.Millisecond
		restart              = 300 * time.Millisecond
	)
	p.seeds = []int{1, 2, 3}
	for _, n := range p.seeds {
		if err := p.start(n, "control", fmt.Sprint("zone-", n), "", true); err != nil {
			return false, err
		}
	}
	for _, n := range []int{balancer1, balancer2} {
		if err := p.start(n, "balancer", "zone-1", "", false); err != nil {
			return false, err
		}
	}
	if err := p.start(side1, "agent", "zone-1", "feed", false); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	h1, err := newHost(p, side1)
	if err != nil {
		return false, err
	}
	hosts := []*host{h1}
	var mu sync.Mutex
	list := func() []*host { mu.Lock(); defer mu.Unlock(); return hosts }
	if p.order(30*time.Second, "PUT", "/config", config(1), p.seeds...) == 0 {
		return false, fmt.Errorf("first configuration not accepted")
	}
	r, err := newRouter(p, balancer1, balancer2)
	if err != nil {
		return false, err
	}
	c, err := newClients(p, r, list)
	if err != nil {
		return false, err
	}
	for end := time.Now().Add(15 * time.Second); len(r.inRotation()) < 2 && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
	}
	time.Sleep(3 * time.Second)
	for i := range flows {
		c.open(i)
		time.Sleep(15 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	c.mu.Lock()
	opened := c.opened
	c.mu.Unlock()
	if opened < flows*9/10 {
		return false, fmt.Errorf("only %d of %d flows opened", opened, flows)
	}
	p.add("%d flows are open", opened)
	if trouble {
		stopAndStart := func(n int, role, service string) {
			p.stop(n, syscall.SIGTERM)
			time.Sleep(restart)
			if e := p.start(n, role, "zone-1", service, false); e != nil {
				err = e
			}
		}
		for _, n := range []int{balancer1, balancer2} {
			at := time.Now()
			stopAndStart(n, "balancer", "")
			time.Sleep(max(0, gap-time.Since(at)) + 1500*time.Millisecond)
		}
		// The agent is next, at any moment between two heartbeats of its host.
		time.Sleep(rand.N(heartbeat))
		// A host is added meanwhile (scale_out): its machine starts as the agent stops.
		done := make(chan struct{})
		go func() {
			defer close(done)
			time.Sleep(100 * time.Millisecond)
			if e := p.start(side2, "agent", "zone-1", "feed", false); e != nil {
				err = e
				return
			}
			time.Sleep(100 * time.Millisecond)
			h2, e := newHost(p, side2)
			if e != nil {
				err = e
				return
			}
			mu.Lock()
			hosts = append(hosts, h2)
			mu.Unlock()
		}()
		stopAndStart(side1, "agent", "feed")
		<-done
	}
	time.Sleep(12 * time.Second)
	c.close()
	c.mu.Lock()
	defer c.mu.Unlock()
	p.add("requests sent %d, answered %d; flows opened %d; resets %d, of these on open flows whose host lives and has them: %d",
		c.sent, c.answered, c.opened, c.resets, c.falseRest)
	if err != nil {
		return false, err
	}
	return c.falseRest > 0, nil
}
