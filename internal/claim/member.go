package claim

import (
	"slices"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"mangokeel"
	"mangokeel/internal/wire"
)

// Limits on what a member stores and sends.
const (
	// maxKeys limits the number of keys.
	maxKeys = 100_000
	// maxAttemptsPerKey limits the stored attempts at one key.
	maxAttemptsPerKey = 8
	// MaxAnswerBytes limits the encoded size of one stored answer.
	MaxAnswerBytes = 64 << 10
	// maxAnswerBytesTotal limits the encoded size of all stored answers; the oldest are
	// dropped first.
	maxAnswerBytesTotal = 16 << 20
	// maxLifetime limits the lifetime that a claimer may request.
	maxLifetime = 24 * time.Hour
	// maxPageKeys and maxPageBytes limit one page of a copy. A page may exceed maxPageBytes
	// by its last key.
	maxPageKeys  = 256
	maxPageBytes = 512 << 10
	// viewAgeSlack is added where the ages of two agents' views are compared: the control
	// instance that confirms a view may lag by up to view.MaxAge.
	viewAgeSlack = 10 * time.Second
)

// entry holds the attempts at one key.
type entry struct {
	// attempts has at most one in state ANSWERED or GRANTED from this member's own votes;
	// copies from other members may add more.
	attempts []*wire.Attempt
	expires  time.Time
	// seq is the position in the order in which entries were created.
	seq uint64
}

// arrival lists an entry under its sequence number.
type arrival struct {
	seq uint64
	key Key
}

// Member votes on claims and stores them for one agent. It is not safe for concurrent
// use.
type Member struct {
	lifetime time.Duration
	// self is 0 until the agent has joined; until then the member abstains.
	self mangokeel.Handle
	home Home
	// fence is the lowest home epoch under which claims are granted. It never decreases
	// and is at least home.Epoch.
	fence uint64
	// ready is set when the member has all claims that it needs to vote as a member of
	// home.Now, nextReady the same for home.Next.
	ready, nextReady bool
	// homeSince is the time at which SetHome set home.
	homeSince time.Time
	// confirmed is the last time at which control confirmed the view that home is from.
	confirmed time.Time
	// copied has the members of home.Now whose claims were copied under home.Epoch, and
	// copyCursor the last sequence number received from each.
	copied     map[uint32]bool
	copyCursor map[uint32]uint64
	// copyOverflowed is set when a copied attempt exceeded a limit. The copies are then
	// incomplete and don't make the member ready.
	copyOverflowed bool

	claims map[Key]*entry
	// arrivals lists entries by ascending sequence number. Expired ones remain until Sweep.
	arrivals []arrival
	// lastSeq is the sequence number of the newest entry.
	lastSeq uint64
	// answeredKeys lists the keys with stored answers, oldest first.
	answeredKeys []Key
	// answerBytes is the encoded size of all stored answers.
	answerBytes int
	// Conflicts counts attempts that ran although another one ran or they were withdrawn.
	// Any value but 0 shows a violation of at-most-once.
	Conflicts uint64
}

// NewMember returns a member without a home; it abstains until SetHome is called.
func NewMember(now time.Time, lifetime time.Duration) *Member {
	return &Member{lifetime: lifetime, confirmed: now, claims: map[Key]*entry{}}
}

// SetLifetime changes the lifetime of keys for attempts added from now on.
func (m *Member) SetLifetime(d time.Duration) { m.lifetime = d }

// ConfirmView sets when control last confirmed the view that SetHome's arguments came
// from. A member without a confirmation for one lifetime abstains, so that a newer home
// which it doesn't know can rely on its abstaining.
func (m *Member) ConfirmView(at time.Time) {
	if at.After(m.confirmed) {
		m.confirmed = at
	}
}

// SetHome sets the home and the agent's own handle from a newer view. Older homes are
// ignored.
func (m *Member) SetHome(now time.Time, self mangokeel.Handle, home Home) {
	if self != m.self {
		m.self = self
		m.home, m.ready, m.nextReady = Home{}, false, false
	}
	if home.Epoch <= m.home.Epoch {
		return
	}
	m.ready, m.nextReady = m.knowsClaimsOf(home), false
	m.home, m.homeSince = home, now
	m.fence = max(m.fence, home.Epoch)
	m.copied, m.copyCursor, m.copyOverflowed = map[uint32]bool{}, map[uint32]uint64{}, false
	if m.ready {
		m.copied[uint32(m.self)] = true
	}
	m.nextReady = len(home.Now) == 0
}

