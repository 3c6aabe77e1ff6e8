package control

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/record"
	"github.com/jaystage/jaystage/pkg/poison"
	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	// partInterval is how often the leader checks which parts of prompts to block.
	partInterval = 100 * time.Millisecond
	// maxWatchedParts bounds the parts for whose answers the leader asks.
	maxWatchedParts = 64
	// maxBlockedParts bounds the entries of the replicated state.
	maxBlockedParts = 256
	// maxPartNames bounds the names that the leader keeps of parts.
	maxPartNames = 4096
	// recordsTime is the time within which a new leader has received the records of all
	// nodes: two usage reports.
	recordsTime = 2 * time.Second
)

// partBlocker blocks the parts of prompts that crash upstreams, while this voter leads. The
// decision is an entry of the replicated state, so that it reaches every node with its
// session and outlasts restarts. A new leader receives the records of all nodes again.
type partBlocker struct {
	c *Control

	mu         sync.Mutex
	term       uint64
	table      *poison.Table
	names      map[poison.Part]string // of parts with crashes, and of some that were cleared since
	leadership leadership
	// watched lists the parts that nodes watch, as of watchedAt.
	watched   []uint64
	watchedAt time.Time
}

// apply applies the crashes and answers of a usage report and returns the parts whose
// answers the node must report.
func (b *partBlocker) apply(now time.Time, term uint64, view *config.View, report wire.UseTally) []uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.term != term || b.table == nil {
		b.term, b.table, b.names, b.watchedAt = term, poison.New(), make(map[poison.Part]string), time.Time{}
	}
	for _, a := range report.Answers {
		answer := record.FromAnswer(now, a)
		b.table.RecordAnswer(answer.At, []poison.Part{answer.Part})
	}
	for _, c := range report.Crashes {
		if b.table.Merge(now, record.FromCrash(now, c)) {
			b.names[poison.Part(c.Part)] = c.Name
		}
	}
	if len(b.names) > maxPartNames {
		maps.DeleteFunc(b.names, func(p poison.Part, _ string) bool { return !b.table.HasCrashes(p) })
	}
	// Hundreds of nodes report several times a second, and the table may be large.
	if now.Sub(b.watchedAt) >= totalsMaxAge {
		b.watchedAt, b.watched = now, nil
		for p := range view.BlockedParts {
			b.watched = append(b.watched, uint64(p))
		}
		for _, p := range b.table.Watched(maxWatchedParts) {
			if _, blocked := view.BlockedParts[p]; !blocked {
				b.watched = append(b.watched, uint64(p))
			}
		}
	}
	return b.watched
}

// decision returns the entries to store and the parts to release.
func (b *partBlocker) decision(now time.Time, term uint64, view *config.View) (store map[poison.Part]config.BlockedPart, release []poison.Part) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.term != term || b.table == nil {
		return nil, nil
	}
	complete := b.leadership.heldFor(now, term, recordsTime)
	blocks := b.table.Blocked(now)
	for p, blocked := range view.BlockedParts {
		since := time.UnixMilli(blocked.Since)
		_, proven := b.table.Proven(now, p)
		if proven || now.Sub(since) >= poison.BlockTime || complete && b.table.Explained(p, blocks) {
			release = append(release, p)
		}
	}
	store = make(map[poison.Part]config.BlockedPart)
	for _, block := range blocks {
		entry, known := view.BlockedParts[block.Part]
		switch {
		case !known && len(view.BlockedParts)+len(store) >= maxBlockedParts:
		case !known:
			store[block.Part] = config.BlockedPart{Name: b.names[block.Part], Since: now.UnixMilli(), With: block.With}
		case complete && len(block.With) < len(entry.With):
			entry.With = block.With
			store[block.Part] = entry
		}
	}
	return store, release
}

func (b *partBlocker) run(ctx context.Context, now time.Time) {
	term, leads := b.c.State.Leading()
	view, valid := b.c.State.View(now)
	if !leads || !valid {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	store, release := b.decision(now, term, view)
	for p, entry := range store {
		log := event.With(b.c.Log, event.PartBlocked).WithFields(logrus.Fields{"part": entry.Name, "key": config.PartKey(p), "with": len(entry.With)})
		if err := b.c.put(ctx, view, config.PartKey(p), entry); err != nil {
			log.WithError(err).Warn("could not block a part of prompts that crashes upstreams")
			return // the next call tries again
		}
		log.Warn("requests with a part that crashes upstreams are refused")
	}
	for _, p := range release {
		log := event.With(b.c.Log, event.PartReleased).WithFields(logrus.Fields{"part": view.BlockedParts[p].Name, "key": config.PartKey(p)})
		if err := b.c.change(ctx, view, b.c.Self, wire.Item{Key: config.PartKey(p), Deleted: true}); err != nil {
			log.WithError(err).Warn("could not release a part of prompts")
			return
		}
		log.Info("requests with a part are admitted again")
	}
}
