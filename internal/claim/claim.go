// Package claim ensures that a request with an idempotency key runs at most once.
//
// The agents that hold the claims of a service are its home. Three of them, chosen by
// a hash of the key, are the members for one key. Before an agent runs a request, it
// makes a Claim, sends it to these members and passes it their replies until it has
// an Outcome:
//
//	c := claim.New(now, lifetime, home, key, hash, owner)
//	for _, h := range c.Members() { send(h, c.Request(service, h)) }
//	o, ok := c.AddReply(from, reply, alive)
//
// A request may start only with the verdict Run, and only until Outcome.StartDeadline.
// A Member votes on claims and stores them. Claim and Member do no I/O and read no
// clock; a Manager drives both for one agent over package jsonrpc.
//
// A change of the home takes two steps, as in joint consensus. While the home is joint,
// a claim needs a majority in both the old and the new home, and the new members copy
// the claims of the old ones. Section 6.2 of docs/design.md argues why no key runs
// twice.
package claim

import (
	"cmp"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangokeel"
	"mangokeel/internal/wire"
)

// DefaultLifetime is how long claims on a key are kept if the service's settings don't
// set a lifetime.
const DefaultLifetime = 10 * time.Minute

// membersPerKey is the number of agents that hold the claims on one key.
const membersPerKey = 3

// Key is a hash of a service and an idempotency key.
type Key [16]byte

// KeyOf returns the Key of an idempotency key of a service.
func KeyOf(service mangokeel.ServiceID, key string) Key {
	b := binary.BigEndian.AppendUint32(nil, uint32(service))
	sum := sha256.Sum256(append(b, key...))
	return Key(sum[:16])
}

// Hash is a hash of a request's method, path and body. It detects a key that is reused
// for another request.
type Hash [16]byte

// HashOf returns the hash of a request.
func HashOf(method, path string, body []byte) Hash {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write(part)
	}
	return Hash(h.Sum(nil)[:16])
}

// AttemptID identifies one attempt to run a request.
type AttemptID [16]byte

// NewAttemptID returns a random ID.
func NewAttemptID() AttemptID {
	var id AttemptID
	// rand.Read never returns an error.
	_, _ = rand.Read(id[:])
	return id
}

// Home is the set of agents that hold a service's claims. Its rosters list handles
// grouped by availability zone, with a zero between two zones.
type Home struct {
	// Epoch increases with each change of the home.
	Epoch uint64
	// Now is the current roster.
	Now []uint32
	// Next is the roster that replaces Now. It is empty unless the home is joint.
	Next []uint32
}

// HomeOf converts the home in a service's record.
func HomeOf(h *wire.Home) Home {
	return Home{Epoch: h.GetEpoch(), Now: h.GetNow(), Next: h.GetNext()}
}

// Roster returns the home roster for wire.Rehome of agents with the given availability
// zones. Its order is deterministic.
func Roster(zones map[mangokeel.Handle]mangokeel.AvailabilityZone) []uint32 {
	handles := make([]mangokeel.Handle, 0, len(zones))
	for h := range zones {
		handles = append(handles, h)
	}
	slices.SortFunc(handles, func(a, b mangokeel.Handle) int {
		return cmp.Or(cmp.Compare(zones[a], zones[b]), cmp.Compare(a, b))
	})
	var roster []uint32
	for i, h := range handles {
		if i > 0 && zones[h] != zones[handles[i-1]] {
			roster = append(roster, 0)
		}
		roster = append(roster, uint32(h))
	}
	return roster
}

// candidate is an agent of a roster with its rendezvous score for a key. zone numbers
// the zones in roster order.
type candidate struct {
	handle uint32
	zone   int
	score  uint64
}

