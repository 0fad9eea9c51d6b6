package claim

import (
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"mangokeel"
	"mangokeel/internal/timer"
	"mangokeel/internal/wire"
)

// Sizes of the simulated fleet and faults. Probabilities are for each step of a
// request, each message and each delivery of a view.
const (
	simHosts    = 9
	simZones    = 3
	simKeys     = 2000
	simGap      = 100 * time.Millisecond
	simKill     = 0.0002
	simHarsh    = 0.001
	simFreeze   = 0.002
	simLoss     = 0.04
	simTwice    = 0.04
	simLate     = 0.01
	simLag      = 0.1
	simBlind    = 0.5
	simTimeout  = 300 * time.Millisecond
	simDeath    = 3 * time.Second
	simRehome   = 10 * time.Second
	simGiveUp   = 8 * time.Second
	simRestart  = 5 * time.Second
	simZoneOut  = 60 * time.Second
	simZoneBack = 10 * time.Second
)

// sim is a fleet of claimers and members in virtual time.
type sim struct {
	t        *timer.Virtual
	rng      *rand.Rand
	lifetime time.Duration
	hosts    []*host
	handles  uint32
	died     map[mangokeel.Handle]time.Time
	// home is the one that control accepted last.
	home    Home
	began   time.Time
	ready   map[uint32]bool
	changes int
	runs    map[Key][]run
	// twice counts keys that ran twice within the lifetime, lies outcomes that were
	// not true.
	requests, twice, lies int
	// kill is the probability of a kill. Harsh runs lose the majority of a home so
	// often that most claims are refused.
	kill  float64
	harsh bool
	// lag is the probability that a host sees a home late.
	lag      float64
	outcomes [Mismatch + 1]int
	// kills and freezes count faults by the step of a request.
	kills, freezes [steps]int
	// unfenced, uncopied and single switch off a rule, to see that the run needs it.
	unfenced, uncopied, single bool
	// out is the availability zone whose messages are dropped, or -1.
	out int
}

type run struct {
	id   AttemptID
	sent time.Time
}

// host is an agent; a restart gives it a new handle and an empty member.
type host struct {
	s       *sim
	zone    int
	self    mangokeel.Handle
	m       *Member
	up      bool
	life    int
	thaw    time.Time
	lagging time.Time
	home    Home
}

func newSim(seed uint64, lifetime time.Duration) *sim {
	s := &sim{
		t: timer.NewVirtual(time.Unix(0, 0)), rng: rand.New(rand.NewPCG(seed, 1)), lifetime: lifetime,
		died: map[mangokeel.Handle]time.Time{}, runs: map[Key][]run{}, out: -1, kill: simKill, harsh: seed%4 == 0, lag: simLag,
	}
	if seed%4 == 1 {
		s.lag = simBlind
	}
	if s.harsh {
		s.kill = simHarsh
	}
	for i := range simHosts {
		h := &host{s: s, zone: i % simZones}
		s.hosts = append(s.hosts, h)
		h.start()
	}
	s.publish(Home{Epoch: 1, Now: s.choose()})
	s.t.Every(200*time.Millisecond, func(time.Time) { s.tick() })
	s.t.Every(time.Second, func(time.Time) { s.control() })
	s.t.Every(10*time.Second, func(now time.Time) {
		for _, h := range s.hosts {
			h.m.Sweep(now)
		}
	})
	s.t.Every(simZoneOut, func(time.Time) { s.zoneOut() })
	return s
}

func (s *sim) chance(p float64) bool { return s.rng.Float64() < p }

func (s *sim) between(a, b time.Duration) time.Duration {
	return a + time.Duration(s.rng.Int64N(int64(b-a)))
}

func (h *host) start() {
	h.s.handles++
	h.self, h.up, h.home, h.thaw = mangokeel.Handle(h.s.handles), true, Home{}, time.Time{}
	h.m = NewMember(h.s.t.Now(), h.s.lifetime)
	h.see(h.s.home)
}

func (h *host) kill() {
	h.up = false
	h.life++
	h.s.died[h.self] = h.s.t.Now()
	h.s.t.After(h.s.between(time.Second, simRestart), func(time.Time) {
		if !h.up {
			h.start()
		}
	})
}

// do runs fn in the present life of the host, after a thaw if it is frozen.
func (h *host) do(fn func()) {
	life := h.life
	switch now := h.s.t.Now(); {
	case !h.up:
	case now.Before(h.thaw):
		h.s.t.After(h.thaw.Sub(now), func(time.Time) {
			if h.life == life {
				h.do(fn)
			}
		})
	default:
		fn()
	}
}

