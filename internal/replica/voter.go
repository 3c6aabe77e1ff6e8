package replica

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/raft"
	"github.com/jaystage/jaystage/pkg/state"
	"github.com/jaystage/jaystage/pkg/wal"
	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	defaultElectionTimeout = 500 * time.Millisecond
	tickInterval           = 20 * time.Millisecond
	// heartbeatsPerElection is the number of heartbeats in an election timeout; the
	// Raft core needs five.
	heartbeatsPerElection = 5
	inboxCapacity         = 4096
	// maxBatchCommands bounds the commands that one step appends.
	maxBatchCommands       = 512
	expireInterval         = time.Minute // between removals of expired records
	snapshotEntryThreshold = 50_000
	snapshotByteThreshold  = 32 << 20
	maxCommandBytes        = 3 << 20
	transferTimeout        = 2 * time.Second
	transferPollInterval   = 10 * time.Millisecond
)

var (
	errNotLeader      = errors.New("this node is not the leader")
	errEarlierSession = errors.New("an earlier session of this node has not ended yet")
)

// request is sent by other goroutines to the voter's loop. Exactly one of the fields
// command, read, change and run is set.
type request struct {
	command *wire.Command
	read    func(error) // called in the loop once the read is confirmed or has failed
	change  *raft.Change
	run     func()
	answer  chan result
}

type result struct {
	outcome wire.Outcome
	err     error
}

// voter owns the log and the state machine. Only the goroutine of its loop accesses the
// Raft core and the state machine. While the loop runs, the writer's goroutine stores the
// loop's writes in the log.
type voter struct {
	r            *Replica
	node         *raft.Node
	log          *wal.Log
	incarnation  uint64 // of the data directory; the writer may change the rest of the identity
	machine      *state.Machine
	inbox        chan request
	messages     chan raft.Message
	writer       *writer
	status       raft.Status
	leaderState  *leaderState
	appliedIndex uint64

	lastID         uint64                  // id of the latest proposal or read
	proposals      map[uint64]request      // by id, until the Raft core returns the result
	pending        map[uint64]pendingEntry // by log index, until applied
	changed        []chan result           // of membership changes that are committed but not settled
	reads          map[uint64]func(error)
	unappliedReads []unappliedRead
	joinRequests   map[string]uint64
	transferTarget string // voter to which the next step transfers leadership
	inService      bool   // the directory is open; otherwise the Raft core must not be used

	entriesSinceSnapshot int
	bytesSinceSnapshot   int
	lastSnapshotBytes    int
	nextExpiry           time.Time // of expired records; only the leader uses it
	leaderMissing        time.Time // when a missing leader is reported next; zero while there is one
}

// pendingEntry is a proposal in the log that has not been applied yet.
type pendingEntry struct {
	term   uint64
	answer chan result
}

// unappliedRead is a confirmed read that waits until its index has been applied.
type unappliedRead struct {
	index uint64
	fn    func(error)
}

func openVoter(r *Replica) (*voter, error) {
	v := &voter{
		r: r, inbox: make(chan request, inboxCapacity), messages: make(chan raft.Message, inboxCapacity), proposals: make(map[uint64]request),
		pending: make(map[uint64]pendingEntry), reads: make(map[uint64]func(error)), joinRequests: make(map[string]uint64), machine: state.New(),
	}
	err := v.open()
	if err != nil && !isRefused(err) {
		event.With(r.config.Log, event.VoterFailed).WithError(err).Error("data directory cannot be opened; voter is out of service until it can")
		err = nil
	}
	return v, err
}

func (v *voter) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var in raft.Input
		select {
		case <-ctx.Done():
			return nil
		case done := <-v.writer.done:
			if done.err != nil {
				return done.err
			}
			in.Synced = done.number
			v.writer.batchDone()
		case m := <-v.messages:
			in.Message = &m
		case q := <-v.inbox:
			v.fillBatch(&in, q)
		case <-ticker.C:
		}
		if err := v.step(in); err != nil {
			return err
		}
	}
}