// knowsClaimsOf reports whether the member has the claims of a home that follows the
// current one. Control ends a joint step only after all new members have reported that
// they are ready, so a member can't miss the step in which it entered. The first home
// that a member knows holds no claims that it would have to copy.
func (m *Member) knowsClaimsOf(home Home) bool {
	switch {
	case !slices.Contains(home.Now, uint32(m.self)):
		return false
	case len(m.home.Now) == 0 && len(m.home.Next) == 0:
		return true
	case slices.Equal(home.Now, m.home.Now):
		return m.ready
	case len(home.Next) == 0 && slices.Equal(home.Now, m.home.Next):
		return m.nextReady
	}
	return false
}

// ReadyEpoch returns the epoch of the joint home if the agent is in the next roster and
// has copied the claims that it needs there, and 0 otherwise. Control ends the joint step
// once all members of the next home have reported its epoch.
func (m *Member) ReadyEpoch(now time.Time) uint64 {
	m.becomeReadyByAge(now)
	if m.inRoster(m.home.Next) && m.nextReady {
		return m.home.Epoch
	}
	return 0
}

// becomeReadyByAge sets the member ready without copies once all claims that it could
// have missed have expired: agents with an older view abstain after one lifetime, and
// the claims that they granted before that expire after another.
func (m *Member) becomeReadyByAge(now time.Time) {
	if now.Sub(m.homeSince) >= 2*m.lifetime+viewAgeSlack {
		m.ready = m.ready || m.inRoster(m.home.Now)
		m.nextReady = m.nextReady || m.inRoster(m.home.Next)
	}
}

// inRoster reports whether the agent has joined and is in a roster.
func (m *Member) inRoster(roster []uint32) bool {
	return m.self != 0 && slices.Contains(roster, uint32(m.self))
}

// mayVote reports whether the member may grant claims on a key: it is in the home, has
// the claims that it needs, and control has confirmed its view within the lifetime.
func (m *Member) mayVote(now time.Time, k Key) bool {
	m.becomeReadyByAge(now)
	old, next := m.inRoster(m.home.Now), m.inRoster(m.home.Next)
	switch {
	case !old && !next:
		return false
	case old && !m.ready || next && !m.nextReady && !m.copiedMajorityFor(k):
		return false
	}
	return now.Sub(m.confirmed) < m.lifetime
}

// copiedMajorityFor reports whether the claims of a majority of a key's old members were
// copied.
func (m *Member) copiedMajorityFor(k Key) bool {
	if m.copyOverflowed {
		return false
	}
	n := 0
	old := Members(m.home.Now, k)
	for _, h := range old {
		if m.copied[uint32(h)] {
			n++
		}
	}
	return n >= majority(len(old))
}

// Claim votes on a claim and reports the attempt that blocks it, if any.
func (m *Member) Claim(now time.Time, r *wire.ClaimRequest) *wire.ClaimReply {
	reply := &wire.ClaimReply{Vote: wire.Vote_VOTE_ABSENT, Epoch: r.GetEpoch()}
	if !m.isAddressee(r.GetMember(), r.GetKey()) || len(r.GetId()) != len(AttemptID{}) {
		return reply
	}
	e := m.lookup(now, Key(r.GetKey()))
	reply.Held = e.blockingAttempt(r.GetId())
	switch {
	case r.GetEpoch() < m.fence:
		reply.Vote = wire.Vote_VOTE_FENCED
	case !m.mayVote(now, Key(r.GetKey())):
	default:
		m.fence = r.GetEpoch()
		reply.Vote = m.grant(now, e, r)
	}
	return reply
}

// isAddressee reports whether a request is for this agent's current handle and its key is
// well-formed.
func (m *Member) isAddressee(member uint32, key []byte) bool {
	return m.self != 0 && member == uint32(m.self) && len(key) == len(Key{})
}

