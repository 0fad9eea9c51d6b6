// Package claim makes sure that the request of one idempotency key runs at most
// once.
//
// A key has a home of three agents. The agent that is about to run the request
// makes a Claim, sends it to the home's members and feeds it their votes until it
// has an Outcome:
//
//	c := claim.New(now, home, key, hash, own)
//	for _, h := range c.Members() { send(h, c.Request(h)) }
//	o, ok := c.Vote(from, reply, alive)
//
// Only the outcome Run allows the request to start, and only until Outcome.Until.
// Each member keeps a Member. Claim and Member have neither clock nor socket; a
// Keeper drives them for one agent over package jsonrpc.
//
// The home changes in two steps. While it is joint, a claim needs a majority of
// the old and of the new home, and the new members copy what the old ones know.
// Section 6.2 of docs/design.md has the argument why no key runs twice.
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

// DefaultLifetime is how long a key is remembered unless the service's settings say
// otherwise.
const DefaultLifetime = 10 * time.Minute

// membersPerKey is the number of members that hold one key.
const membersPerKey = 3

// Key identifies an idempotency key of a service.
type Key [16]byte

// KeyOf returns the identity of an idempotency key.
func KeyOf(service mangokeel.ServiceID, key string) Key {
	b := binary.BigEndian.AppendUint32(nil, uint32(service))
	sum := sha256.Sum256(append(b, key...))
	return Key(sum[:16])
}

// Hash identifies the content of a request.
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
	// Read of crypto/rand never fails.
	_, _ = rand.Read(id[:])
	return id
}

// Home is the agents that hold a service's claims. A roster lists handles; a zero
// between handles separates availability zones.
type Home struct {
	// Epoch rises with each change of the home.
	Epoch uint64
	Now   []uint32
	// Next is empty unless the home is joint.
	Next []uint32
}

// HomeOf returns the home of a service's record.
func HomeOf(h *wire.Home) Home {
	return Home{Epoch: h.GetEpoch(), Now: h.GetNow(), Next: h.GetNext()}
}

// Roster returns the home roster of agents with their availability zones, for
// wire.Rehome. It is the same for the same agents.
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

// candidate is a member of a roster with its zone's number and its score.
type candidate struct {
	handle uint32
	zone   int
	score  uint64
}

