package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/pkg/traffic"
)

// Where a pause of a stream arose.
const (
	pauseUpstream = "upstream" // the upstream sent nothing
	pauseNode     = "node"     // between the event being read and its write to the client
	pauseClient   = "client"   // the write to the client blocked
)

// pauses holds the longest pause between two writes of a stream's events to its client, which is
// the pause that the client sees unless the network between them delays an event.
type pauses struct {
	lastWrite time.Time
	longest   time.Duration
	// where the largest part of the longest pause arose, and how large that part is.
	where string
	part  time.Duration
	// firstWrite is when the first event was written, and writes the number of writes.
	firstWrite time.Time
	writes     int
}

// mean returns the mean time between two writes but for the longest pause; false if there were
// too few.
func (p *pauses) mean() (time.Duration, bool) {
	const least = 5
	if p.writes < least {
		return 0, false
	}
	return (p.lastWrite.Sub(p.firstWrite) - p.longest) / time.Duration(p.writes-2), true
}

// record records that events that were read at a time were written until another, in which the
// client blocked the write for some time.
func (p *pauses) record(read, written time.Time, blocked time.Duration) {
	last := p.lastWrite
	p.lastWrite = written
	if p.writes++; last.IsZero() {
		p.firstWrite = written
	}
	if last.IsZero() || written.Sub(last) <= p.longest {
		return
	}
	p.longest = written.Sub(last)
	silent := max(0, read.Sub(last))
	blocked = min(blocked, p.longest-silent)
	p.where, p.part = pauseUpstream, silent
	if behind := p.longest - silent - blocked; behind > p.part {
		p.where, p.part = pauseNode, behind
	}
	if blocked > p.part {
		p.where, p.part = pauseClient, blocked
	}
}

// addStreamFields adds what tells why a stream was late: its longest pause, and the first event
// against the estimate.
func (c *call) addStreamFields(fields logrus.Fields) {
	if c.pauses.longest > 0 {
		fields["pause_ms"], fields["pause_at"], fields["pause_part_ms"] = millis(c.pauses.longest), c.pauses.where, millis(c.pauses.part)
	}
	if c.chosenAt.IsZero() {
		return
	}
	u := &c.chosen.upstream
	fields["uncached"], fields["load"] = c.chosen.uncachedTokens, u.Load(c.chosenAt)
	if !u.ReportedAt.IsZero() {
		fields["report_age_ms"] = millis(c.chosenAt.Sub(u.ReportedAt))
	}
	if u.ReportedSlowness > 0 {
		fields["slowness"] = u.ReportedSlowness
	}
	if took, ok := c.firstEventAfter(); ok {
		fields["answer_ms"] = millis(took)
	}
}

// firstEventAfter returns the time from the start of the last attempt to the first event, or to
// the start of an answer that is no stream; false if an earlier attempt had begun to answer.
func (c *call) firstEventAfter() (time.Duration, bool) {
	return c.firstByteAt.Sub(c.chosenAt), !c.chosenAt.IsZero() && c.firstByteAt.After(c.chosenAt)
}

// recordStreamMetrics counts a stream that had a pause over its route's target by where it
// arose, and records the first event against its estimate.
func (c *call) recordStreamMetrics() {
	if c.route == nil || c.route.Kind != traffic.Stream {
		return
	}
	if c.route.TargetGap > 0 && c.pauses.longest > c.route.TargetGap {
		c.g.Metrics.count("pause " + c.pauses.where)
	}
	if took, ok := c.firstEventAfter(); ok && c.expectedDelay > 0 && c.service != nil {
		c.g.Metrics.recordEstimate(c.service.Name, float64(took)/float64(c.expectedDelay))
	}
}
