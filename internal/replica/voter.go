package replica

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jaystage/jaystage/internal/boottime"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/raft"
	"github.com/jaystage/jaystage/pkg/state"
	"github.com/jaystage/jaystage/pkg/wal"
	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	defaultElection = 500 * time.Millisecond
	tickInterval    = 20 * time.Millisecond
	// heartbeatPart is the number of heartbeats in an election timeout; the consensus
	// core needs five.
	heartbeatPart = 5
	maxInbox      = 4096
	// maxTogether bounds the commands that one step appends.
	maxTogether      = 512
	expireInterval   = time.Minute
	snapshotEntries  = 50_000
	snapshotBytes    = 32 << 20
	maxCommandBytes  = 3 << 20
	handOverLimit    = 2 * time.Second
	handOverInterval = 10 * time.Millisecond
)

var (
	errElsewhere = errors.New("this node does not lead")
	errEarlier   = errors.New("an earlier session of this node has not ended yet")
)

// request is what another goroutine asks of the voter's loop. Exactly one of the
// fields command, read, change and run is set.
type request struct {
	command *wire.Command
	read    func(error) // called once a read is confirmed, in the loop
	change  *raft.Change
	run     func()
	answer  chan result
}

type result struct {
	outcome wire.Outcome
	err     error
}

// voter owns the log and the state machine. Its loop is the only goroutine that
// touches them.
type voter struct {
	r        *Replica
	node     *raft.Node
	log      *wal.Log
	machine  *state.Machine
	inbox    chan request
	messages chan raft.Message
	writer   *writer
	status   raft.Status
	lead     *leadership
	applied  uint64

	next      uint64              // id of the next proposal or read
	proposals map[uint64]request  // by id, until the result
	waiting   map[uint64]position // by log index, until committed
	reads     map[uint64]func(error)
	due       []dueRead
	joining   map[string]uint64
	handTo    string // voter that the next step hands leadership to

	sinceEntries int // since the newest snapshot
	sinceBytes   int
	imageBytes   int // size of the newest snapshot
	expireAt     time.Time
}

type position struct {
	term   uint64
	answer chan result
}

type dueRead struct {
	index uint64
	fn    func(error)
}

func openVoter(r *Replica) (*voter, error) {
	v := &voter{
		r: r, inbox: make(chan request, maxInbox), messages: make(chan raft.Message, maxInbox), proposals: make(map[uint64]request),
		waiting: make(map[uint64]position), reads: make(map[uint64]func(error)), joining: make(map[string]uint64),
	}
	return v, v.open()
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
			v.writer.idle()
		case m := <-v.messages:
			in.Message = &m
		case q := <-v.inbox:
			v.gather(&in, q)
		case <-ticker.C:
		}
		if err := v.step(in); err != nil {
			return err
		}
	}
}

// gather puts a request and those that wait behind it into one step.
func (v *voter) gather(in *raft.Input, first request) {
	v.take(in, first)
	for len(in.Propose) < maxTogether && in.Change == nil && !v.r.config.hooks.syncEach {
		select {
		case q := <-v.inbox:
			v.take(in, q)
		default:
			return
		}
	}
}

func (v *voter) take(in *raft.Input, q request) {
	v.next++
	switch {
	case q.run != nil:
		q.run()
	case q.read != nil:
		v.reads[v.next] = q.read
		in.Read = append(in.Read, v.next)
	case q.change != nil:
		q.change.ID = v.next
		v.proposals[v.next] = q
		in.Change = q.change
	default:
		if err := v.mayPropose(q.command); err != nil {
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
		v.proposals[v.next] = q
		in.Propose = append(in.Propose, raft.Proposal{ID: v.next, Data: data})
	}
}

// step runs one step of the consensus core and does what it asks for.
func (v *voter) step(in raft.Input) error {
	now := boottime.Now()
	in.TransferTarget, v.handTo = v.handTo, ""
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
		v.applied, v.sinceEntries, v.sinceBytes = out.Restore.Index, 0, 0
	}
	v.noteResults(out.Results)
	before := v.machine.Space.Version
	if err := v.apply(out.Committed); err != nil {
		return err
	}
	v.noteReads(out.Reads)
	v.noteMembers(out)
	v.noteStatus()
	if v.lead != nil {
		v.lead.tick(now, before)
	}
	return v.compact()
}

func (v *voter) send(m raft.Message) {
	if v.r.lost(m.To, kindRaft) {
		return
	}
	if n := v.r.config.hooks.sent; n != nil {
		n.Add(1)
	}
	// A lost message is repeated by the consensus core.
	_ = v.r.config.Links.Send(m.To, kindRaft, m)
}