// Members returns the agents of a roster that hold a key: up to three by rendezvous
// hashing, in different availability zones as far as the roster has them. It
// depends on nothing but its arguments, so that all claimers agree. A roster
// without separators counts as one zone for each handle.
func Members(roster []uint32, k Key) []mangokeel.Handle {
	cs := candidates(roster, k)
	slices.SortFunc(cs, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	chosen := make([]candidate, 0, membersPerKey)
	for _, anyZone := range []bool{false, true} {
		for _, c := range cs {
			taken := slices.ContainsFunc(chosen, func(o candidate) bool {
				return o.handle == c.handle || !anyZone && o.zone == c.zone
			})
			if !taken && len(chosen) < membersPerKey {
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

func candidates(roster []uint32, k Key) []candidate {
	flat := !slices.Contains(roster, 0)
	cs := make([]candidate, 0, len(roster))
	zone := 0
	b := make([]byte, len(k)+4)
	copy(b, k[:])
	for _, h := range roster {
		if h == 0 || flat {
			zone++
		}
		if h != 0 {
			binary.BigEndian.PutUint32(b[len(k):], h)
			cs = append(cs, candidate{h, zone, xxhash.Sum64(b)})
		}
	}
	return cs
}

// Verdict is what a claimer does with its request.
type Verdict int

// Verdicts of a claim.
const (
	// NotRun means that the request may not start and that no member knows of
	// another attempt.
	NotRun Verdict = iota
	// Run means that the request may start.
	Run
	// Stored means that the request has run; the answer is known.
	Stored
	// Ran means that the request has run; its answer was not kept.
	Ran
	// Running means that another attempt may run now.
	Running
	// Unknown means that another attempt may have run and its agent is gone or
	// does not know.
	Unknown
	// Mismatch means that the key was used for another request.
	Mismatch
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{"not-run", "run", "stored", "ran", "running", "unknown", "mismatch"}[v]
}

// Outcome is the end of a claim. A claim whose verdict is not Run has to be
// withdrawn at its members.
type Outcome struct {
	Verdict Verdict
	// StartDeadline is the latest start and EndDeadline the latest end for Run. The claim is
	// forgotten later.
	StartDeadline, EndDeadline time.Time
	// Answer is set for Stored.
	Answer *wire.Answer
	// Fenced means that a member knows a newer home.
	Fenced bool
	// SplitVote means that this attempt got some votes and no other one is known to
	// have a majority, so that a later try may succeed.
	SplitVote bool
}

// Claim is one attempt to run a request, as its claimer sees it.
type Claim struct {
	Key      Key
	ID       AttemptID
	Hash     Hash
	Owner    mangokeel.Handle
	home     Home
	lifetime time.Duration
	// startDeadline and endDeadline are a quarter and three quarters of the lifetime after New.
	startDeadline, endDeadline time.Time
	// memberSets are the homes of which a majority is needed: one, or two while the
	// home is joint.
	memberSets [][]mangokeel.Handle
	members    []mangokeel.Handle
	// votes has an entry for each member that answered or is given up.
	votes map[mangokeel.Handle]wire.Vote
	// competing are the other attempts that members told of.
	competing map[AttemptID]*competingAttempt
	// decided never changes back, so that a late vote cannot start a request that
	// was refused.
	decided bool
}

// competingAttempt is another attempt at the same key.
type competingAttempt struct {
	*wire.Attempt
	reporters []mangokeel.Handle
}

// New returns a claim made at now by the agent with handle owner. The lifetime is
// that of claims in the service's settings.
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
		party := Members(roster, k)
		c.memberSets = append(c.memberSets, party)
		for _, h := range party {
			if !slices.Contains(c.members, h) {
				c.members = append(c.members, h)
			}
		}
	}
	return c
}

// Members returns the handles to which the claim is sent.
func (c *Claim) Members() []mangokeel.Handle { return c.members }

// Request returns the message for one member.
func (c *Claim) Request(service mangokeel.ServiceID, member mangokeel.Handle) *wire.ClaimRequest {
	return &wire.ClaimRequest{
		Service: uint32(service), Member: uint32(member), Epoch: c.home.Epoch,
		Key: c.Key[:], Id: c.ID[:], Hash: c.Hash[:], Owner: uint32(c.Owner),
		LifeMs: uint32(c.lifetime.Milliseconds()),
	}
}

// AddReply takes a member's reply; nil means that none will come. It returns the
// outcome once there is one. alive reports whether an agent is in the roster.
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

// addCompeting notes another attempt.
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

// competitorAnswered reports whether another attempt is known to have run.
func (c *Claim) competitorAnswered() bool {
	for _, o := range c.competing {
		if o.GetProgress() == wire.Progress_PROGRESS_ANSWERED {
			return true
		}
	}
	return false
}

// hasMajority reports whether the claim has a majority in all homes.
func (c *Claim) hasMajority() bool {
	return c.majorityInAll(func(h mangokeel.Handle) bool { return c.votes[h] == wire.Vote_VOTE_GRANTED })
}

// canReachMajority reports whether outstanding votes can still give a majority.
func (c *Claim) canReachMajority() bool {
	return c.majorityInAll(func(h mangokeel.Handle) bool {
		v, ok := c.votes[h]
		return !ok || v == wire.Vote_VOTE_GRANTED
	})
}

// majorityInAll reports whether counts holds for a majority in all homes.
func (c *Claim) majorityInAll(counts func(mangokeel.Handle) bool) bool {
	for _, party := range c.memberSets {
		n := 0
		for _, h := range party {
			if counts(h) {
				n++
			}
		}
		if n < majority(len(party)) {
			return false
		}
	}
	return len(c.memberSets) > 0
}

func majority(n int) int { return n/2 + 1 }

// Finish ends the claim without waiting for further votes. The verdict is never
// Run.
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

// verdictFor returns the verdict that another attempt leads to.
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

// precedence orders verdicts by how much they say.
func precedence(v Verdict) int {
	return slices.Index([]Verdict{NotRun, Running, Unknown, Mismatch, Ran, Stored}, v)
}

// isSplitVote reports whether no other attempt is known to have a majority in any home.
func (c *Claim) isSplitVote() bool {
	for _, o := range c.competing {
		for _, party := range c.memberSets {
			n := 0
			for _, h := range party {
				if slices.Contains(o.reporters, h) {
					n++
				}
			}
			if n >= majority(len(party)) || o.GetProgress() != wire.Progress_PROGRESS_GRANTED {
				return false
			}
		}
	}
	return len(c.competing) > 0
}
