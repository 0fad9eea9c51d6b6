package standin

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// Load describes the work of a group of callers.
type Load struct {
	// Address is the service's address at the fabric.
	Address netip.AddrPort
	// Cert is the file of the service's certificate.
	Cert     string
	Duration time.Duration
	// Feeds, Downloads, Bookers and Readers are the numbers of callers of each
	// kind. Every fourth booker and reader uses HTTP/1.1 over TCP.
	Feeds, Downloads, Bookers, Readers int
	// Pause is the mean time between two requests of one caller.
	Pause time.Duration
	// Deadline is how long a caller waits for an answer to a request, resends
	// included.
	Deadline time.Duration
	Seed     uint64
}

// Counts is what callers saw.
type Counts struct {
	// Flows counts feeds and downloads, Broken those that ended early, lost a
	// line, or changed their target.
	Flows, Broken atomic.Int64
	// Requests counts reads and bookings, Answered those with a whole answer and
	// Refused those refused as not run until the deadline.
	Requests, Answered, Refused atomic.Int64
	// Unknown counts requests whose last answer said that the outcome is unknown,
	// Unanswered those with neither an answer nor a refusal.
	Unknown, Unanswered atomic.Int64
	// Wrong counts answers that belong to another request.
	Wrong atomic.Int64

	mu sync.Mutex
	// silence is the longest time without any answer in the group between start and
	// end, and silenceAt the time after start at which it began.
	silence, silenceAt time.Duration
	start, end         time.Time
	// booked has the keys whose bookings were answered, notRun those that were
	// refused as not run on every try, open the others.
	booked, notRun, open []string
	reasons              map[string]int
	// brokenAt counts broken flows by the host that served them, over HTTP/3 and
	// over TCP.
	brokenAt, brokenTCP map[string]int
	// last is the time of the last answer, or start; zero in a group that sends no
	// requests.
	last     time.Time
	timeline timeline
	// flowsAt and answersAt count flows and answered requests by host.
	flowsAt, answersAt map[string]int
}

// Report is the JSON form of Counts.
type Report struct {
	Flows      int64          `json:"flows"`
	Broken     int64          `json:"broken"`
	Requests   int64          `json:"requests"`
	Answered   int64          `json:"answered"`
	Refused    int64          `json:"refused"`
	Unknown    int64          `json:"unknown"`
	Unanswered int64          `json:"unanswered"`
	Wrong      int64          `json:"wrong"`
	Silence    time.Duration  `json:"silence"`
	SilenceAt  time.Duration  `json:"silenceat"`
	Booked     []string       `json:"booked"`
	NotRun     []string       `json:"notrun"`
	Open       []string       `json:"open"`
	Reasons    map[string]int `json:"reasons"`
	BrokenAt   map[string]int `json:"brokenat"`
	BrokenTCP  map[string]int `json:"brokentcp"`
	// Timeline has one element for each second since the start.
	Timeline []Second `json:"timeline"`
	// FlowsAt and AnswersAt count flows and answered requests by host.
	FlowsAt   map[string]int `json:"flowsat"`
	AnswersAt map[string]int `json:"answersat"`
}

// Report returns the counts so far.
func (c *Counts) Report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent(time.Now())
	return Report{
		Flows: c.Flows.Load(), Broken: c.Broken.Load(),
		Requests: c.Requests.Load(), Answered: c.Answered.Load(), Refused: c.Refused.Load(),
		Unknown: c.Unknown.Load(), Unanswered: c.Unanswered.Load(), Wrong: c.Wrong.Load(),
		Silence: c.silence, SilenceAt: c.silenceAt,
		Booked: c.booked, NotRun: c.notRun, Open: c.open, Reasons: c.reasons, BrokenAt: c.brokenAt, BrokenTCP: c.brokenTCP,
		Timeline: c.timeline.list(), FlowsAt: c.flowsAt, AnswersAt: c.answersAt,
	}
}

func (c *Counts) because(kind string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reasons == nil {
		c.reasons = map[string]int{}
	}
	c.reasons[fmt.Sprintf("%s: %.120v", kind, err)]++
}

