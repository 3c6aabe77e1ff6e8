package state

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/jaystage/jaystage/pkg/wire"
)

// Verbs of bookings.
const (
	VerbBegin   = "begin"
	VerbFinish  = "finish"
	VerbAbandon = "abandon"
	// VerbOrphan is the holder's word that it sent the request and will get no
	// answer. The end of the holder's session has the same effect.
	VerbOrphan = "orphan"
	VerbSettle = "settle"
)

// States of bookings. The last four are answers only; no record has them.
const (
	// StateRunning means that a live session holds the intent.
	StateRunning = "running"
	// StateDone means that the answer is recorded.
	StateDone = "done"
	// StateUnknown means that the holder got no answer or its session has ended: the
	// request may have run and is never sent again.
	StateUnknown = "unknown"
	// StateAbandoned means that the request was not sent and that the key is free.
	StateAbandoned = "abandoned"
	// StateExpired means that the record of the key has expired.
	StateExpired = "expired"
	// StateMismatch means that the key was used with another request.
	StateMismatch = "mismatch"
	// StateFull means that the client account has too many records.
	StateFull = "full"
	// StateRefused means that the attempt does not hold the intent.
	StateRefused = "refused"
)

// Bounds of bookings. They are part of the replicated behaviour: all voters must
// use the same values.
const (
	// MaxAnswerBytes is the largest recorded body of an answer.
	MaxAnswerBytes = 256 << 10
	// maxRecords and maxTombstones bound the keys of one client account.
	maxRecords    = 100_000
	maxTombstones = 8 * maxRecords
	// maxRecordBytes bounds the recorded answers of one client account in memory.
	maxRecordBytes = 64 << 20

	defaultKeepMillis   = 24 * 3600 * 1000
	maxKeepMillis       = 7 * 24 * 3600 * 1000
	tombstoneKeepMillis = 7 * 24 * 3600 * 1000
	tombstoneHashBytes  = 16
)

type intentKey struct{ account, service, key string }

type tombKey struct{ account, hash string }

// usage counts what a client account occupies.
type usage struct{ records, bytes, tombstones int }

func keyOf(b wire.Booking) intentKey { return intentKey{b.Account, b.Service, b.Key} }

func tombOf(k intentKey) tombKey {
	sum := sha256.Sum256([]byte(k.service + "\x00" + k.key))
	return tombKey{k.account, hex.EncodeToString(sum[:tombstoneHashBytes])}
}

func (m *Machine) usage(account string) *usage {
	u := m.use[account]
	if u == nil {
		u = &usage{}
		m.use[account] = u
	}
	return u
}

// Lookup returns what begin would return, without recording an intent. A key that
// is free is abandoned.
func (m *Machine) Lookup(b wire.Booking) wire.Booked {
	key := keyOf(b)
	in := m.intents[key]
	switch {
	case in == nil:
		if until, ok := m.tombstones[tombOf(key)]; ok && until > m.now {
			return wire.Booked{State: StateExpired}
		}
		return wire.Booked{State: StateAbandoned}
	case in.State != StateRunning && in.Expires <= m.now:
		return wire.Booked{State: StateExpired}
	case in.Hash != b.Hash:
		return wire.Booked{State: StateMismatch}
	}
	return booked(in)
}

// begin records the intent to send a request. Only an outcome that is fresh
// permits its proposer to send.
func (m *Machine) begin(b wire.Booking) wire.Booked {
	key := keyOf(b)
	m.expireKey(key)
	if in := m.intents[key]; in != nil {
		if in.Hash != b.Hash {
			return wire.Booked{State: StateMismatch}
		}
		return booked(in)
	}
	if _, ok := m.tombstones[tombOf(key)]; ok {
		return wire.Booked{State: StateExpired}
	}
	u := m.usage(b.Account)
	if u.records >= maxRecords || u.bytes >= maxRecordBytes || u.tombstones >= maxTombstones {
		return wire.Booked{State: StateFull}
	}
	keep := b.Keep
	if keep == 0 {
		keep = defaultKeepMillis
	}
	in := &wire.Intent{
		Account: b.Account, Service: b.Service, Key: b.Key, Hash: b.Hash, State: StateRunning,
		Node: b.Node, Incarnation: b.Incarnation, Attempt: b.Attempt, Expires: m.now + min(keep, maxKeepMillis),
	}
	m.intents[key] = in
	u.records++
	if cl := m.clients[b.Node]; cl != nil && cl.live {
		cl.running[key] = true
	}
	result := booked(in)
	result.Fresh = true
	return result
}