// grant grants a claim unless another attempt blocks it. Repeated requests of a granted
// attempt are granted again.
func (m *Member) grant(now time.Time, e *entry, r *wire.ClaimRequest) wire.Vote {
	if a := e.findAttempt(r.GetId()); a != nil {
		switch a.GetProgress() {
		case wire.Progress_PROGRESS_WITHDRAWN:
			return wire.Vote_VOTE_REVOKED
		case wire.Progress_PROGRESS_GRANTED:
			if e.blockingAttempt(r.GetId()) == nil {
				return wire.Vote_VOTE_GRANTED
			}
		}
		return wire.Vote_VOTE_HELD
	}
	if e.blockingAttempt(r.GetId()) != nil {
		return wire.Vote_VOTE_HELD
	}
	a := &wire.Attempt{Id: r.GetId(), Hash: r.GetHash(), Owner: r.GetOwner(), Progress: wire.Progress_PROGRESS_GRANTED}
	if !m.addAttempt(now, Key(r.GetKey()), a) {
		return wire.Vote_VOTE_FULL
	}
	lifetime := min(maxLifetime, time.Duration(r.GetLifeMs())*time.Millisecond)
	if e = m.claims[Key(r.GetKey())]; now.Add(lifetime).After(e.expires) {
		e.expires = now.Add(lifetime)
	}
	return wire.Vote_VOTE_GRANTED
}

// lookup returns the entry of a key, or nil. It deletes the entry if it has expired.
func (m *Member) lookup(now time.Time, k Key) *entry {
	e := m.claims[k]
	if e != nil && !now.Before(e.expires) {
		delete(m.claims, k)
		return nil
	}
	return e
}

// findAttempt returns the attempt with the given id, or nil. e may be nil.
func (e *entry) findAttempt(id []byte) *wire.Attempt {
	if e == nil {
		return nil
	}
	for _, a := range e.attempts {
		if slices.Equal(a.GetId(), id) {
			return a
		}
	}
	return nil
}

// blockingAttempt returns an attempt other than id that was not withdrawn, and with which
// id may not run. It prefers one that has run. e may be nil.
func (e *entry) blockingAttempt(id []byte) *wire.Attempt {
	if e == nil {
		return nil
	}
	var found *wire.Attempt
	for _, a := range e.attempts {
		if a.GetProgress() == wire.Progress_PROGRESS_WITHDRAWN || slices.Equal(a.GetId(), id) {
			continue
		}
		if found == nil || a.GetProgress() == wire.Progress_PROGRESS_ANSWERED {
			found = a
		}
	}
	return found
}

// addAttempt adds an attempt and restarts the lifetime of the key. It returns false if a
// limit is reached.
func (m *Member) addAttempt(now time.Time, k Key, a *wire.Attempt) bool {
	e := m.lookup(now, k)
	if e == nil {
		if len(m.claims) >= maxKeys {
			return false
		}
		m.lastSeq++
		e = &entry{seq: m.lastSeq}
		m.claims[k] = e
		m.arrivals = append(m.arrivals, arrival{m.lastSeq, k})
	}
	if len(e.attempts) >= maxAttemptsPerKey && !e.evictWithdrawn() {
		return false
	}
	e.attempts = append(e.attempts, a)
	// Each attempt may run until later than the ones before, so the key lives longer.
	e.expires = now.Add(m.lifetime)
	return true
}

// evictWithdrawn removes the oldest withdrawn attempt and reports whether there was one.
func (e *entry) evictWithdrawn() bool {
	i := slices.IndexFunc(e.attempts, func(a *wire.Attempt) bool {
		return a.GetProgress() == wire.Progress_PROGRESS_WITHDRAWN
	})
	if i >= 0 {
		e.attempts = slices.Delete(e.attempts, i, i+1)
	}
	return i >= 0
}

// Record stores the end of an attempt that ran or may have run. It applies under any home
// epoch.
func (m *Member) Record(now time.Time, r *wire.RecordRequest) *wire.RecordReply {
	p := r.GetAttempt().GetProgress()
	valid := p == wire.Progress_PROGRESS_ANSWERED || p == wire.Progress_PROGRESS_LOST
	if !valid || !m.isAddressee(r.GetMember(), r.GetKey()) || len(r.GetAttempt().GetId()) != len(AttemptID{}) {
		return &wire.RecordReply{}
	}
	return &wire.RecordReply{Stored: m.storeAttempt(now, Key(r.GetKey()), r.GetAttempt())}
}