// broke records a broken flow of x.
func (c *Counts) broke(x *caller, kind, host string, err error) {
	c.Broken.Add(1)
	c.mu.Lock()
	c.timeline.at(time.Now()).Broken++
	at := &c.brokenAt
	if x.tcp {
		at, kind = &c.brokenTCP, kind+" over tcp"
	}
	if *at == nil {
		*at = map[string]int{}
	}
	(*at)[host]++
	c.mu.Unlock()
	c.because(kind, err)
}

// begin counts a request and returns the time at which it began.
func (c *Counts) begin() time.Time {
	c.Requests.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.timeline.begin(now)
	return now
}

// finish records the end of a request.
func (c *Counts) finish(v verdict, began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.timeline.finish(v, began, now)
	switch v {
	case answered:
		c.answered(now)
	case refused:
		c.Refused.Add(1)
	case unknown:
		c.Unknown.Add(1)
	case unanswered:
		c.Unanswered.Add(1)
	}
}

// rejected records a try that was refused as not run.
func (c *Counts) rejected() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timeline.at(time.Now()).Rejected++
}

// opened records that a flow opened.
func (c *Counts) opened() {
	c.Flows.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timeline.flow(1, time.Now())
}

// ended records that a flow that host served ended.
func (c *Counts) ended(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timeline.flow(-1, time.Now())
	tally(&c.flowsAt, host)
}

// ranAt records the host that answered a request.
func (c *Counts) ranAt(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tally(&c.answersAt, host)
}

// tally counts host in m. A flow that ended before its host was known has none.
func tally(m *map[string]int, host string) {
	if host == "" {
		return
	}
	if *m == nil {
		*m = map[string]int{}
	}
	(*m)[host]++
}

// answered records an answer and the time since the one before it. The caller
// holds mu.
func (c *Counts) answered(now time.Time) {
	c.Answered.Add(1)
	c.silent(now)
	c.last = now
}

// silent records the time without an answer until now, or until the end of the load
// if that was before. The caller holds mu.
func (c *Counts) silent(now time.Time) {
	if now.After(c.end) {
		now = c.end
	}
	if gap := now.Sub(c.last); !c.last.IsZero() && gap > c.silence {
		c.silence, c.silenceAt = gap, c.last.Sub(c.start)
	}
}

// Run runs all callers until the load's duration has passed and the requests that
// began before have ended.
func (l Load) Run(ctx context.Context, c *Counts) error {
	pool, err := l.pool()
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	c.start = time.Now()
	c.end = c.start.Add(l.Duration)
	c.timeline.start = c.start
	if l.Bookers+l.Readers > 0 {
		c.last = c.start
	}
	start := func(n int, fn func(ctx context.Context, x *caller)) {
		for i := range n {
			x := &caller{load: l, counts: c, end: c.end, pool: pool, tcp: i%4 == 3, id: fmt.Sprintf("%d-%d-%d", l.Address.Port(), l.Seed, i)}
			x.rng = rand.New(rand.NewPCG(l.Seed, uint64(i)))
			wg.Add(1)
			go func() {
				defer wg.Done()
				fn(ctx, x)
			}()
		}
	}
	start(l.Feeds, func(ctx context.Context, x *caller) { x.feed(ctx) })
	start(l.Downloads, func(ctx context.Context, x *caller) { x.download(ctx) })
	start(l.Bookers, func(ctx context.Context, x *caller) { x.requests(ctx, x.book) })
	start(l.Readers, func(ctx context.Context, x *caller) { x.requests(ctx, x.read) })
	wg.Wait()
	return nil
}