func (h *host) after(d time.Duration, fn func()) {
	life := h.life
	h.s.t.After(d, func(time.Time) {
		if h.life == life {
			h.do(fn)
		}
	})
}

// Steps of a request at which a fault may come.
const (
	beforeClaim = iota
	afterClaim
	beforeStart
	afterStart
	beforeAnswer
	beforeRecord
	steps
)

// fault kills or freezes the host at a step of a request, or does nothing.
func (h *host) fault(step int) {
	switch {
	case h.s.chance(h.s.kill):
		h.s.kills[step]++
		h.kill()
	case h.s.chance(simFreeze):
		h.s.freezes[step]++
		d := h.s.between(50*time.Millisecond, 10*time.Second)
		if h.s.harsh && h.s.chance(0.1) {
			d = h.s.lifetime / 3
		}
		h.thaw = h.s.t.Now().Add(d)
	}
}

// step is one step of a request: a fault may come before fn.
func (h *host) step(step int, fn func()) {
	h.fault(step)
	h.after(0, fn)
}

func (h *host) see(home Home) {
	if home.Epoch > h.home.Epoch {
		h.home = home
		h.m.SetHome(h.s.t.Now(), h.self, home)
		h.m.nextReady = h.m.nextReady || h.s.uncopied
	}
}

// publish delivers a new home to the hosts at different times.
func (s *sim) publish(home Home) {
	s.home, s.began, s.ready = home, s.t.Now(), map[uint32]bool{}
	s.changes++
	for _, h := range s.hosts {
		d := s.between(time.Millisecond, 500*time.Millisecond)
		if s.chance(s.lag) {
			d = s.between(time.Second, 30*time.Second)
			h.lagging = s.t.Now().Add(d)
		}
		h.after(d, func() { h.see(home) })
	}
}

// choose returns a roster of live hosts: one for each zone, or all in zones.
func (s *sim) choose() []uint32 {
	zones := map[mangokeel.Handle]mangokeel.AvailabilityZone{}
	names := []mangokeel.AvailabilityZone{"port-louis", "plaisance", "ebene"}
	all := s.chance(0.5)
	for _, i := range s.rng.Perm(simHosts) {
		h := s.hosts[i]
		known := 0
		for _, z := range zones {
			if z == names[h.zone] {
				known++
			}
		}
		if h.up && (all || known == 0) && h.zone != s.out {
			zones[h.self] = names[h.zone]
		}
	}
	return Roster(zones)
}

// control starts a change of the home when a member is gone and from time to time,
// and ends it when all new members are ready.
func (s *sim) control() {
	age := s.t.Now().Sub(s.began)
	if len(s.home.Next) == 0 {
		if age > simRehome || age > simDeath && s.missing(s.home.Now) {
			s.publish(Home{Epoch: s.home.Epoch + 1, Now: s.home.Now, Next: s.choose()})
		}
		return
	}
	for _, h := range s.hosts {
		h.do(func() {
			if h.m.ReadyEpoch(s.t.Now()) == s.home.Epoch {
				s.ready[uint32(h.self)] = true
			}
		})
	}
	waiting := slices.ContainsFunc(s.home.Next, func(h uint32) bool { return h != 0 && !s.ready[h] })
	switch {
	case !waiting:
		s.publish(Home{Epoch: s.home.Epoch + 1, Now: s.home.Next})
	case age > simGiveUp && s.missing(s.home.Next):
		s.publish(Home{Epoch: s.home.Epoch + 1, Now: s.home.Now, Next: s.choose()})
	}
}

func (s *sim) missing(roster []uint32) bool {
	return slices.ContainsFunc(roster, func(h uint32) bool { return h != 0 && !s.alive(mangokeel.Handle(h)) })
}

func (s *sim) alive(h mangokeel.Handle) bool {
	at, dead := s.died[h]
	return !dead || s.t.Now().Sub(at) < simDeath
}

// zoneOut cuts off a zone or kills its hosts, and brings it back.
func (s *sim) zoneOut() {
	zone := s.rng.IntN(simZones)
	if !s.harsh || s.chance(0.5) {
		s.out = zone
		s.t.After(simZoneBack, func(time.Time) { s.out = -1 })
		return
	}
	for _, h := range s.hosts {
		if h.zone == zone && h.up {
			h.kill()
		}
	}
}

// tick lets members copy, confirm and forget.
func (s *sim) tick() {
	for _, h := range s.hosts {
		h.do(func() {
			now := s.t.Now()
			if now.After(h.lagging) && h.zone != s.out {
				h.m.ConfirmView(now)
			}
			for _, r := range h.m.CopyRequests() {
				call(h, r.GetMember(), func(m *Member, now time.Time) *wire.CopyReply { return m.Copy(now, r) },
					func(reply *wire.CopyReply) { h.m.ApplyCopyReply(s.t.Now(), r, reply) })
			}
		})
	}
}