// storeAttempt adds an attempt or updates the stored one. It returns false if a limit is
// reached. An answered attempt stays as it is; others move only to higher values of
// progress, or to answered from any. An answer beside one of another attempt, or after a
// withdrawal, counts as a conflict.
func (m *Member) storeAttempt(now time.Time, k Key, a *wire.Attempt) bool {
	e := m.lookup(now, k)
	for _, b := range e.allAttempts() {
		if isAnswered(b) && isAnswered(a) && !slices.Equal(a.GetId(), b.GetId()) {
			m.Conflicts++
		}
	}
	old := e.findAttempt(a.GetId())
	if isAnswered(a) && old.GetProgress() == wire.Progress_PROGRESS_WITHDRAWN {
		m.Conflicts++
	}
	if old == nil {
		// Store a copy, so that dropping the answer later doesn't modify the message.
		old = &wire.Attempt{Id: a.GetId(), Hash: a.GetHash(), Owner: a.GetOwner()}
		if !m.addAttempt(now, k, old) {
			return false
		}
	}
	if old.GetProgress() == wire.Progress_PROGRESS_ANSWERED {
		return true
	}
	if a.GetProgress() > old.GetProgress() || isAnswered(a) {
		old.Progress = a.GetProgress()
	}
	if a.GetProgress() == wire.Progress_PROGRESS_ANSWERED && a.GetAnswer() != nil {
		m.storeAnswer(k, old, a.GetAnswer())
	}
	return true
}

// allAttempts returns the attempts of an entry that may be nil.
func (e *entry) allAttempts() []*wire.Attempt {
	if e == nil {
		return nil
	}
	return e.attempts
}

func isAnswered(a *wire.Attempt) bool { return a.GetProgress() == wire.Progress_PROGRESS_ANSWERED }

// storeAnswer stores an attempt's answer unless it is too large, and drops the oldest
// answers to stay within maxAnswerBytesTotal.
func (m *Member) storeAnswer(k Key, a *wire.Attempt, answer *wire.Answer) {
	n := proto.Size(answer)
	if n > MaxAnswerBytes {
		return
	}
	a.Answer = answer
	m.answeredKeys = append(m.answeredKeys, k)
	m.answerBytes += n
	for m.answerBytes > maxAnswerBytesTotal {
		if e := m.claims[m.answeredKeys[0]]; e != nil {
			m.dropAnswers(e)
		}
		m.answeredKeys = m.answeredKeys[1:]
	}
}

// dropAnswers removes the answers of an entry. Its attempts still count as having run.
func (m *Member) dropAnswers(e *entry) {
	for _, a := range e.attempts {
		if a.Answer != nil {
			m.answerBytes -= proto.Size(a.Answer)
			a.Answer = nil
		}
	}
}

// Withdraw stores that an attempt will never run, even if its claim arrives after the
// withdrawal.
func (m *Member) Withdraw(now time.Time, r *wire.WithdrawRequest) *wire.WithdrawReply {
	if !m.isAddressee(r.GetMember(), r.GetKey()) {
		return &wire.WithdrawReply{}
	}
	k := Key(r.GetKey())
	a := m.lookup(now, k).findAttempt(r.GetId())
	if a == nil {
		a = &wire.Attempt{Id: r.GetId(), Progress: wire.Progress_PROGRESS_WITHDRAWN}
		return &wire.WithdrawReply{Stored: m.addAttempt(now, k, a)}
	}
	if a.GetProgress() == wire.Progress_PROGRESS_GRANTED {
		a.Progress = wire.Progress_PROGRESS_WITHDRAWN
	}
	return &wire.WithdrawReply{Stored: true}
}

// Copy returns a page of claims to a new member. From then on this member rejects claims
// under epochs before the asker's, so that the copy stays complete.
func (m *Member) Copy(now time.Time, r *wire.CopyRequest) *wire.CopyReply {
	if m.self == 0 || r.GetMember() != uint32(m.self) {
		return &wire.CopyReply{}
	}
	m.becomeReadyByAge(now)
	m.fence = max(m.fence, r.GetEpoch())
	if !m.ready {
		return &wire.CopyReply{}
	}
	reply := &wire.CopyReply{Ready: true, Last: r.GetAfter()}
	i := sort.Search(len(m.arrivals), func(i int) bool { return m.arrivals[i].seq > r.GetAfter() })
	size := 0
	for ; i < len(m.arrivals) && len(reply.GetClaims()) < maxPageKeys && size < maxPageBytes; i++ {
		a := m.arrivals[i]
		reply.Last = a.seq
		e := m.lookup(now, a.key)
		if e == nil || e.seq != a.seq || !slices.Contains(Members(r.GetNext(), a.key), mangokeel.Handle(r.GetAsker())) {
			continue
		}
		c := &wire.KeyClaim{Key: a.key[:], Attempts: cloneAttempts(e.attempts)}
		size += proto.Size(c)
		reply.Claims = append(reply.Claims, c)
	}
	reply.End = i == len(m.arrivals)
	return reply
}

