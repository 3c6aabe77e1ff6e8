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
	// VerbOrphan reports that the holder sent the request and cannot receive its
	// answer any more. The end of the holder's session has the same effect.
	VerbOrphan = "orphan"
	// VerbSettle records the answer of a booking in StateUnknown.
	VerbSettle = "settle"
)

// States of bookings. Records store only StateRunning, StateDone and StateUnknown; the
// other states are only returned as results.
const (
	// StateRunning means that a live session holds the intent to send the request.
	StateRunning = "running"
	// StateDone means that the answer is recorded.
	StateDone = "done"
	// StateUnknown means that the holder received no answer or that its session has
	// ended. The request may have run, so it is never sent again.
	StateUnknown = "unknown"
	// StateAbandoned means that the request was not sent and that the key is free.
	StateAbandoned = "abandoned"
	// StateExpired means that the record of the key has expired.
	StateExpired = "expired"
	// StateMismatch means that the key was used with a different request.
	StateMismatch = "mismatch"
	// StateFull means that the client account has reached its limit of records, of answer
	// bytes or of tombstones.
	StateFull = "full"
	// StateRefused means that the attempt does not hold the intent.
	StateRefused = "refused"
)

// Limits of bookings. They affect the replicated state, so all voters must use the
// same values.
const (
	// MaxAnswerBytes is the maximum size of the recorded body of an answer.
	MaxAnswerBytes = 256 << 10
	// maxRecordsPerAccount and maxTombstonesPerAccount limit the booking records and
	// tombstones of one client account.
	maxRecordsPerAccount    = 100_000
	maxTombstonesPerAccount = 8 * maxRecordsPerAccount
	// maxAnswerBytesPerAccount limits the memory for the recorded answers of one client
	// account. A begin step is refused once the limit is reached.
	maxAnswerBytesPerAccount = 64 << 20

	defaultRetentionMillis   = 24 * 3600 * 1000
	maxRetentionMillis       = 7 * 24 * 3600 * 1000
	tombstoneRetentionMillis = 7 * 24 * 3600 * 1000
	tombstoneHashBytes       = 16
)

// intentKey identifies a booking.
type intentKey struct{ account, service, key string }

// tombstoneKey identifies the tombstone of a booking. The hash covers the service and
// the booking's key.
type tombstoneKey struct{ account, hash string }

// usage counts the records, answer bytes and tombstones of a client account.
type usage struct{ records, bytes, tombstones int }

func intentKeyOf(b wire.Booking) intentKey { return intentKey{b.Account, b.Service, b.Key} }

func tombstoneKeyOf(k intentKey) tombstoneKey {
	sum := sha256.Sum256([]byte(k.service + "\x00" + k.key))
	return tombstoneKey{k.account, hex.EncodeToString(sum[:tombstoneHashBytes])}
}

func (m *Machine) accountUsage(account string) *usage {
	u := m.usage[account]
	if u == nil {
		u = &usage{}
		m.usage[account] = u
	}
	return u
}

// Lookup returns the state of a booking without recording an intent. The state of a free
// key is StateAbandoned. A key whose record has expired is not free: its state is
// StateExpired until its tombstone has expired too.
func (m *Machine) Lookup(b wire.Booking) wire.Booked {
	key := intentKeyOf(b)
	intent := m.intents[key]
	switch {
	case intent == nil:
		if until, ok := m.tombstones[tombstoneKeyOf(key)]; ok && until > m.latestTime {
			return wire.Booked{State: StateExpired}
		}
		return wire.Booked{State: StateAbandoned}
	case intent.State != StateRunning && intent.Expires <= m.latestTime:
		return wire.Booked{State: StateExpired}
	case intent.Hash != b.Hash:
		return wire.Booked{State: StateMismatch}
	}
	return bookedResult(intent)
}

// beginBooking records the intent to send a request. Only a result with Fresh set permits
// the proposer to send the request.
func (m *Machine) beginBooking(b wire.Booking) wire.Booked {
	key := intentKeyOf(b)
	m.expireIntent(key)
	if intent := m.intents[key]; intent != nil {
		if intent.Hash != b.Hash {
			return wire.Booked{State: StateMismatch}
		}
		return bookedResult(intent)
	}
	if _, ok := m.tombstones[tombstoneKeyOf(key)]; ok {
		return wire.Booked{State: StateExpired}
	}
	u := m.accountUsage(b.Account)
	if u.records >= maxRecordsPerAccount || u.bytes >= maxAnswerBytesPerAccount || u.tombstones >= maxTombstonesPerAccount {
		return wire.Booked{State: StateFull}
	}
	retention := b.Keep
	if retention == 0 {
		retention = defaultRetentionMillis
	}
	intent := &wire.Intent{
		Account: b.Account, Service: b.Service, Key: b.Key, Hash: b.Hash, State: StateRunning,
		Node: b.Node, Incarnation: b.Incarnation, Attempt: b.Attempt, Expires: m.latestTime + min(retention, maxRetentionMillis),
	}
	m.intents[key] = intent
	u.records++
	if session := m.sessions[b.Node]; session != nil && session.live {
		session.runningBookings[key] = true
	}
	result := bookedResult(intent)
	result.Fresh = true
	return result
}