func (l Load) pool() (*x509.CertPool, error) {
	b, err := os.ReadFile(l.Cert)
	if err != nil {
		return nil, errors.Wrap(err, "read certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return nil, errors.Newf("%s: no certificate", l.Cert)
	}
	return pool, nil
}

// caller is one caller. Its connection is opened anew after an error.
type caller struct {
	load   Load
	counts *Counts
	end    time.Time
	pool   *x509.CertPool
	tcp    bool
	id     string
	rng    *rand.Rand
	n      int

	client *http.Client
	scheme string
	close  func()
}

// connect gives the caller an HTTP client with a connection of its own.
func (x *caller) connect() {
	if x.client != nil {
		return
	}
	if x.tcp {
		t := &http.Transport{DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext}
		x.client, x.scheme, x.close = &http.Client{Transport: t}, "http", t.CloseIdleConnections
		return
	}
	t := &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: x.pool},
		QUICConfig:      &quic.Config{MaxIdleTimeout: 10 * time.Second, KeepAlivePeriod: 2 * time.Second, HandshakeIdleTimeout: 4 * time.Second},
	}
	x.client, x.scheme, x.close = &http.Client{Transport: t}, "https", func() { t.Close() }
}

func (x *caller) disconnect() {
	if x.client != nil {
		x.close()
		x.client = nil
	}
}

func (x *caller) url(path string) string {
	return fmt.Sprintf("%s://%s%s", x.scheme, x.load.Address, path)
}

// open starts a long answer, with a few tries for the start of it.
func (x *caller) open(ctx context.Context, path string) (*http.Response, error) {
	var last error
	for range 5 {
		x.connect()
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, x.url(path), nil)
		if err != nil {
			return nil, err
		}
		resp, err := x.client.Do(r)
		if err == nil && resp.StatusCode == http.StatusOK {
			return resp, nil
		}
		if err == nil {
			resp.Body.Close()
			err = errors.Newf("status %d", resp.StatusCode)
		}
		last = err
		x.disconnect()
		x.sleep(ctx, time.Second)
	}
	return nil, last
}

// feed keeps one feed open until the end and checks each line.
func (x *caller) feed(ctx context.Context) {
	x.sleep(ctx, time.Duration(x.rng.Int64N(int64(2*time.Second))))
	defer x.disconnect()
	lines := int(time.Until(x.end) / (200 * time.Millisecond))
	resp, err := x.open(ctx, fmt.Sprintf("/feed?lines=%d", lines))
	if err != nil {
		x.counts.Unanswered.Add(1)
		x.counts.because("feed start", err)
		return
	}
	defer resp.Body.Close()
	x.counts.opened()
	host, err := checkFeed(resp.Body, lines)
	x.counts.ended(host)
	if err != nil {
		x.counts.broke(x, "feed", host, err)
	}
}

// checkFeed reads a feed to its end and returns the host that served it.
func checkFeed(r io.Reader, lines int) (host string, err error) {
	s := bufio.NewScanner(r)
	for i := range lines {
		if !s.Scan() {
			return host, errors.Wrapf(errors.CombineErrors(s.Err(), io.ErrUnexpectedEOF), "ended early")
		}
		number, from, _ := strings.Cut(s.Text(), " ")
		if number != fmt.Sprint(i) {
			return host, errors.Newf("line %s in place of %d", number, i)
		}
		if host != "" && host != from {
			return host, errors.New("target changed")
		}
		host = from
	}
	return host, nil
}

// download fetches one large answer slowly and checks its bytes.
func (x *caller) download(ctx context.Context) {
	x.sleep(ctx, time.Duration(x.rng.Int64N(int64(2*time.Second))))
	defer x.disconnect()
	const size = 1 << 20
	seconds := max(1, int(time.Until(x.end).Seconds())-2)
	resp, err := x.open(ctx, fmt.Sprintf("/download?bytes=%d&seconds=%d", size, seconds))
	if err != nil {
		x.counts.Unanswered.Add(1)
		x.counts.because("download start", err)
		return
	}
	defer resp.Body.Close()
	x.counts.opened()
	host := resp.Header.Get("Target-Host")
	b, err := io.ReadAll(resp.Body)
	x.counts.ended(host)
	want := bytes.Repeat(Pattern(downloadChunk), size/downloadChunk)
	if err == nil && !bytes.Equal(b, want) {
		err = errors.Newf("got %d bytes, not the %d expected", len(b), size)
	}
	if err != nil {
		x.counts.broke(x, "download", host, err)
	}
}