// Members returns the agents of a roster that hold a key: up to three, chosen by
// rendezvous hashing and spread over as many availability zones as possible. The result
// depends only on the arguments, so all claimers choose the same agents. In a roster
// without separators each handle counts as a zone of its own.
func Members(roster []uint32, k Key) []mangokeel.Handle {
	cs := candidates(roster, k)
	slices.SortFunc(cs, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	chosen := make([]candidate, 0, membersPerKey)
	for _, anyZone := range []bool{false, true} {
		for _, c := range cs {
			excluded := slices.ContainsFunc(chosen, func(o candidate) bool {
				return o.handle == c.handle || !anyZone && o.zone == c.zone
			})
			if !excluded && len(chosen) < membersPerKey {
				chosen = append(chosen, c)
			}
		}
	}
	handles := make([]mangokeel.Handle, len(chosen))
	for i, c := range chosen {
		handles[i] = mangokeel.Handle(c.handle)
	}
	return handles
}

// candidates returns all agents of a roster in roster order, scored for a key.
func candidates(roster []uint32, k Key) []candidate {
	unzoned := !slices.Contains(roster, 0)
	cs := make([]candidate, 0, len(roster))
	zone := 0
	b := make([]byte, len(k)+4)
	copy(b, k[:])
	for _, h := range roster {
		if h == 0 || unzoned {
			zone++
		}
		if h != 0 {
			binary.BigEndian.PutUint32(b[len(k):], h)
			cs = append(cs, candidate{h, zone, xxhash.Sum64(b)})
		}
	}
	return cs
}

// Verdict states whether a claimer may run its request or what became of another attempt
// at it.
type Verdict int

// Verdicts of a claim.
const (
	// NotRun means that the request must not start and that no member reported another
	// attempt.
	NotRun Verdict = iota
	// Run means that the request may start.
	Run
	// Stored means that the request has run and its answer is stored.
	Stored
	// Ran means that the request has run but its answer was not kept.
	Ran
	// Running means that another attempt may be running.
	Running
	// Unknown means that another attempt may have run and that its agent has left or
	// doesn't know the result.
	Unknown
	// Mismatch means that the key was used for a request with another hash.
	Mismatch
)

// String returns the verdict's name as used in metrics.
func (v Verdict) String() string {
	return [...]string{"not-run", "run", "stored", "ran", "running", "unknown", "mismatch"}[v]
}

// Outcome is the result of a claim. Unless its verdict is Run, the claim must be
// withdrawn from its members.
type Outcome struct {
	Verdict Verdict
	// With Run, StartDeadline is the latest time at which the request may start and
	// EndDeadline the time by which it must end. Members keep the claim for longer.
	StartDeadline, EndDeadline time.Time
	// Answer is set with Stored.
	Answer *wire.Answer
	// Fenced is set if a member rejected the claim because it knows a newer home.
	Fenced bool
	// SplitVote is set if there are other attempts but none is known to have a majority
	// or to have ended, so that a retry may succeed.
	SplitVote bool
}

// Claim is one attempt to run a request, at the agent that makes it.
type Claim struct {
	Key      Key
	ID       AttemptID
	Hash     Hash
	Owner    mangokeel.Handle
	home     Home
	lifetime time.Duration
	// startDeadline and endDeadline are a quarter and three quarters of the lifetime
	// after New.
	startDeadline, endDeadline time.Time
	// memberSets are the sets of members that must each give a majority: one, or two
	// while the home is joint.
	memberSets [][]mangokeel.Handle
	// members is the union of memberSets.
	members []mangokeel.Handle
	// votes has an entry for each member that replied or failed to reply.
	votes map[mangokeel.Handle]wire.Vote
	// competing has the other attempts at the key that members reported.
	competing map[AttemptID]*competingAttempt
	// decided is set once and stays set, so that a late vote can't start a request that
	// was refused.
	decided bool
}

// competingAttempt is another attempt at the same key.
type competingAttempt struct {
	*wire.Attempt
	// reporters are the members that reported the attempt.
	reporters []mangokeel.Handle
}

// New returns a claim that the agent with handle owner makes at time now. The lifetime
// is the claim lifetime in the service's settings.
func New(now time.Time, lifetime time.Duration, home Home, k Key, hash Hash, owner mangokeel.Handle) *Claim {
	c := &Claim{
		Key: k, ID: NewAttemptID(), Hash: hash, Owner: owner, home: home, lifetime: lifetime,
		startDeadline: now.Add(lifetime / 4),
		endDeadline:   now.Add(lifetime * 3 / 4),
		votes:         map[mangokeel.Handle]wire.Vote{},
		competing:     map[AttemptID]*competingAttempt{},
	}
	for _, roster := range [][]uint32{home.Now, home.Next} {
		if len(roster) == 0 {
			continue
		}
		set := Members(roster, k)
		c.memberSets = append(c.memberSets, set)
		for _, h := range set {
			if !slices.Contains(c.members, h) {
				c.members = append(c.members, h)
			}
		}
	}
	return c
}

// Members returns the handles of the agents to send the claim to.
func (c *Claim) Members() []mangokeel.Handle { return c.members }

// Request returns the message to send to one member.
func (c *Claim) Request(service mangokeel.ServiceID, member mangokeel.Handle) *wire.ClaimRequest {
	return &wire.ClaimRequest{
		Service: uint32(service), Member: uint32(member), Epoch: c.home.Epoch,
		Key: c.Key[:], Id: c.ID[:], Hash: c.Hash[:], Owner: uint32(c.Owner),
		LifeMs: uint32(c.lifetime.Milliseconds()),
	}
}

// AddReply adds a member's reply, or nil if the member failed to reply. It returns the
// outcome and true as soon as the claim is decided. alive reports whether an agent is in
// the roster.
func (c *Claim) AddReply(from mangokeel.Handle, r *wire.ClaimReply, alive func(mangokeel.Handle) bool) (Outcome, bool) {
	if c.decided || r != nil && r.GetEpoch() != c.home.Epoch || !slices.Contains(c.members, from) {
		return Outcome{}, false
	}
	if _, ok := c.votes[from]; r != nil || !ok {
		c.votes[from] = r.GetVote()
	}
	c.addCompeting(from, r.GetHeld())
	switch {
	case c.competitorAnswered():
	case c.hasMajority():
		c.decided = true
		return Outcome{Verdict: Run, StartDeadline: c.startDeadline, EndDeadline: c.endDeadline}, true
	case c.canReachMajority():
		return Outcome{}, false
	}
	return c.Finish(alive), true
}

// addCompeting adds another attempt that a member reported. An attempt with an answer
// replaces an earlier report of the same attempt.
func (c *Claim) addCompeting(from mangokeel.Handle, a *wire.Attempt) {
	if a == nil || len(a.GetId()) != len(AttemptID{}) || AttemptID(a.GetId()) == c.ID {
		return
	}
	o := c.competing[AttemptID(a.GetId())]
	if o == nil {
		o = &competingAttempt{Attempt: a}
		c.competing[AttemptID(a.GetId())] = o
	}
	if a.GetProgress() == wire.Progress_PROGRESS_ANSWERED {
		o.Attempt = a
	}
	if !slices.Contains(o.reporters, from) {
		o.reporters = append(o.reporters, from)
	}
}

// competitorAnswered reports whether another attempt has run.
func (c *Claim) competitorAnswered() bool {
	for _, o := range c.competing {
		if o.GetProgress() == wire.Progress_PROGRESS_ANSWERED {
			return true
		}
	}
	return false
}

// hasMajority reports whether a majority of each member set granted the claim.
func (c *Claim) hasMajority() bool {
	return c.majorityInAll(func(h mangokeel.Handle) bool { return c.votes[h] == wire.Vote_VOTE_GRANTED })
}

// canReachMajority reports whether the outstanding votes can still give a majority.
func (c *Claim) canReachMajority() bool {
	return c.majorityInAll(func(h mangokeel.Handle) bool {
		v, ok := c.votes[h]
		return !ok || v == wire.Vote_VOTE_GRANTED
	})
}

// majorityInAll reports whether matches holds for a majority of each member set.
func (c *Claim) majorityInAll(matches func(mangokeel.Handle) bool) bool {
	for _, set := range c.memberSets {
		n := 0
		for _, h := range set {
			if matches(h) {
				n++
			}
		}
		if n < majority(len(set)) {
			return false
		}
	}
	return len(c.memberSets) > 0
}

func majority(n int) int { return n/2 + 1 }

// Finish decides the claim without waiting for further votes. Its verdict is never Run.
func (c *Claim) Finish(alive func(mangokeel.Handle) bool) Outcome {
	c.decided = true
	o := Outcome{SplitVote: c.isSplitVote()}
	for _, v := range c.votes {
		o.Fenced = o.Fenced || v == wire.Vote_VOTE_FENCED
	}
	for _, a := range c.competing {
		if v := c.verdictFor(a, alive); precedence(v) > precedence(o.Verdict) {
			o.Verdict, o.Answer = v, nil
			if v == Stored {
				o.Answer = a.GetAnswer()
			}
		}
	}
	return o
}

// verdictFor returns the verdict that follows from another attempt.
func (c *Claim) verdictFor(a *competingAttempt, alive func(mangokeel.Handle) bool) Verdict {
	switch {
	case !slices.Equal(a.GetHash(), c.Hash[:]):
		return Mismatch
	case a.GetProgress() == wire.Progress_PROGRESS_ANSWERED && a.GetAnswer() != nil:
		return Stored
	case a.GetProgress() == wire.Progress_PROGRESS_ANSWERED:
		return Ran
	case a.GetProgress() == wire.Progress_PROGRESS_GRANTED && alive(mangokeel.Handle(a.GetOwner())):
		return Running
	}
	return Unknown
}

// precedence ranks verdicts from the least to the most conclusive. Finish returns the
// highest-ranking verdict of all attempts.
func precedence(v Verdict) int {
	return slices.Index([]Verdict{NotRun, Running, Unknown, Mismatch, Ran, Stored}, v)
}

// isSplitVote reports whether there are other attempts, all of them only granted and
// none reported by a majority of any member set.
func (c *Claim) isSplitVote() bool {
	for _, o := range c.competing {
		for _, set := range c.memberSets {
			n := 0
			for _, h := range set {
				if slices.Contains(o.reporters, h) {
					n++
				}
			}
			if n >= majority(len(set)) || o.GetProgress() != wire.Progress_PROGRESS_GRANTED {
				return false
			}
		}
	}
	return len(c.competing) > 0
}