// call sends a message to a member and its reply back, over a network that loses,
// repeats and delays both.
func call[R any](from *host, member uint32, fn func(*Member, time.Time) R, back func(R)) {
	s := from.s
	i := slices.IndexFunc(s.hosts, func(h *host) bool { return uint32(h.self) == member })
	if i < 0 {
		return
	}
	to := s.hosts[i]
	s.send(from, to, func() {
		if s.unfenced {
			to.m.fence = 0
		}
		reply := fn(to.m, s.t.Now())
		s.send(to, from, func() { back(reply) })
	})
}

func (s *sim) send(from, to *host, fn func()) {
	n := 1
	if s.chance(simTwice) {
		n = 2
	}
	for range n {
		cut := from.zone != to.zone && (from.zone == s.out || to.zone == s.out)
		if s.chance(simLoss) || cut || !to.up {
			continue
		}
		d := s.between(time.Millisecond, 6*time.Millisecond)
		if s.chance(simLate) {
			d = s.between(10*time.Millisecond, 30*time.Second)
		}
		to.after(d, fn)
	}
}

// request is one submission of a key at a host.
func (h *host) request(k Key, hash Hash) {
	h.s.requests++
	h.step(beforeClaim, func() {
		c := New(h.s.t.Now(), h.s.lifetime, h.home, k, hash, h.self)
		sent := h.s.t.Now()
		done := false
		end := func(o Outcome) {
			if !done {
				done = true
				h.outcome(c, sent, o)
			}
		}
		for _, m := range c.Members() {
			call(h, uint32(m), func(m2 *Member, now time.Time) *wire.ClaimReply { return m2.Claim(now, c.Request(1, m)) },
				func(r *wire.ClaimReply) {
					o, ok := c.AddReply(m, r, h.s.alive)
					if ok {
						end(o)
					} else if h.s.single && r.GetVote() == wire.Vote_VOTE_GRANTED {
						end(Outcome{Verdict: Run, StartDeadline: c.startDeadline})
					}
				})
		}
		h.fault(afterClaim)
		h.after(simTimeout, func() {
			if !done {
				end(c.Finish(h.s.alive))
			}
		})
	})
}

func (h *host) outcome(c *Claim, sent time.Time, o Outcome) {
	s := h.s
	s.outcomes[o.Verdict]++
	rs := s.runs[c.Key]
	if o.Verdict == Stored && !slices.ContainsFunc(rs, func(r run) bool { return slices.Equal(r.id[:], o.Answer.GetBody()) }) {
		s.lies++
	}
	if o.Verdict == Ran && len(rs) == 0 {
		s.lies++
	}
	if o.Verdict != Run {
		h.withdraw(c)
		return
	}
	h.step(beforeStart, func() {
		switch {
		case s.t.Now().After(o.StartDeadline) || s.chance(0.02):
			// Too late, or the target refuses.
			h.withdraw(c)
		default:
			h.run(c, sent)
		}
	})
}

// run starts the request, and records its end if the host still lives.
func (h *host) run(c *Claim, sent time.Time) {
	s := h.s
	for _, r := range s.runs[c.Key] {
		if sent.Sub(r.sent).Abs() < s.lifetime {
			s.twice++
		}
	}
	s.runs[c.Key] = append(s.runs[c.Key], run{c.ID, sent})
	h.fault(afterStart)
	h.after(s.between(5*time.Millisecond, 2*time.Second), func() {
		h.step(beforeAnswer, func() {
			a := &wire.Attempt{Id: c.ID[:], Hash: c.Hash[:], Owner: uint32(h.self), Progress: wire.Progress_PROGRESS_ANSWERED}
			a.Answer = &wire.Answer{Status: 200, Body: c.ID[:]}
			if s.chance(0.05) {
				a.Progress, a.Answer = wire.Progress_PROGRESS_LOST, nil
			}
			h.step(beforeRecord, func() { h.record(c, a) })
		})
	})
}

// everywhere sends to the members of the claim and of the present home, three
// times.
func (h *host) everywhere(c *Claim, send func(m uint32)) {
	for _, d := range []time.Duration{0, time.Second, 5 * time.Second} {
		h.after(d, func() {
			ms := slices.Clone(c.Members())
			ms = append(append(ms, Members(h.home.Now, c.Key)...), Members(h.home.Next, c.Key)...)
			slices.Sort(ms)
			for _, m := range slices.Compact(ms) {
				send(uint32(m))
			}
		})
	}
}