// verdict is the end of one request.
type verdict int

const (
	answered verdict = iota
	refused
	unknown
	unanswered
)

// requests sends one request after the other until the end.
func (x *caller) requests(ctx context.Context, do func(ctx context.Context) (verdict, error)) {
	defer x.disconnect()
	for time.Now().Before(x.end) && ctx.Err() == nil {
		x.sleep(ctx, time.Duration(x.rng.ExpFloat64()*float64(x.load.Pause)))
		x.n++
		began := x.counts.begin()
		v, err := do(ctx)
		x.counts.finish(v, began)
		if v == unanswered {
			x.counts.because("request", err)
		}
	}
}

func (x *caller) read(ctx context.Context) (verdict, error) {
	id := fmt.Sprintf("r%s-%d", x.id, x.n)
	v, body, err := x.insist(ctx, http.MethodGet, "/stock?id="+id, id)
	if v == answered && !strings.Contains(string(body), " "+id+"\n") {
		x.counts.Wrong.Add(1)
	}
	if v == answered {
		host, _, _ := strings.Cut(string(body), " ")
		x.counts.ranAt(host)
	}
	return v, err
}

func (x *caller) book(ctx context.Context) (verdict, error) {
	id := fmt.Sprintf("b%s-%d", x.id, x.n)
	v, body, err := x.insist(ctx, http.MethodPost, "/bookings?id="+id, id)
	var receipt Receipt
	if v == answered && (json.Unmarshal(body, &receipt) != nil || receipt.Key != id) {
		x.counts.Wrong.Add(1)
	}
	x.counts.mu.Lock()
	defer x.counts.mu.Unlock()
	switch v {
	case answered:
		tally(&x.counts.answersAt, receipt.Host)
		x.counts.booked = append(x.counts.booked, id)
	case refused:
		x.counts.notRun = append(x.counts.notRun, id)
	case unknown, unanswered:
		x.counts.open = append(x.counts.open, id)
	}
	return v, err
}

// insist sends a request, and again with the same key after an error or a
// refusal, until it is answered or the deadline has passed. The request counts as
// refused only if every try was refused as not run.
func (x *caller) insist(ctx context.Context, method, path, key string) (verdict, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, x.load.Deadline)
	defer cancel()
	last := refused
	var why error
	for {
		r, err := x.once(ctx, method, path, key)
		switch {
		case err == nil && r.status == http.StatusOK:
			return answered, r.body, nil
		case err != nil && ctx.Err() != nil && why != nil:
			// The deadline cut this try short; the one before it counts.
		case err != nil:
			last, why = unanswered, err
			x.disconnect()
		case r.outcome == "unknown" || r.outcome == "running":
			last, why = unknown, errors.Newf("status %d, outcome %s", r.status, r.outcome)
		case r.outcome == "not-run" && last != refused:
			// An earlier try may have run.
			last, why = unknown, errors.Newf("status %d, not run this time", r.status)
		case r.outcome == "not-run":
			why = errors.Newf("status %d, not run", r.status)
		default:
			last, why = unanswered, errors.Newf("status %d: %.80s", r.status, r.body)
		}
		if err == nil && r.outcome == "not-run" {
			x.counts.rejected()
		}
		if !x.sleep(ctx, 300*time.Millisecond) {
			return last, nil, why
		}
	}
}

// result is the answer to one try.
type result struct {
	status  int
	outcome string
	body    []byte
}

func (x *caller) once(ctx context.Context, method, path, key string) (result, error) {
	x.connect()
	ctx, cancel := context.WithTimeout(ctx, x.load.Deadline/2)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, x.url(path), nil)
	if err != nil {
		return result{}, err
	}
	r.Header.Set("Idempotency-Key", key)
	resp, err := x.client.Do(r)
	if err != nil {
		return result{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return result{status: resp.StatusCode, outcome: resp.Header.Get("Mangokeel-Outcome"), body: body}, err
}

// sleep waits for d. It returns false when ctx ended first.
func (x *caller) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