// cloneAttempts copies attempts for a reply, since their progress and answers may change
// while it is sent.
func cloneAttempts(attempts []*wire.Attempt) []*wire.Attempt {
	out := make([]*wire.Attempt, len(attempts))
	for i, a := range attempts {
		out[i] = &wire.Attempt{Id: a.GetId(), Hash: a.GetHash(), Owner: a.GetOwner(), Progress: a.GetProgress(), Answer: a.GetAnswer()}
	}
	return out
}

// CopyRequests returns the next copy request to each old member whose claims are not yet
// copied. There are none once the member is ready for the next home.
func (m *Member) CopyRequests() []*wire.CopyRequest {
	if !m.inRoster(m.home.Next) || m.nextReady {
		return nil
	}
	var rs []*wire.CopyRequest
	for _, h := range m.home.Now {
		if h != 0 && h != uint32(m.self) && !m.copied[h] {
			rs = append(rs, &wire.CopyRequest{
				Member: h, Asker: uint32(m.self), Epoch: m.home.Epoch, Next: m.home.Next, After: m.copyCursor[h],
			})
		}
	}
	return rs
}

// ApplyCopyReply stores the claims in the reply to a request from CopyRequests. Replies to
// requests with an outdated epoch or cursor are ignored.
func (m *Member) ApplyCopyReply(now time.Time, r *wire.CopyRequest, reply *wire.CopyReply) {
	h := r.GetMember()
	if r.GetEpoch() != m.home.Epoch || r.GetAsker() != uint32(m.self) || r.GetAfter() != m.copyCursor[h] || m.copied[h] || !reply.GetReady() {
		return
	}
	for _, c := range reply.GetClaims() {
		if len(c.GetKey()) == len(Key{}) {
			m.mergeAttempts(now, Key(c.GetKey()), c)
		}
	}
	m.copyCursor[h] = reply.GetLast()
	m.copied[h] = reply.GetEnd()
	m.nextReady = m.nextReady || m.copiedMajorityForAll()
}

// mergeAttempts adds another member's attempts at a key to the stored ones. None is
// replaced, since each of them may have a majority among other members.
func (m *Member) mergeAttempts(now time.Time, k Key, c *wire.KeyClaim) {
	for _, a := range c.GetAttempts() {
		if !m.storeAttempt(now, k, a) {
			m.copyOverflowed = true
		}
	}
}

// copiedMajorityForAll reports whether, for every key, the claims of a majority of its old
// members were copied: at most one old member is missing, or all missing ones are in one
// of at least three availability zones.
func (m *Member) copiedMajorityForAll() bool {
	if m.copyOverflowed {
		return false
	}
	cs := candidates(m.home.Now, Key{})
	zones, missingZones := map[int]bool{}, map[int]bool{}
	missing := 0
	for _, c := range cs {
		zones[c.zone] = true
		if !m.copied[c.handle] {
			missingZones[c.zone] = true
			missing++
		}
	}
	if len(cs) < membersPerKey {
		return len(cs)-missing >= majority(len(cs))
	}
	return missing <= 1 || len(missingZones) == 1 && len(zones) >= membersPerKey
}

// Sweep removes expired keys and recomputes the size of the stored answers.
func (m *Member) Sweep(now time.Time) {
	m.arrivals = slices.DeleteFunc(m.arrivals, func(a arrival) bool {
		e := m.lookup(now, a.key)
		return e == nil || e.seq != a.seq
	})
	m.answeredKeys = slices.DeleteFunc(m.answeredKeys, func(k Key) bool { return m.claims[k] == nil })
	m.answerBytes = 0
	for _, k := range m.answeredKeys {
		for _, a := range m.claims[k].attempts {
			m.answerBytes += proto.Size(a.GetAnswer())
		}
	}
}

// Len returns the number of stored keys, including expired ones not yet removed.
func (m *Member) Len() int { return len(m.claims) }
