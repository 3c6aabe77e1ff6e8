package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/record"
	"github.com/jaystage/jaystage/pkg/placement"
	"github.com/jaystage/jaystage/pkg/poison"
	"github.com/jaystage/jaystage/pkg/verdict"
	"github.com/jaystage/jaystage/pkg/wire"
)

// maxUnacknowledgedCrashes bounds the crashes that a node keeps for the leader.
const maxUnacknowledgedCrashes = 512

// partRecords holds which parts of prompts were open at crashed upstreams on this node, and
// which were answered. The leader decides from the records of all nodes which parts are
// blocked. It is safe for concurrent use.
type partRecords struct {
	mu    sync.Mutex
	table *poison.Table
	// crashes holds this node's records, oldest first.
	crashes []partCrash
	// term is the term of the leader that last replied, and watched the parts that it
	// watches.
	term    uint64
	watched []poison.Part
}

type partCrash struct {
	poison.Record
	name string // of the part, in the clients' requests
	// acknowledged is true once the leader of the present term has received the record.
	acknowledged bool
}

func newPartRecords() *partRecords { return &partRecords{table: poison.New()} }

// sharedParts returns the parts that other requests may share: all but the last, which
// belongs to the request itself.
func sharedParts(model string, parts []placement.Part) []poison.Part {
	var shared []poison.Part
	for i := range max(0, len(parts)-1) {
		shared = append(shared, poison.NewPart(model, parts[i].ID))
	}
	return shared
}

// checkParts refuses a call that crashes upstreams, by a part of its prompt or as a whole.
func (c *call) checkParts(view *config.View, now time.Time) *verdict.Error {
	if len(view.BlockedParts) == 0 {
		return nil
	}
	for _, p := range c.parts {
		blocked, ok := view.BlockedParts[p]
		if ok && (poison.Block{Part: p, With: blocked.With}).Applies(c.parts) {
			after := max(time.Second, time.UnixMilli(blocked.Since).Add(poison.BlockTime).Sub(now))
			return refusal(http.StatusServiceUnavailable, verdict.CodeCrashes, after, "the upstreams that ran this request, or others with "+blocked.Name+", crashed")
		}
	}
	return nil
}

// recordAnswer records that the call was answered in full, which proves its parts harmless.
// A response without length or chunks may also end because its upstream crashed.
func (c *call) recordAnswer(resp *http.Response) {
	if !framed(resp) || resp.StatusCode >= http.StatusMultipleChoices {
		return
	}
	r := c.g.parts
	r.mu.Lock()
	defer r.mu.Unlock()
	now, request := time.Now(), len(c.parts)-1
	r.table.RecordAnswer(now, c.parts[:request])
	// Few requests come again, so only those that were open at a crash are kept.
	if p := c.parts[request]; r.table.HasCrashes(p) || slices.Contains(r.watched, p) {
		r.table.RecordAnswer(now, c.parts[request:])
	}
}

// recordCrash records that the upstream crashed during an attempt of the call. It reports
// whether another upstream had crashed, before the attempt was sent, under a request with
// one of the call's parts.
func (r *partRecords) recordCrash(now time.Time, a *attempt, c *call) (suspected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	suspected = r.table.Suspected(a.started, c.parts)
	upstream := poison.NewUpstream(a.upstream.ID, strconv.FormatInt(a.upstream.StartMillis, 10))
	for _, added := range r.table.RecordCrash(now, upstream, a.started, c.parts) {
		crash := partCrash{Record: added}
		switch i := slices.Index(c.parts, added.Part); {
		case i == len(c.parts)-1:
			crash.name = "request " + c.id
		case i >= 0:
			crash.name = "part " + c.prompt.Parts[i].ID
		}
		r.crashes = append(r.crashes, crash)
	}
	r.crashes = r.crashes[max(0, len(r.crashes)-maxUnacknowledgedCrashes):]
	return suspected
}

// fillUsageReport adds the crashes that the leader has not received, and the answers that it
// watches for, to a usage report. It returns the time up to which crashes are included.
func (r *partRecords) fillUsageReport(now time.Time, report *wire.UseTally) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes = slices.DeleteFunc(r.crashes, func(c partCrash) bool { return now.Sub(c.At) >= poison.BlockTime })
	for _, c := range r.crashes {
		if !c.acknowledged {
			report.Crashes = append(report.Crashes, record.Crash(now, c.Record, c.name))
		}
	}
	for _, p := range r.watched {
		if at, ok := r.table.Proven(now, p); ok {
			report.Answers = append(report.Answers, record.Answer(now, poison.Answer{Part: p, At: at}))
		}
	}
	return now
}

// applyTotals applies the leader's reply to a report that included crashes up to sent. A new
// leader has to receive all crashes again.
func (r *partRecords) applyTotals(sent time.Time, totals wire.UseTotals) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sameLeader := totals.Term == r.term
	for i := range r.crashes {
		c := &r.crashes[i]
		c.acknowledged = sameLeader && (c.acknowledged || !c.At.After(sent))
	}
	r.term, r.watched = totals.Term, r.watched[:0]
	for _, p := range totals.Watched {
		r.watched = append(r.watched, poison.Part(p))
	}
}