func bookedResult(intent *wire.Intent) wire.Booked {
	return wire.Booked{State: intent.State, Attempt: intent.Attempt, Node: intent.Node, Incarnation: intent.Incarnation, Answer: intent.Answer}
}

// updateBooking runs the finish, abandon, orphan and settle steps. They are matched by
// attempt id and accepted even after the session has ended, because they only add
// information about an attempt that is already recorded.
func (m *Machine) updateBooking(c wire.Command) wire.Outcome {
	b := *c.Booking
	key := intentKeyOf(b)
	if b.Verb == VerbAbandon {
		m.blockDelayedBegin(c)
	}
	intent := m.intents[key]
	result := wire.Booked{State: StateRefused}
	switch {
	case b.Verb == VerbAbandon && (intent == nil || intent.Attempt != b.Attempt):
		result.State = StateAbandoned
	case intent == nil || intent.Attempt != b.Attempt:
	case intent.State == StateDone:
		result = bookedResult(intent)
	case b.Verb == VerbAbandon:
		m.deleteIntent(key)
		result.State = StateAbandoned
	case b.Verb == VerbOrphan:
		m.removeFromSession(key, intent)
		intent.State = StateUnknown
		result = bookedResult(intent)
	case b.Answer == nil || len(b.Answer.Body) > MaxAnswerBytes:
		return wire.Outcome{Fault: FaultInvalid}
	case b.Verb == VerbFinish || (b.Verb == VerbSettle && intent.State == StateUnknown):
		m.finishBooking(key, intent, *b.Answer)
		result = bookedResult(intent)
	}
	return wire.Outcome{Booked: &result}
}

// blockDelayedBegin prevents a delayed begin step from being applied after its abandon
// step, by storing an outcome for its sequence number. The abandon step carries the
// sequence number of the begin step.
func (m *Machine) blockDelayedBegin(c wire.Command) {
	session := m.sessions[c.Node]
	if session == nil || !session.live || session.incarnation != c.Incarnation || c.Seq < session.floor {
		return
	}
	if _, ok := session.outcomes[c.Seq]; !ok && c.Seq > 0 {
		session.outcomes[c.Seq] = wire.Outcome{Fault: FaultAbandoned}
	}
}

func (m *Machine) finishBooking(key intentKey, intent *wire.Intent, answer wire.Answer) {
	m.removeFromSession(key, intent)
	intent.State, intent.Answer = StateDone, &answer
	m.accountUsage(intent.Account).bytes += answerBytes(&answer)
}

// removeFromSession removes a booking from the running bookings of its session.
func (m *Machine) removeFromSession(key intentKey, intent *wire.Intent) {
	if session := m.sessions[intent.Node]; session != nil && session.live && session.incarnation == intent.Incarnation {
		delete(session.runningBookings, key)
	}
}

func (m *Machine) deleteIntent(key intentKey) {
	intent := m.intents[key]
	m.removeFromSession(key, intent)
	u := m.accountUsage(intent.Account)
	u.records--
	u.bytes -= answerBytes(intent.Answer)
	delete(m.intents, key)
}

// answerBytes returns the size of an answer's body and header.
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

// expireIntent replaces the key's expired record by a tombstone and removes its expired
// tombstone. A record does not expire while a live session holds its intent.
func (m *Machine) expireIntent(key intentKey) {
	intent := m.intents[key]
	if intent != nil && intent.State != StateRunning && intent.Expires <= m.latestTime {
		m.deleteIntent(key)
		if !m.mutations.noTombstones {
			m.tombstones[tombstoneKeyOf(key)] = intent.Expires + tombstoneRetentionMillis
			m.accountUsage(key.account).tombstones++
		}
	}
	m.expireTombstone(tombstoneKeyOf(key))
}

func (m *Machine) expireTombstone(t tombstoneKey) {
	if until, ok := m.tombstones[t]; ok && until <= m.latestTime {
		delete(m.tombstones, t)
		m.accountUsage(t.account).tombstones--
	}
}

// expireAll expires the records and tombstones of all keys.
func (m *Machine) expireAll() {
	for key := range m.intents {
		m.expireIntent(key)
	}
	for t := range m.tombstones {
		m.expireTombstone(t)
	}
}

// Booking returns the record of a booking. Callers must not modify the answer, which
// the machine still uses.
func (m *Machine) Booking(account, service, key string) (wire.Intent, bool) {
	intent := m.intents[intentKey{account, service, key}]
	if intent == nil {
		return wire.Intent{}, false
	}
	return *intent, true
}
