package replica

import (
	"context"
	"errors"
	"io/fs"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/raft"
	"github.com/jaystage/jaystage/pkg/state"
	"github.com/jaystage/jaystage/pkg/wal"
)

// reopenInterval is how often a voter whose disk failed tries to reopen its directory.
const reopenInterval = 250 * time.Millisecond

// open recovers the log from the data directory and starts the Raft core as a follower.
func (v *voter) open() error {
	c := v.r.config
	options := wal.Options{Name: c.Entry.Name, FS: c.hooks.fs, SegmentBytes: c.hooks.segmentBytes, Random: c.hooks.random}
	if c.NoFileIDs {
		options.FS = wal.OSWithoutFileID{}
	}
	log, err := wal.Open(c.DataDir, options)
	if err != nil {
		return err
	}
	recovered, err := log.Recover()
	if err != nil {
		return errors.Join(err, log.Close())
	}
	id := log.Identity()
	v.incarnation = id.Incarnation
	v.inService = true
	v.log, v.machine, v.writer = log, state.New(), newWriter(log, c.hooks.syncEach)
	v.appliedIndex, v.entriesSinceSnapshot, v.bytesSinceSnapshot, v.lastSnapshotBytes = 0, 0, 0, 0
	v.status, v.transferTarget = raft.Status{}, ""
	v.node = raft.New(raft.Config{
		Name: c.Entry.Name, Incarnation: id.Incarnation, Group: id.Group, Restarted: id.Group != "", Peers: c.InitialVoters,
		Bootstrap: !c.JoinOnly, NewGroup: newID(), GroupSize: c.groupSize(), ElectionTimeout: c.ElectionTimeout, HeartbeatInterval: c.ElectionTimeout / heartbeatsPerElection, Seed: v.r.random(),
		State: recovered.State, Snapshot: recovered.Snapshot, Entries: recovered.Entries,
	})
	return nil
}

// groupSize returns the number of voters that the group needs.
func (c Config) groupSize() int {
	if c.GroupSize > 0 {
		return c.GroupSize
	}
	return len(c.InitialVoters)
}

// random returns a random number.
func (r *Replica) random() uint64 {
	if r.config.hooks.seed != nil {
		return r.config.hooks.seed()
	}
	return rand.Uint64()
}

// isRefused reports whether a directory cannot be opened until an operator acts. Other
// errors, such as a full disk, may pass.
func isRefused(err error) bool {
	var corrupt *wal.CorruptError
	return errors.As(err, &corrupt) || slices.ContainsFunc([]error{
		wal.ErrLocked, wal.ErrForeign, wal.ErrCopied, wal.ErrNewerFormat, fs.ErrPermission, fs.ErrNotExist, syscall.ENOTDIR,
	}, func(refusal error) bool { return errors.Is(err, refusal) })
}

// run runs the voter. It returns nil once ctx has ended. After a failed write, or if the
// directory could not be opened at the start, it tries to open the directory until the
// disk accepts writes; meanwhile this node does not act as a voter.
func (v *voter) run(ctx context.Context) error {
	for {
		if v.inService {
			err := v.serve(ctx)
			if !errors.Is(err, wal.ErrDurability) {
				return err
			}
			event.With(v.r.config.Log, event.VoterFailed).WithError(err).Error("disk write failed; voter is out of service until writes succeed")
		}
		if err := v.reopen(ctx); err != nil || ctx.Err() != nil {
			return err
		}
		event.With(v.r.config.Log, event.VoterChanged).WithField("voter", v.r.config.Entry.Name).Info("disk accepts writes again; voter is back in service")
	}
}

// serve runs the loop and the writer on the open log, then closes the log.
func (v *voter) serve(ctx context.Context) error {
	writerDone := make(chan struct{})
	go func() { defer close(writerDone); v.writer.run() }()
	err := v.loop(ctx)
	close(v.writer.batches)
	<-writerDone
	v.stepDown()
	return errors.Join(err, v.log.Close())
}

// stepDown ends the service: it gives up leadership and fails all pending requests.
func (v *voter) stepDown() {
	v.inService, v.status = false, raft.Status{}
	v.r.leading.Store(0)
	if v.r.Leader() == v.r.config.Entry.Name {
		v.r.setLeader("")
	}
	if v.leaderState != nil {
		v.leaderState.cancelWaiters()
		v.leaderState = nil
	}
	v.failPending(errNotLeader)
}

// reopen tries to open the directory until it succeeds or ctx ends. Requests that arrive
// meanwhile are rejected. An error means that the data in the directory is corrupt.
func (v *voter) reopen(ctx context.Context) error {
	ticker := time.NewTicker(reopenInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case q := <-v.inbox:
			q.reject(errNotLeader)
			continue
		case <-v.messages:
			continue // handled like a lost message
		case <-ticker.C:
		}
		err := v.open()
		var corrupt *wal.CorruptError
		if err == nil || errors.As(err, &corrupt) {
			return err
		}
	}
}

// reject answers a request without the Raft core.
func (q request) reject(err error) {
	switch {
	case q.run != nil:
		q.run()
	case q.read != nil:
		q.read(err)
	default:
		q.answer <- result{err: err}
	}
}