// fillBatch adds a request and those queued behind it to the input of one step.
func (v *voter) fillBatch(in *raft.Input, first request) {
	v.addRequest(in, first)
	for len(in.Propose) < maxBatchCommands && in.Change == nil && !v.r.config.hooks.syncEach {
		select {
		case q := <-v.inbox:
			v.addRequest(in, q)
		default:
			return
		}
	}
}

func (v *voter) addRequest(in *raft.Input, q request) {
	v.lastID++
	switch {
	case q.run != nil:
		q.run()
	case q.read != nil:
		v.reads[v.lastID] = q.read
		in.Read = append(in.Read, v.lastID)
	case q.change != nil:
		q.change.ID = v.lastID
		v.proposals[v.lastID] = q
		in.Change = q.change
	default:
		if err := v.checkSessionStart(q.command); err != nil {
			q.answer <- result{err: err}
			return
		}
		q.command.Time = uint64(time.Now().UnixMilli())
		data, err := wire.Marshal(q.command)
		if err == nil && len(data) > maxCommandBytes {
			q.answer <- result{outcome: wire.Outcome{Fault: faultTooLarge}}
			return
		}
		if err != nil {
			q.answer <- result{err: err}
			return
		}
		v.proposals[v.lastID] = q
		in.Propose = append(in.Propose, raft.Proposal{ID: v.lastID, Data: data})
	}
}

// step runs one step of the Raft core and carries out its output.
func (v *voter) step(in raft.Input) error {
	now := v.r.now()
	in.TransferTarget, v.transferTarget = v.transferTarget, ""
	out := v.node.Step(now, in)
	if out.Fault != nil {
		return out.Fault
	}
	v.writer.add(job{group: out.Group, write: out.Write})
	for _, m := range out.Messages {
		v.send(m)
	}
	if out.Restore != nil {
		if err := v.machine.Restore(out.Restore.Data); err != nil {
			return err
		}
		v.appliedIndex, v.entriesSinceSnapshot, v.bytesSinceSnapshot = out.Restore.Index, 0, 0
	}
	v.handleResults(out.Results)
	oldVersion := v.machine.Space.Version
	if err := v.apply(out.Committed); err != nil {
		return err
	}
	v.handleReads(out.Reads)
	v.logMembershipEvents(out)
	v.updateStatus()
	v.answerChanges()
	v.reportMissingLeader(now)
	if v.leaderState != nil {
		v.leaderState.tick(now, oldVersion)
	}
	return v.compact()
}

func (v *voter) send(m raft.Message) {
	if v.r.dropped(m.To, kindRaft) {
		return
	}
	if n := v.r.config.hooks.sentMessages; n != nil {
		n.Add(1)
	}
	// The Raft core resends what a lost message contained.
	_ = v.r.config.Links.Send(m.To, kindRaft, m)
}

// onMessage queues a Raft message of another member.
func (v *voter) onMessage(_ context.Context, from string, body []byte) (any, error) {
	var m raft.Message
	if err := wire.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	if m.From != from || v.r.dropped(from, kindRaft) {
		return nil, nil
	}
	select {
	case v.messages <- m:
	default: // the queue is full; handled like a lost message
	}
	return nil, nil
}

func (v *voter) handleResults(results []raft.Result) {
	for _, res := range results {
		q, ok := v.proposals[res.ID]
		delete(v.proposals, res.ID)
		switch {
		case !ok:
		case res.Err != nil:
			q.answer <- result{err: res.Err}
		default:
			v.pending[res.Index] = pendingEntry{term: res.Term, answer: q.answer}
		}
	}
}

