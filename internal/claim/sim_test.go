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

// Sizes, fault rates and times of the simulation. A rate is a probability: of kills and
// freezes for each step of a request, of loss, duplicates and delays for each message, and
// of view lag for each delivery of a home to a host.
const (
	simHosts              = 9
	simZones              = 3
	simKeyCount           = 2000
	simKeyInterval        = 100 * time.Millisecond
	simKillRate           = 0.0002
	simHighKillRate       = 0.001
	simFreezeRate         = 0.002
	simLossRate           = 0.04
	simDuplicateRate      = 0.04
	simDelayRate          = 0.01
	simViewLagRate        = 0.1
	simHighViewLagRate    = 0.5
	simClaimTimeout       = 300 * time.Millisecond
	simDeathDetection     = 3 * time.Second
	simRehomeInterval     = 10 * time.Second
	simJointTimeout       = 8 * time.Second
	simMaxRestartDelay    = 5 * time.Second
	simZoneOutageInterval = 60 * time.Second
	simZoneOutageDuration = 10 * time.Second
)

// sim simulates a fleet of claimers and members, and control, in virtual time.
type sim struct {
	timers     *timer.Virtual
	rng        *rand.Rand
	lifetime   time.Duration
	hosts      []*host
	lastHandle uint32
	diedAt     map[mangokeel.Handle]time.Time
	// home is the current home at control, ready the members of home.Next that are ready.
	home        Home
	homeSince   time.Time
	ready       map[uint32]bool
	homeChanges int
	runs        map[Key][]run
	// doubleRuns counts pairs of runs of one key within the lifetime. falseOutcomes counts
	// outcomes that contradict the runs, and conflicts that members saw.
	requests, doubleRuns, falseOutcomes int
	// highKillRate marks simulations with simHighKillRate, which lose the majority of a
	// home so often that most claims are refused.
	killRate     float64
	highKillRate bool
	// viewLagRate is the probability that a host gets a new home late.
	viewLagRate float64
	outcomes    [Mismatch + 1]int
	// kills and freezes count faults by the step of a request.
	kills, freezes [steps]int
	// noFencing, noCopying and noMajority disable a rule, to check that the simulation
	// detects its absence.
	noFencing, noCopying, noMajority bool
	// outZone is the availability zone whose messages are dropped, or -1.
	outZone int
}

// run is one run of a request; sent is when its claim was sent.
type run struct {
	id   AttemptID
	sent time.Time
}

// host is an agent. A restart gives it a new handle and an empty member.
type host struct {
	s      *sim
	zone   int
	self   mangokeel.Handle
	member *Member
	up     bool
	// incarnation counts the restarts; events of earlier incarnations are dropped.
	incarnation   int
	frozenUntil   time.Time
	viewLagsUntil time.Time
	home          Home
}

// newSim returns a simulation whose random choices but the attempt IDs depend only on the
// seed. One in four seeds has a high kill rate, another one in four a high rate of view lag.
func newSim(seed uint64, lifetime time.Duration) *sim {
	s := &sim{
		timers: timer.NewVirtual(time.Unix(0, 0)), rng: rand.New(rand.NewPCG(seed, 1)), lifetime: lifetime,
		diedAt: map[mangokeel.Handle]time.Time{}, runs: map[Key][]run{}, outZone: -1, killRate: simKillRate, highKillRate: seed%4 == 0, viewLagRate: simViewLagRate,
	}
	if seed%4 == 1 {
		s.viewLagRate = simHighViewLagRate
	}
	if s.highKillRate {
		s.killRate = simHighKillRate
	}
	for i := range simHosts {
		h := &host{s: s, zone: i % simZones}
		s.hosts = append(s.hosts, h)
		h.start()
	}
	s.publish(Home{Epoch: 1, Now: s.chooseRoster()})
	s.timers.Every(200*time.Millisecond, func(time.Time) { s.stepMembers() })
	s.timers.Every(time.Second, func(time.Time) { s.stepControl() })
	s.timers.Every(10*time.Second, func(now time.Time) {
		for _, h := range s.hosts {
			h.member.Sweep(now)
		}
	})
	s.timers.Every(simZoneOutageInterval, func(time.Time) { s.startZoneOutage() })
	return s
}

