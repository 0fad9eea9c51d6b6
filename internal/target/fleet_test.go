package target_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"mangokeel"
	"mangokeel/internal/claim"
	"mangokeel/internal/jsonrpc"
	"mangokeel/internal/target"
	"mangokeel/internal/view"
	"mangokeel/internal/wire"
)

// fleet is agents with a target each, on loopback.
type fleet struct {
	service  *view.Service
	handlers []*target.Handler
	keepers  []*claim.Manager
	targets  []*httptest.Server
	// urls are where callers reach the agents.
	urls []string

	mu sync.Mutex
	// runs counts executions by key.
	runs map[string]int
}

// newFleet starts n agents. fn is the work of the targets.
func newFleet(c *qt.C, n int, fn func(i int, w http.ResponseWriter, r *http.Request)) *fleet {
	f := &fleet{runs: map[string]int{}, service: &view.Service{
		ID: 1, Targets: map[mangokeel.Handle]*view.Target{},
		Service: &wire.Service{
			Id: 1, Slots: 2, WaitMs: 200, Home: &wire.Home{Epoch: 1},
			Rules: []*wire.Rule{{Prefix: "/feed", Stream: true}, {Prefix: "/pattern", Class: wire.Class_CLASS_BULK, Stream: true}, {Prefix: "/urgent", Class: wire.Class_CLASS_URGENT}},
		},
	}}
	for i := range n {
		f.start(c, i, fn)
		f.service.Home.Now = append(f.service.Home.Now, uint32(i+1))
	}
	f.update()
	return f
}

func (f *fleet) update() {
	for i, h := range f.handlers {
		h.Update(f.service, mangokeel.Handle(i+1))
	}
}

func (f *fleet) start(c *qt.C, i int, fn func(int, http.ResponseWriter, *http.Request)) {
	t := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		f.runs[r.Header.Get("Idempotency-Key")]++
		f.mu.Unlock()
		fn(i, w, r)
	}))
	client := jsonrpc.NewClient()
	k := claim.NewManager(client)
	h, err := target.New(addrOf(t), target.WithClaims(k))
	c.Assert(err, qt.IsNil)
	l, calls := ports(c, k.Methods())
	peers := &http.Server{Handler: h}
	go func() { _ = peers.Serve(prefaced{l}) }()
	callers := httptest.NewServer(h)
	c.Cleanup(func() {
		callers.Close()
		peers.Close()
		h.Close()
		k.Close()
		client.Close()
		calls.Close()
		t.Close()
	})
	f.service.Targets[mangokeel.Handle(i+1)] = &view.Target{
		Handle: mangokeel.Handle(i + 1), Open: true, Agent: l.Addr().(*net.TCPAddr).AddrPort(),
		Target: &wire.Target{Host: fmt.Sprint("host-", i), Weight: 256, State: wire.State_STATE_SERVING},
	}
	f.handlers, f.keepers = append(f.handlers, h), append(f.keepers, k)
	f.targets, f.urls = append(f.targets, t), append(f.urls, callers.URL)
}

// ports opens the listeners of an agent on two ports in a row.
func ports(c *qt.C, m jsonrpc.Methods) (net.Listener, *jsonrpc.Server) {
	for range 100 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		if s, err := jsonrpc.Listen(claim.Address(l.Addr().(*net.TCPAddr).AddrPort()), m); err == nil {
			return l, s
		}
		l.Close()
	}
	c.Fatal("no two ports in a row")
	return nil, nil
}

// prefaced takes the preface off each connection, as the agent does.
type prefaced struct{ net.Listener }

func (p prefaced) Accept() (net.Conn, error) {
	conn, err := p.Listener.Accept()
	if err != nil {
		return nil, err
	}
	var n [2]byte
	if _, err := io.ReadFull(conn, n[:]); err == nil {
		_, _ = io.CopyN(io.Discard, conn, int64(n[0])<<8|int64(n[1]))
	}
	return conn, nil
}

// book sends a booking to agent i and returns status, outcome and body.
func (f *fleet) book(ctx context.Context, i int, key, body string) (int, string, string) {
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, f.urls[i]+"/bookings", strings.NewReader(body))
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", ""
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("Mangokeel-Outcome"), string(b)
}