// apply applies committed commands and answers the requests that wait for them.
func (v *voter) apply(entries []raft.Entry) error {
	for _, e := range entries {
		var outcome wire.Outcome
		if e.Kind == raft.EntryCommand {
			var c wire.Command
			if err := wire.Unmarshal(e.Data, &c); err != nil {
				return fmt.Errorf("cannot decode log entry %d: %w", e.Index, err)
			}
			outcome = v.machine.Apply(c)
			if c.Session != nil && v.leaderState != nil {
				v.leaderState.recordSession(*c.Session)
			}
		}
		v.appliedIndex = e.Index
		v.entriesSinceSnapshot++
		v.bytesSinceSnapshot += len(e.Data)
		if proposal, ok := v.pending[e.Index]; ok {
			delete(v.pending, e.Index)
			switch {
			case proposal.term != e.Term:
				proposal.answer <- result{err: errNotLeader}
			case e.Kind == raft.EntryMembership:
				v.changed = append(v.changed, proposal.answer)
			default:
				proposal.answer <- result{outcome: outcome}
			}
		}
	}
	return nil
}

// answerChanges answers the membership changes that are settled: a quorum holds an entry which
// shows that the change is committed. After the loss of the leader, too, the voters then need no
// answer of one that the change took out.
func (v *voter) answerChanges() {
	if v.status.ChangePending {
		return
	}
	for _, answer := range v.changed {
		answer <- result{}
	}
	v.changed = nil
}

func (v *voter) handleReads(reads []raft.ReadResult) {
	for _, read := range reads {
		fn, ok := v.reads[read.ID]
		delete(v.reads, read.ID)
		switch {
		case !ok:
		case read.Err != nil:
			fn(read.Err)
		default:
			v.unappliedReads = append(v.unappliedReads, unappliedRead{read.Index, fn})
		}
	}
	kept := v.unappliedReads[:0]
	for _, waiting := range v.unappliedReads {
		if waiting.index <= v.appliedIndex {
			waiting.fn(nil)
			continue
		}
		kept = append(kept, waiting)
	}
	v.unappliedReads = kept
}

func (v *voter) logMembershipEvents(out raft.Output) {
	for _, m := range out.JoinRequests {
		if v.joinRequests[m.Name] != m.Incarnation {
			v.joinRequests[m.Name] = m.Incarnation
			event.With(v.r.config.Log, event.VoterJoining).WithField("voter", m.Name).
				WithField("incarnation", m.Incarnation).Warn("voter with a new data directory requests to join")
		}
	}
	for _, m := range out.Regressed {
		event.With(v.r.config.Log, event.VoterFailed).WithField("voter", m.Name).Error("data directory of the voter lacks entries or votes that it acknowledged")
	}
}

// failPending fails all pending requests.
func (v *voter) failPending(err error) {
	for index, w := range v.pending {
		delete(v.pending, index)
		w.answer <- result{err: err}
	}
	for _, answer := range v.changed {
		answer <- result{err: err}
	}
	v.changed = nil
	for id, q := range v.proposals {
		delete(v.proposals, id)
		q.answer <- result{err: err}
	}
	for id, fn := range v.reads {
		delete(v.reads, id)
		fn(err)
	}
	for _, read := range v.unappliedReads {
		read.fn(err)
	}
	v.unappliedReads = nil
}

// compact replaces the log by a snapshot once it has grown large enough.
func (v *voter) compact() error {
	entries := snapshotEntryThreshold
	if n := v.r.config.hooks.snapshotEach; n > 0 {
		entries = n
	}
	if v.entriesSinceSnapshot < entries && v.bytesSinceSnapshot < max(snapshotByteThreshold, v.lastSnapshotBytes) {
		return nil
	}
	data, err := v.machine.Snapshot()
	if err != nil {
		return err
	}
	v.entriesSinceSnapshot, v.bytesSinceSnapshot, v.lastSnapshotBytes = 0, 0, len(data)
	event.With(v.r.config.Log, event.SnapshotSaved).WithField("index", v.appliedIndex).WithField("bytes", len(data)).Info("took a snapshot of the state")
	return v.step(raft.Input{Compact: &raft.Compaction{Index: v.appliedIndex, Data: data}})
}