// randomBool returns true with probability p.
func (s *sim) randomBool(p float64) bool { return s.rng.Float64() < p }

// randomDuration returns a duration of at least a and less than b.
func (s *sim) randomDuration(a, b time.Duration) time.Duration {
	return a + time.Duration(s.rng.Int64N(int64(b-a)))
}

// start starts the host with a new handle and an empty member.
func (h *host) start() {
	h.s.lastHandle++
	h.self, h.up, h.home, h.frozenUntil = mangokeel.Handle(h.s.lastHandle), true, Home{}, time.Time{}
	h.member = NewMember(h.s.timers.Now(), h.s.lifetime)
	h.applyHome(h.s.home)
}

// kill stops the host and schedules its restart.
func (h *host) kill() {
	h.up = false
	h.incarnation++
	h.s.diedAt[h.self] = h.s.timers.Now()
	h.s.timers.After(h.s.randomDuration(time.Second, simMaxRestartDelay), func(time.Time) {
		if !h.up {
			h.start()
		}
	})
}

// runWhenActive runs fn at once, or at the end of a freeze. It drops fn if the host is down
// or restarts before that.
func (h *host) runWhenActive(fn func()) {
	incarnation := h.incarnation
	switch now := h.s.timers.Now(); {
	case !h.up:
	case now.Before(h.frozenUntil):
		h.s.timers.After(h.frozenUntil.Sub(now), func(time.Time) {
			if h.incarnation == incarnation {
				h.runWhenActive(fn)
			}
		})
	default:
		fn()
	}
}

// runAfter runs fn after d as runWhenActive does.
func (h *host) runAfter(d time.Duration, fn func()) {
	incarnation := h.incarnation
	h.s.timers.After(d, func(time.Time) {
		if h.incarnation == incarnation {
			h.runWhenActive(fn)
		}
	})
}

// Steps of a request at which a fault may be injected.
const (
	beforeClaim = iota
	afterClaim
	beforeStart
	afterStart
	beforeAnswer
	beforeRecord
	steps
)

// injectFault kills or freezes the host at a step of a request with their probabilities.
func (h *host) injectFault(step int) {
	switch {
	case h.s.randomBool(h.s.killRate):
		h.s.kills[step]++
		h.kill()
	case h.s.randomBool(simFreezeRate):
		h.s.freezes[step]++
		d := h.s.randomDuration(50*time.Millisecond, 10*time.Second)
		if h.s.highKillRate && h.s.randomBool(0.1) {
			d = h.s.lifetime / 3
		}
		h.frozenUntil = h.s.timers.Now().Add(d)
	}
}

// runStep may inject a fault and then runs fn as one step of a request.
func (h *host) runStep(step int, fn func()) {
	h.injectFault(step)
	h.runAfter(0, fn)
}

// applyHome sets the home at the host if it is newer than the host's.
func (h *host) applyHome(home Home) {
	if home.Epoch > h.home.Epoch {
		h.home = home
		h.member.SetHome(h.s.timers.Now(), h.self, home)
		h.member.nextReady = h.member.nextReady || h.s.noCopying
	}
}

// publish sets the home at control and delivers it to the hosts at different times.
func (s *sim) publish(home Home) {
	s.home, s.homeSince, s.ready = home, s.timers.Now(), map[uint32]bool{}
	s.homeChanges++
	for _, h := range s.hosts {
		d := s.randomDuration(time.Millisecond, 500*time.Millisecond)
		if s.randomBool(s.viewLagRate) {
			d = s.randomDuration(time.Second, 30*time.Second)
			h.viewLagsUntil = s.timers.Now().Add(d)
		}
		h.runAfter(d, func() { h.applyHome(home) })
	}
}

// chooseRoster returns a roster of the running hosts in reachable zones: at random either
// all of them or one for each zone.
func (s *sim) chooseRoster() []uint32 {
	zones := map[mangokeel.Handle]mangokeel.AvailabilityZone{}
	names := []mangokeel.AvailabilityZone{"port-louis", "plaisance", "ebene"}
	all := s.randomBool(0.5)
	for _, i := range s.rng.Perm(simHosts) {
		h := s.hosts[i]
		known := 0
		for _, z := range zones {
			if z == names[h.zone] {
				known++
			}
		}
		if h.up && (all || known == 0) && h.zone != s.outZone {
			zones[h.self] = names[h.zone]
		}
	}
	return Roster(zones)
}