func (f *fleet) ran(key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[key]
}

func confirm(_ int, w http.ResponseWriter, r *http.Request) {
	time.Sleep(50 * time.Millisecond)
	w.WriteHeader(http.StatusCreated)
	_, _ = io.Copy(w, r.Body)
}

// Guards against two copies of one booking that both run, a key that is accepted
// with another body, and an answer that is lost to a caller who asks again.
func TestCopiesOfOneBooking(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 3, confirm)
	var wg sync.WaitGroup
	var status [2]int
	for i := range status {
		wg.Go(func() { status[i], _, _ = f.book(context.Background(), i, "k", "pod 7") })
	}
	wg.Wait()
	c.Check(status[0]+status[1], qt.Equals, http.StatusCreated+http.StatusConflict)
	time.Sleep(50 * time.Millisecond)
	s, o, b := f.book(context.Background(), 2, "k", "pod 7")
	c.Check([]any{s, o, b}, qt.DeepEquals, []any{http.StatusCreated, "stored", "pod 7"})
	s, o, _ = f.book(context.Background(), 1, "k", "pod 8")
	c.Check([]any{s, o}, qt.DeepEquals, []any{http.StatusUnprocessableEntity, "mismatch"})
	c.Check(f.ran("k"), qt.Equals, 1)
}

// Guards against a booking that is cancelled, or runs again, when its caller
// disconnects and asks again.
func TestCallerDisconnects(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 3, confirm)
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Millisecond)
	defer cancel()
	s, _, _ := f.book(ctx, 0, "k", "pod 7")
	c.Assert(s, qt.Equals, 0)
	s, o, _ := f.book(context.Background(), 1, "k", "pod 7")
	c.Check([]any{s, o}, qt.DeepEquals, []any{http.StatusConflict, "running"})
	time.Sleep(100 * time.Millisecond)
	s, o, _ = f.book(context.Background(), 1, "k", "pod 7")
	c.Check([]any{s, o}, qt.DeepEquals, []any{http.StatusCreated, "stored"})
	c.Check(f.ran("k"), qt.Equals, 1)
}

// Guards against a rejection of work that may have run as not run, and against a
// second run of it, when the target breaks off.
func TestTargetBreaksOff(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 3, func(_ int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		fmt.Fprint(w, "half")
		panic(http.ErrAbortHandler)
	})
	for i := range 2 {
		s, o, _ := f.book(context.Background(), i, "k", "pod 7")
		c.Check([]any{s, o}, qt.DeepEquals, []any{http.StatusGatewayTimeout, "unknown"})
		time.Sleep(20 * time.Millisecond)
	}
	c.Check(f.ran("k"), qt.Equals, 1)
}

// Guards against refusing what another agent could run: the own target is gone,
// refuses the work, or leaves. Work with and without a key runs once.
func TestHandOver(t *testing.T) {
	c := qt.New(t)
	shed := func(i int, w http.ResponseWriter, r *http.Request) {
		if i == 0 {
			w.Header().Set("Mangokeel-Outcome", "not-run")
			http.Error(w, "", http.StatusServiceUnavailable)
			return
		}
		confirm(i, w, r)
	}
	for name, change := range map[string]func(*fleet){
		"gone":    func(f *fleet) { f.targets[0].Close() },
		"sheds":   func(*fleet) {},
		"leaving": func(f *fleet) { f.service.Targets[1].State = wire.State_STATE_LEAVING; f.update() },
	} {
		fn := confirm
		if name == "sheds" {
			fn = shed
		}
		f := newFleet(c, 3, fn)
		for range 20 {
			// Earns the budget for a second try.
			r, _ := http.NewRequest(http.MethodHead, f.urls[0], nil)
			r.Header.Set("X-Deadline", "0")
			_, _ = http.DefaultClient.Do(r)
		}
		change(f)
		for _, key := range []string{"k", ""} {
			s, _, b := f.book(context.Background(), 0, key, "pod 7")
			c.Check([]any{s, b}, qt.DeepEquals, []any{http.StatusCreated, "pod 7"}, qt.Commentf("%s, key %q", name, key))
		}
		c.Check(f.ran("k") <= 2, qt.IsTrue)
		if name == "gone" {
			c.Check(f.handlers[0].Weight(), qt.Equals, uint32(0))
		}
	}
}

