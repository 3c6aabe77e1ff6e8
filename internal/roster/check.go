package roster

import (
	"fmt"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/jaystage/jaystage/pkg/wire"
)

// Limits on a status. A status beyond them is not an upstream's: engines in use have 6 to
// 64 slots and are cold for seconds.
const (
	MaxSlots = 1 << 20
	MaxDelay = 24 * time.Hour
	// MaxTextBytes keeps the statuses of thousands of upstreams within one frame.
	MaxTextBytes = 256
	// maxBorn is a time in the year 2109. A larger start time, for example one in
	// microseconds, would outdate every later one.
	maxBorn = 1 << 42
	// maxSequence is the largest integer that every JSON encoder preserves.
	maxSequence = 1 << 53
)

// Check returns an error if no upstream can have sent a status.
func Check(s wire.Status) error {
	if s.ID == "" || strings.ContainsFunc(s.ID, func(c rune) bool { return unicode.IsControl(c) || unicode.IsSpace(c) }) {
		return fmt.Errorf("upstream has the impossible id %q", cut(s.ID))
	}
	for _, f := range []struct{ name, value string }{
		{"id", s.ID}, {"service", s.Service}, {"address", s.Address}, {"domain", s.Domain}, {"version", s.Version},
	} {
		// A message with text that is not UTF-8 cannot be decoded by its receivers.
		if len(f.value) > MaxTextBytes || !utf8.ValidString(f.value) {
			return fmt.Errorf("upstream %q has an impossible %s of %d bytes", cut(s.ID), f.name, len(f.value))
		}
	}
	for _, f := range []struct {
		name       string
		value, max uint64
	}{
		{"number of slots", s.Slots, MaxSlots},
		{"cold time", s.Cold, uint64(MaxDelay.Milliseconds())},
		{"time to its reclaim", s.Leaves, uint64(MaxDelay.Milliseconds())},
		{"start time", s.Born, maxBorn},
		{"sequence number", s.Sequence, maxSequence},
	} {
		if f.value > f.max {
			return fmt.Errorf("upstream %q has the impossible %s %d", cut(s.ID), f.name, f.value)
		}
	}
	return nil
}

// cut shortens a text of unknown length for an error message.
func cut(text string) string { return text[:min(len(text), 64)] }