// stepControl starts a change of the home when a member has died or simRehomeInterval has
// passed, and ends it when all new members are ready. If one of them has died, it chooses
// another next roster after simJointTimeout.
func (s *sim) stepControl() {
	age := s.timers.Now().Sub(s.homeSince)
	if len(s.home.Next) == 0 {
		if age > simRehomeInterval || age > simDeathDetection && s.anyMissing(s.home.Now) {
			s.publish(Home{Epoch: s.home.Epoch + 1, Now: s.home.Now, Next: s.chooseRoster()})
		}
		return
	}
	for _, h := range s.hosts {
		h.runWhenActive(func() {
			if h.member.ReadyEpoch(s.timers.Now()) == s.home.Epoch {
				s.ready[uint32(h.self)] = true
			}
		})
	}
	waiting := slices.ContainsFunc(s.home.Next, func(h uint32) bool { return h != 0 && !s.ready[h] })
	switch {
	case !waiting:
		s.publish(Home{Epoch: s.home.Epoch + 1, Now: s.home.Next})
	case age > simJointTimeout && s.anyMissing(s.home.Next):
		s.publish(Home{Epoch: s.home.Epoch + 1, Now: s.home.Now, Next: s.chooseRoster()})
	}
}

// anyMissing reports whether any agent of a roster is known to have died.
func (s *sim) anyMissing(roster []uint32) bool {
	return slices.ContainsFunc(roster, func(h uint32) bool { return h != 0 && !s.alive(mangokeel.Handle(h)) })
}

// alive reports whether an agent is in control's roster, which it leaves
// simDeathDetection after its death.
func (s *sim) alive(h mangokeel.Handle) bool {
	at, dead := s.diedAt[h]
	return !dead || s.timers.Now().Sub(at) < simDeathDetection
}

// startZoneOutage disconnects a random zone for simZoneOutageDuration or, in half of the
// cases with a high kill rate, kills its hosts.
func (s *sim) startZoneOutage() {
	zone := s.rng.IntN(simZones)
	if !s.highKillRate || s.randomBool(0.5) {
		s.outZone = zone
		s.timers.After(simZoneOutageDuration, func(time.Time) { s.outZone = -1 })
		return
	}
	for _, h := range s.hosts {
		if h.zone == zone && h.up {
			h.kill()
		}
	}
}

// stepMembers confirms the views of the members and sends their copy requests.
func (s *sim) stepMembers() {
	for _, h := range s.hosts {
		h.runWhenActive(func() {
			now := s.timers.Now()
			if now.After(h.viewLagsUntil) && h.zone != s.outZone {
				h.member.ConfirmView(now)
			}
			for _, r := range h.member.CopyRequests() {
				callMember(h, r.GetMember(), func(m *Member, now time.Time) *wire.CopyReply { return m.Copy(now, r) },
					func(reply *wire.CopyReply) { h.member.ApplyCopyReply(s.timers.Now(), r, reply) })
			}
		})
	}
}

// callMember calls a member over a network that loses, duplicates and delays requests and
// replies. back gets the reply.
func callMember[R any](from *host, member uint32, fn func(*Member, time.Time) R, back func(R)) {
	s := from.s
	i := slices.IndexFunc(s.hosts, func(h *host) bool { return uint32(h.self) == member })
	if i < 0 {
		return
	}
	to := s.hosts[i]
	s.send(from, to, func() {
		if s.noFencing {
			to.member.fence = 0
		}
		reply := fn(to.member, s.timers.Now())
		s.send(to, from, func() { back(reply) })
	})
}

// send sends a message between two hosts; fn runs at the receiver each time it arrives.
func (s *sim) send(from, to *host, fn func()) {
	n := 1
	if s.randomBool(simDuplicateRate) {
		n = 2
	}
	for range n {
		disconnected := from.zone != to.zone && (from.zone == s.outZone || to.zone == s.outZone)
		if s.randomBool(simLossRate) || disconnected || !to.up {
			continue
		}
		d := s.randomDuration(time.Millisecond, 6*time.Millisecond)
		if s.randomBool(simDelayRate) {
			d = s.randomDuration(10*time.Millisecond, 30*time.Second)
		}
		to.runAfter(d, fn)
	}
}

