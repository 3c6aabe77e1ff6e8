package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/raft"
	"github.com/jaystage/jaystage/pkg/state"
	"github.com/jaystage/jaystage/pkg/wal"
)

// reopenInterval is how often a voter whose disk failed tries to write again.
const reopenInterval = 250 * time.Millisecond

// open recovers the folder and starts as a follower with what it holds.
func (v *voter) open() error {
	c := v.r.config
	options := wal.Options{Name: c.Entry.Name, FS: c.hooks.fs}
	if c.Unstamped {
		options.FS = wal.OSWithoutFileID{}
	}
	log, err := wal.Open(c.Data, options)
	if err != nil {
		return err
	}
	recovered, err := log.Recover()
	if err != nil {
		return errors.Join(err, log.Close())
	}
	id := log.Identity()
	v.log, v.machine, v.writer = log, state.New(), newWriter(log, c.hooks.syncEach)
	v.applied, v.sinceEntries, v.sinceBytes, v.imageBytes = 0, 0, 0, 0
	v.status, v.handTo = raft.Status{}, ""
	v.node = raft.New(raft.Config{
		Name: c.Entry.Name, Incarnation: id.Incarnation, Group: id.Group, Restarted: id.Group != "", Peers: c.Voters,
		Bootstrap: !c.JoinOnly, NewGroup: newID(), ElectionTimeout: c.Election, HeartbeatInterval: c.Election / heartbeatPart, Seed: rand.Uint64(),
		State: recovered.State, Snapshot: recovered.Snapshot, Entries: recovered.Entries,
	})
	return nil
}

// run is the voter's loop. It returns nil once ctx has ended. After a failed write it
// opens the folder again until the disk takes writes; meanwhile it is no voter.
func (v *voter) run(ctx context.Context) error {
	for {
		err := v.serve(ctx)
		if !errors.Is(err, wal.ErrDurability) {
			return err
		}
		event.With(v.r.config.Log, event.VoterFailed).WithError(err).Error("disk takes no writes, voter steps back until it does")
		if err := v.reopen(ctx); err != nil || ctx.Err() != nil {
			return err
		}
		event.With(v.r.config.Log, event.VoterChanged).WithField("voter", v.r.config.Entry.Name).Info("disk takes writes again, voter is back")
	}
}

// serve runs the loop and the writer on the open folder, and closes it.
func (v *voter) serve(ctx context.Context) error {
	writerDone := make(chan struct{})
	go func() { defer close(writerDone); v.writer.run() }()
	err := v.loop(ctx)
	close(v.writer.jobs)
	<-writerDone
	v.stepDown()
	return errors.Join(err, v.log.Close())
}

// stepDown ends leadership and everything that waits.
func (v *voter) stepDown() {
	v.r.leading.Store(0)
	if v.r.Leader() == v.r.config.Entry.Name {
		v.r.learnLeader("")
	}
	if v.lead != nil {
		v.lead.end()
		v.lead = nil
	}
	v.failAll(errElsewhere)
}

// reopen tries to open the folder until it succeeds or ctx ends. What others ask
// meanwhile is refused. An error means that the folder is damaged.
func (v *voter) reopen(ctx context.Context) error {
	ticker := time.NewTicker(reopenInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case q := <-v.inbox:
			q.refuse(errElsewhere)
			continue
		case <-v.messages:
			continue // as if lost on the way
		case <-ticker.C:
		}
		err := v.open()
		var corrupt *wal.CorruptError
		if err == nil || errors.As(err, &corrupt) {
			return err
		}
	}
}

// refuse answers a request without the consensus core.
func (q request) refuse(err error) {
	switch {
	case q.run != nil:
		q.run()
	case q.read != nil:
		q.read(err)
	default:
		q.answer <- result{err: err}
	}
}