func booked(in *wire.Intent) wire.Booked {
	return wire.Booked{State: in.State, Attempt: in.Attempt, Node: in.Node, Incarnation: in.Incarnation, Answer: in.Answer}
}

// laterStep runs the steps after begin. They are recognised by their attempt and
// are accepted after the session has ended, because they only make the record
// more exact.
func (m *Machine) laterStep(c wire.Command) wire.Outcome {
	b := *c.Booking
	key := keyOf(b)
	if b.Verb == VerbAbandon {
		m.voidBegin(c)
	}
	in := m.intents[key]
	result := wire.Booked{State: StateRefused}
	switch {
	case b.Verb == VerbAbandon && (in == nil || in.Attempt != b.Attempt):
		result.State = StateAbandoned
	case in == nil || in.Attempt != b.Attempt:
	case in.State == StateDone:
		result = booked(in)
	case b.Verb == VerbAbandon:
		m.drop(key)
		result.State = StateAbandoned
	case b.Verb == VerbOrphan:
		m.release(key, in)
		in.State = StateUnknown
		result = booked(in)
	case b.Answer == nil || len(b.Answer.Body) > MaxAnswerBytes:
		return wire.Outcome{Fault: FaultInvalid}
	case b.Verb == VerbFinish || (b.Verb == VerbSettle && in.State == StateUnknown):
		m.finish(key, in, *b.Answer)
		result = booked(in)
	}
	return wire.Outcome{Booked: &result}
}

// voidBegin makes sure that a begin that is still on its way is not applied after
// its abandon. The abandon repeats the number of its begin.
func (m *Machine) voidBegin(c wire.Command) {
	cl := m.clients[c.Node]
	if cl == nil || !cl.live || cl.incarnation != c.Incarnation || c.Seq < cl.floor {
		return
	}
	if _, ok := cl.outcomes[c.Seq]; !ok && c.Seq > 0 {
		cl.outcomes[c.Seq] = wire.Outcome{Fault: FaultAbandoned}
	}
}

func (m *Machine) finish(key intentKey, in *wire.Intent, answer wire.Answer) {
	m.release(key, in)
	in.State, in.Answer = StateDone, &answer
	m.usage(in.Account).bytes += answerBytes(&answer)
}

func (m *Machine) release(key intentKey, in *wire.Intent) {
	if cl := m.clients[in.Node]; cl != nil && cl.live && cl.incarnation == in.Incarnation {
		delete(cl.running, key)
	}
}

func (m *Machine) drop(key intentKey) {
	in := m.intents[key]
	m.release(key, in)
	u := m.usage(in.Account)
	u.records--
	u.bytes -= answerBytes(in.Answer)
	delete(m.intents, key)
}

func answerBytes(a *wire.Answer) int {
	if a == nil {
		return 0
	}
	n := len(a.Body)
	for _, h := range a.Header {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

// expireKey turns an expired record into a tombstone and removes an expired
// tombstone. A record whose intent a live session holds does not expire.
func (m *Machine) expireKey(key intentKey) {
	in := m.intents[key]
	if in != nil && in.State != StateRunning && in.Expires <= m.now {
		m.drop(key)
		if !m.hooks.noTomb {
			m.tombstones[tombOf(key)] = in.Expires + tombstoneKeepMillis
			m.usage(key.account).tombstones++
		}
	}
	m.expireTombstone(tombOf(key))
}

func (m *Machine) expireTombstone(t tombKey) {
	if until, ok := m.tombstones[t]; ok && until <= m.now {
		delete(m.tombstones, t)
		m.usage(t.account).tombstones--
	}
}

// expire removes everything that has outlived its retention.
func (m *Machine) expire() {
	for key := range m.intents {
		m.expireKey(key)
	}
	for t := range m.tombstones {
		m.expireTombstone(t)
	}
}

// Booking returns the record of a booking. The caller must not change it.
func (m *Machine) Booking(account, service, key string) (wire.Intent, bool) {
	in := m.intents[intentKey{account, service, key}]
	if in == nil {
		return wire.Intent{}, false
	}
	return *in, true
}
