// Package record converts what nodes tell each other about upstreams between its form in
// memory and that in messages, where times are ages, because the clocks of nodes differ.
package record

import (
	"time"

	"github.com/jaystage/jaystage/pkg/pace"
	"github.com/jaystage/jaystage/pkg/poison"
	"github.com/jaystage/jaystage/pkg/wire"
)

// maxAge bounds the ages of messages. It exceeds the time for which any record is kept.
const maxAge = 2 * poison.BlockTime

// Crash returns the crash as it is sent now. name is the part's identifier in the clients'
// requests, or empty.
func Crash(now time.Time, r poison.Record, name string) wire.PartCrash {
	return wire.PartCrash{Part: uint64(r.Part), Name: name, Upstream: uint64(r.Upstream), Age: age(now, r.At), Sent: age(now, r.Sent)}
}

// FromCrash returns the crash of a message that arrives now.
func FromCrash(now time.Time, c wire.PartCrash) poison.Record {
	return poison.Record{Part: poison.Part(c.Part), Crash: poison.Crash{Upstream: poison.Upstream(c.Upstream), At: before(now, c.Age), Sent: before(now, c.Sent)}}
}

// Answer returns the last answer to a request with a part as it is sent now.
func Answer(now time.Time, a poison.Answer) wire.PartAnswer {
	return wire.PartAnswer{Part: uint64(a.Part), Age: age(now, a.At)}
}

// FromAnswer returns the answer of a message that arrives now.
func FromAnswer(now time.Time, a wire.PartAnswer) poison.Answer {
	return poison.Answer{Part: poison.Part(a.Part), At: before(now, a.Age)}
}

// Limits returns limits of upstreams as they are sent now.
func Limits(now time.Time, limits []pace.Limit) []wire.UpstreamLimit {
	var out []wire.UpstreamLimit
	for _, l := range limits {
		out = append(out, wire.UpstreamLimit{Upstream: l.Upstream, Rate: l.Rate, Age: age(now, l.At)})
	}
	return out
}

// FromLimit returns the limit of a message that arrives now.
func FromLimit(now time.Time, l wire.UpstreamLimit) pace.Limit {
	return pace.Limit{Upstream: l.Upstream, Rate: l.Rate, At: before(now, l.Age)}
}

// age returns the time since at, in microseconds.
func age(now, at time.Time) uint64 { return uint64(max(0, now.Sub(at).Microseconds())) }

// before returns the time that was an age in microseconds ago.
func before(now time.Time, age uint64) time.Time {
	return now.Add(-time.Duration(min(age, uint64(maxAge.Microseconds()))) * time.Microsecond)
}