// submit submits a request with a key at the host.
func (h *host) submit(k Key, hash Hash) {
	h.s.requests++
	h.runStep(beforeClaim, func() {
		c := New(h.s.timers.Now(), h.s.lifetime, h.home, k, hash, h.self)
		sent := h.s.timers.Now()
		done := false
		end := func(o Outcome) {
			if !done {
				done = true
				h.handleOutcome(c, sent, o)
			}
		}
		for _, m := range c.Members() {
			callMember(h, uint32(m), func(member *Member, now time.Time) *wire.ClaimReply { return member.Claim(now, c.Request(1, m)) },
				func(r *wire.ClaimReply) {
					o, ok := c.AddReply(m, r, h.s.alive)
					if ok {
						end(o)
					} else if h.s.noMajority && r.GetVote() == wire.Vote_VOTE_GRANTED {
						end(Outcome{Verdict: Run, StartDeadline: c.startDeadline})
					}
				})
		}
		h.injectFault(afterClaim)
		h.runAfter(simClaimTimeout, func() {
			if !done {
				end(c.Finish(h.s.alive))
			}
		})
	})
}

// handleOutcome checks an outcome against the runs so far, then starts or withdraws the
// request.
func (h *host) handleOutcome(c *Claim, sent time.Time, o Outcome) {
	s := h.s
	s.outcomes[o.Verdict]++
	rs := s.runs[c.Key]
	if o.Verdict == Stored && !slices.ContainsFunc(rs, func(r run) bool { return slices.Equal(r.id[:], o.Answer.GetBody()) }) {
		s.falseOutcomes++
	}
	if o.Verdict == Ran && len(rs) == 0 {
		s.falseOutcomes++
	}
	if o.Verdict != Run {
		h.withdraw(c)
		return
	}
	h.runStep(beforeStart, func() {
		switch {
		case s.timers.Now().After(o.StartDeadline) || s.randomBool(0.02):
			// The deadline has passed, or the target refuses the request.
			h.withdraw(c)
		default:
			h.startRequest(c, sent)
		}
	})
}

// startRequest runs the request and records its end unless the host is killed before.
func (h *host) startRequest(c *Claim, sent time.Time) {
	s := h.s
	for _, r := range s.runs[c.Key] {
		if sent.Sub(r.sent).Abs() < s.lifetime {
			s.doubleRuns++
		}
	}
	s.runs[c.Key] = append(s.runs[c.Key], run{c.ID, sent})
	h.injectFault(afterStart)
	h.runAfter(s.randomDuration(5*time.Millisecond, 2*time.Second), func() {
		h.runStep(beforeAnswer, func() {
			a := &wire.Attempt{Id: c.ID[:], Hash: c.Hash[:], Owner: uint32(h.self), Progress: wire.Progress_PROGRESS_ANSWERED}
			a.Answer = &wire.Answer{Status: 200, Body: c.ID[:]}
			if s.randomBool(0.05) {
				a.Progress, a.Answer = wire.Progress_PROGRESS_LOST, nil
			}
			h.runStep(beforeRecord, func() { h.record(c, a) })
		})
	})
}