// Guards against claims that go to fewer than a majority, and against refusals
// that are not true or come late.
func TestHomeWithoutMajority(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 3, confirm)
	f.service.Home = &wire.Home{Epoch: 2, Now: []uint32{7, 8, 1}}
	f.update()
	began := time.Now()
	s, o, _ := f.book(context.Background(), 0, "k", "pod 7")
	c.Check([]any{s, o}, qt.DeepEquals, []any{http.StatusServiceUnavailable, "not-run"})
	c.Check(time.Since(began) < time.Second, qt.IsTrue)
	c.Check(f.ran("k"), qt.Equals, 0)
}

// Guards against slow readers and feeds that hold the slots of others.
func TestSlowReaders(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 1, func(_ int, w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/large":
			_, _ = w.Write(make([]byte, 8<<20))
		case "/feed":
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}
	})
	for _, path := range []string{"/large", "/large", "/feed", "/feed", "/large"} {
		resp, err := http.Get(f.urls[0] + path)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf(path))
		defer resp.Body.Close()
		time.Sleep(50 * time.Millisecond)
	}
	c.Check(f.handlers[0].Load().GetRunning(), qt.Equals, uint32(0))
	c.Check(f.handlers[0].Running(), qt.Equals, 5)
}

// Guards against work that is started for a caller who is gone or too late, and
// against requests that are malformed or too large.
func TestBounds(t *testing.T) {
	c := qt.New(t)
	ended := make(chan struct{})
	f := newFleet(c, 1, func(_ int, _ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(ended)
	})
	do := func(method, path string, body io.Reader, header ...string) (int, string) {
		r, _ := http.NewRequest(method, f.urls[0]+path, body)
		if len(header) == 2 {
			r.Header.Set(header[0], header[1])
		}
		resp, err := http.DefaultClient.Do(r)
		c.Assert(err, qt.IsNil)
		resp.Body.Close()
		return resp.StatusCode, resp.Header.Get("Mangokeel-Outcome")
	}
	s, o := do("GET", "/", nil, "X-Deadline", fmt.Sprint(time.Now().Add(-time.Second).UnixMilli()))
	c.Check([]any{s, o}, qt.DeepEquals, []any{http.StatusServiceUnavailable, "not-run"})
	s, _ = do("GET", "/", nil, "X-Deadline", "soon")
	c.Check(s, qt.Equals, http.StatusBadRequest)
	s, _ = do("POST", "/", nil, "Idempotency-Key", strings.Repeat("k", 256))
	c.Check(s, qt.Equals, http.StatusBadRequest)
	s, _ = do("POST", "/", io.MultiReader(strings.NewReader(strings.Repeat("x", 16<<20+1))))
	c.Check(s, qt.Equals, http.StatusRequestEntityTooLarge)
	s, _ = do("TRACE", "/", nil)
	c.Check(s, qt.Equals, http.StatusNotImplemented)
	c.Check(f.ran(""), qt.Equals, 0)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, f.urls[0], nil)
	_, err := http.DefaultClient.Do(r)
	c.Check(err, qt.Not(qt.IsNil))
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		c.Error("the target was not told that the caller is gone")
	}
}

// Guards against the answer to one request that reaches the caller of another.
func TestCrossedAnswers(t *testing.T) {
	c := qt.New(t)
	ids := make(chan string, 2)
	f := newFleet(c, 1, func(_ int, w http.ResponseWriter, r *http.Request) {
		ids <- r.Header.Get("Mangokeel-Request")
		if len(ids) == 2 {
			w.Header().Set("Mangokeel-Request", <-ids)
		}
		fmt.Fprint(w, r.URL.Path)
	})
	for i, want := range []int{http.StatusOK, http.StatusGatewayTimeout} {
		resp, err := http.Get(fmt.Sprint(f.urls[0], "/", i))
		c.Assert(err, qt.IsNil)
		resp.Body.Close()
		c.Check(resp.StatusCode, qt.Equals, want)
	}
}