func (h *host) withdraw(c *Claim) {
	h.everywhere(c, func(m uint32) {
		r := &wire.WithdrawRequest{Member: m, Key: c.Key[:], Id: c.ID[:]}
		call(h, m, func(m *Member, now time.Time) *wire.WithdrawReply { return m.Withdraw(now, r) }, func(*wire.WithdrawReply) {})
	})
}

func (h *host) record(c *Claim, a *wire.Attempt) {
	h.everywhere(c, func(m uint32) {
		r := &wire.RecordRequest{Member: m, Key: c.Key[:], Attempt: a}
		call(h, m, func(m *Member, now time.Time) *wire.RecordReply { return m.Record(now, r) }, func(*wire.RecordReply) {})
	})
}

// play submits all keys, some of them several times at once or later, and some
// with another content.
func (s *sim) play() {
	for i := range simKeys {
		k := KeyOf(1, string(rune(i)))
		for {
			h := s.hosts[s.rng.IntN(simHosts)]
			hash := Hash{1}
			if s.chance(0.02) {
				hash = Hash{2}
			}
			delay := s.between(0, 10*time.Millisecond)
			if s.chance(0.5) {
				delay = s.between(0, 5*time.Second)
			}
			s.t.After(delay, func(time.Time) { h.do(func() { h.request(k, hash) }) })
			if s.chance(0.6) {
				break
			}
		}
		s.t.Advance(simGap)
	}
	s.t.Advance(time.Minute)
}

// total sums the results of seeds first to last, of which four run at a time.
func total(t *testing.T, first, last uint64, set func(*sim)) (sum sim, ran int) {
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(4)
	for seed := first; seed <= last; seed++ {
		g.Go(func() error {
			lifetime := DefaultLifetime
			if seed%3 == 0 {
				lifetime = 20 * time.Second
			}
			s := newSim(seed, lifetime)
			set(s)
			s.play()
			mu.Lock()
			defer mu.Unlock()
			if s.twice > 0 {
				t.Logf("seed %d: %d keys ran twice", seed, s.twice)
			}
			sum.add(s)
			ran += len(s.runs)
			return nil
		})
	}
	_ = g.Wait()
	return sum, ran
}

func (s *sim) add(o *sim) {
	s.requests += o.requests
	s.twice += o.twice
	s.lies += o.lies
	s.changes += o.changes
	s.handles += o.handles - simHosts
	for v, n := range o.outcomes {
		s.outcomes[v] += n
	}
	for i := range steps {
		s.kills[i] += o.kills[i]
		s.freezes[i] += o.freezes[i]
	}
	for _, h := range o.hosts {
		s.lies += int(h.m.Conflicts)
	}
}

// Guards against two runs of one key, and outcomes that are not true, when agents
// are killed or frozen at each step of a request, messages are lost, repeated and
// late, members restart empty, homes change, views lag and zones go out.
func TestAtMostOnce(t *testing.T) {
	c := qt.New(t)
	const seeds = 32
	sum, ran := total(t, 1, seeds, func(*sim) {})
	t.Logf("%d requests of %d keys, %d keys ran, %d twice, %d untrue outcomes, %d home changes, %d restarts; outcomes (not-run run stored ran running unknown mismatch) %v",
		sum.requests, seeds*simKeys, ran, sum.twice, sum.lies, sum.changes, sum.handles, sum.outcomes)
	t.Logf("by step (before claim, after claim, before start, after start, before answer, before record): kills %v freezes %v", sum.kills, sum.freezes)
	c.Check(sum.requests >= 100_000, qt.IsTrue)
	for i := range steps {
		c.Check(sum.kills[i] > 0 && sum.freezes[i] > 0, qt.IsTrue)
	}
	c.Check(sum.twice, qt.Equals, 0)
	c.Check(sum.lies, qt.Equals, 0)
	// Rules that refuse everything would pass the checks above.
	c.Check(ran > seeds*simKeys/2, qt.IsTrue)
}

// Shows that the run above finds what happens without each of the rules.
func TestAtMostOnceNeedsItsRules(t *testing.T) {
	c := qt.New(t)
	sum, _ := total(t, 1, 6, func(s *sim) { s.unfenced = true })
	t.Logf("without fencing: %d of %d requests ran a key again", sum.twice, sum.requests)
	c.Check(sum.twice > 0, qt.IsTrue)
	sum, _ = total(t, 1, 4, func(s *sim) { s.uncopied = true })
	t.Logf("without copies: %d of %d requests ran a key again", sum.twice, sum.requests)
	c.Check(sum.twice > 0, qt.IsTrue)
	sum, _ = total(t, 1, 1, func(s *sim) { s.single = true })
	t.Logf("without a majority: %d of %d requests ran a key again", sum.twice, sum.requests)
	c.Check(sum.twice > 0, qt.IsTrue)
}