// notifyMembers sends a message three times to the members of the claim and to those of the
// current home.
func (h *host) notifyMembers(c *Claim, send func(m uint32)) {
	for _, d := range []time.Duration{0, time.Second, 5 * time.Second} {
		h.runAfter(d, func() {
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
	h.notifyMembers(c, func(m uint32) {
		r := &wire.WithdrawRequest{Member: m, Key: c.Key[:], Id: c.ID[:]}
		callMember(h, m, func(m *Member, now time.Time) *wire.WithdrawReply { return m.Withdraw(now, r) }, func(*wire.WithdrawReply) {})
	})
}

func (h *host) record(c *Claim, a *wire.Attempt) {
	h.notifyMembers(c, func(m uint32) {
		r := &wire.RecordRequest{Member: m, Key: c.Key[:], Attempt: a}
		callMember(h, m, func(m *Member, now time.Time) *wire.RecordReply { return m.Record(now, r) }, func(*wire.RecordReply) {})
	})
}

// submitAll submits all keys, some of them repeatedly within 10 ms or 5 s, and some with a
// different hash.
func (s *sim) submitAll() {
	for i := range simKeyCount {
		k := KeyOf(1, string(rune(i)))
		for {
			h := s.hosts[s.rng.IntN(simHosts)]
			hash := Hash{1}
			if s.randomBool(0.02) {
				hash = Hash{2}
			}
			delay := s.randomDuration(0, 10*time.Millisecond)
			if s.randomBool(0.5) {
				delay = s.randomDuration(0, 5*time.Second)
			}
			s.timers.After(delay, func(time.Time) { h.runWhenActive(func() { h.submit(k, hash) }) })
			if s.randomBool(0.6) {
				break
			}
		}
		s.timers.Advance(simKeyInterval)
	}
	s.timers.Advance(time.Minute)
}

// runSeeds simulates the seeds from first to last, four at a time. configure is called
// before the first request of each. It returns the sums of the results and of the keys that
// ran.
func runSeeds(t *testing.T, first, last uint64, configure func(*sim)) (sum sim, ran int) {
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
			configure(s)
			s.submitAll()
			mu.Lock()
			defer mu.Unlock()
			if s.doubleRuns > 0 {
				t.Logf("seed %d: %d double runs", seed, s.doubleRuns)
			}
			sum.add(s)
			ran += len(s.runs)
			return nil
		})
	}
	_ = g.Wait()
	return sum, ran
}

// add adds the results of o.
func (s *sim) add(o *sim) {
	s.requests += o.requests
	s.doubleRuns += o.doubleRuns
	s.falseOutcomes += o.falseOutcomes
	s.homeChanges += o.homeChanges
	s.lastHandle += o.lastHandle - simHosts
	for v, n := range o.outcomes {
		s.outcomes[v] += n
	}
	for i := range steps {
		s.kills[i] += o.kills[i]
		s.freezes[i] += o.freezes[i]
	}
	for _, h := range o.hosts {
		s.falseOutcomes += int(h.member.Conflicts)
	}
}

// Guards against two runs of one key and against false outcomes while agents are killed or
// frozen at each step of a request, messages are lost, duplicated and delayed, members
// restart empty, homes change, views lag and availability zones fail.
func TestAtMostOnce(t *testing.T) {
	c := qt.New(t)
	const seeds = 32
	sum, ran := runSeeds(t, 1, seeds, func(*sim) {})
	t.Logf("%d requests of %d keys, %d keys ran, %d double runs, %d false outcomes, %d home changes, %d restarts; outcomes (not-run run stored ran running unknown mismatch) %v",
		sum.requests, seeds*simKeyCount, ran, sum.doubleRuns, sum.falseOutcomes, sum.homeChanges, sum.lastHandle, sum.outcomes)
	t.Logf("by step (before claim, after claim, before start, after start, before answer, before record): kills %v freezes %v", sum.kills, sum.freezes)
	c.Check(sum.requests >= 100_000, qt.IsTrue)
	for i := range steps {
		c.Check(sum.kills[i] > 0 && sum.freezes[i] > 0, qt.IsTrue)
	}
	c.Check(sum.doubleRuns, qt.Equals, 0)
	c.Check(sum.falseOutcomes, qt.Equals, 0)
	// Without this check, refusing all requests would pass.
	c.Check(ran > seeds*simKeyCount/2, qt.IsTrue)
}

// Checks that the simulation of TestAtMostOnce detects double runs when fencing, copying or
// the majority is disabled.
func TestAtMostOnceNeedsItsRules(t *testing.T) {
	c := qt.New(t)
	sum, _ := runSeeds(t, 1, 6, func(s *sim) { s.noFencing = true })
	t.Logf("without fencing: %d double runs in %d requests", sum.doubleRuns, sum.requests)
	c.Check(sum.doubleRuns > 0, qt.IsTrue)
	sum, _ = runSeeds(t, 1, 4, func(s *sim) { s.noCopying = true })
	t.Logf("without copies: %d double runs in %d requests", sum.doubleRuns, sum.requests)
	c.Check(sum.doubleRuns > 0, qt.IsTrue)
	sum, _ = runSeeds(t, 1, 1, func(s *sim) { s.noMajority = true })
	t.Logf("without a majority: %d double runs in %d requests", sum.doubleRuns, sum.requests)
	c.Check(sum.doubleRuns > 0, qt.IsTrue)
}