// onMessage takes a message of another member.
func (v *voter) onMessage(_ context.Context, from string, body []byte) (any, error) {
	var m raft.Message
	if err := wire.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	if m.From != from || v.r.lost(from, kindRaft) {
		return nil, nil
	}
	select {
	case v.messages <- m:
	default: // as if lost on the way
	}
	return nil, nil
}

func (v *voter) noteResults(results []raft.Result) {
	for _, res := range results {
		q, ok := v.proposals[res.ID]
		delete(v.proposals, res.ID)
		switch {
		case !ok:
		case res.Err != nil:
			q.answer <- result{err: res.Err}
		default:
			v.waiting[res.Index] = position{term: res.Term, answer: q.answer}
		}
	}
}

// apply runs committed commands and answers those that wait for them.
func (v *voter) apply(entries []raft.Entry) error {
	for _, e := range entries {
		var outcome wire.Outcome
		if e.Kind == raft.EntryCommand {
			var c wire.Command
			if err := wire.Unmarshal(e.Data, &c); err != nil {
				return fmt.Errorf("entry %d of the log cannot be decoded: %w", e.Index, err)
			}
			outcome = v.machine.Apply(c)
			if c.Session != nil && c.Session.Up && v.lead != nil {
				delete(v.lead.starting, c.Session.Node)
			}
		}
		v.applied = e.Index
		v.sinceEntries++
		v.sinceBytes += len(e.Data)
		if w, ok := v.waiting[e.Index]; ok {
			delete(v.waiting, e.Index)
			if w.term == e.Term {
				w.answer <- result{outcome: outcome}
			} else {
				w.answer <- result{err: errElsewhere}
			}
		}
	}
	return nil
}

func (v *voter) noteReads(reads []raft.ReadResult) {
	for _, read := range reads {
		fn, ok := v.reads[read.ID]
		delete(v.reads, read.ID)
		switch {
		case !ok:
		case read.Err != nil:
			fn(read.Err)
		default:
			v.due = append(v.due, dueRead{read.Index, fn})
		}
	}
	kept := v.due[:0]
	for _, d := range v.due {
		if d.index <= v.applied {
			d.fn(nil)
			continue
		}
		kept = append(kept, d)
	}
	v.due = kept
}

func (v *voter) noteMembers(out raft.Output) {
	for _, m := range out.JoinRequests {
		if v.joining[m.Name] != m.Incarnation {
			v.joining[m.Name] = m.Incarnation
			event.With(v.r.config.Log, event.VoterJoining).WithField("voter", m.Name).WithField("incarnation", m.Incarnation).Warn("voter with a new data folder asks to join")
		}
	}
	for _, m := range out.Regressed {
		event.With(v.r.config.Log, event.VoterFailed).WithField("voter", m.Name).Error("data folder of the voter is older than its acknowledgements")
	}
}

// noteStatus follows changes of leadership. Commands that wait when this member
// stops leading may still be committed; their senders ask the next leader.
func (v *voter) noteStatus() {
	old := v.status
	v.status = v.node.Status()
	leads := v.status.Role == raft.Leader
	if leads {
		v.r.leading.Store(v.status.Term)
	} else {
		v.r.leading.Store(0)
	}
	if old.Leader != v.status.Leader {
		v.r.learnLeader(v.status.Leader)
	}
	if v.lead != nil && (!leads || v.lead.term != v.status.Term) {
		v.lead.end()
		v.lead = nil
		v.failAll(errElsewhere)
	}
	if leads && v.lead == nil {
		v.lead = newLeadership(v)
		event.With(v.r.config.Log, event.LeaderChanged).WithField("term", v.status.Term).Info("this node leads the group")
	}
}

// failAll ends everything that waits.
func (v *voter) failAll(err error) {
	for index, w := range v.waiting {
		delete(v.waiting, index)
		w.answer <- result{err: err}
	}
	for id, q := range v.proposals {
		delete(v.proposals, id)
		q.answer <- result{err: err}
	}
	for id, fn := range v.reads {
		delete(v.reads, id)
		fn(err)
	}
	for _, d := range v.due {
		d.fn(err)
	}
	v.due = nil
}

// compact replaces the log by a snapshot once it has grown.
func (v *voter) compact() error {
	if v.sinceEntries < snapshotEntries && v.sinceBytes < max(snapshotBytes, v.imageBytes) {
		return nil
	}
	data, err := v.machine.Snapshot()
	if err != nil {
		return err
	}
	v.sinceEntries, v.sinceBytes, v.imageBytes = 0, 0, len(data)
	event.With(v.r.config.Log, event.SnapshotSaved).WithField("index", v.applied).WithField("bytes", len(data)).Info("snapshot of the state taken")
	return v.step(raft.Input{Compact: &raft.Compaction{Index: v.applied, Data: data}})
}
