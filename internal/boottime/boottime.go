// Package boottime reads the clock that counts from the machine's start and goes on
// while the VM is suspended. Go's monotonic readings stand still then, so a lease
// that is measured with them would look valid after a resume.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Since returns the time since the machine's start, suspensions included.
func Since() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has this clock since 2.6.39; without it no lease can be trusted.
		panic("boottime: the boot-time clock cannot be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Now returns Since as a time that can be compared with other results of Now only.
func Now() time.Time { return time.Unix(0, int64(Since())) }

// Moment is one instant on the two clocks that a lease is measured with.
type Moment struct {
	// Monotonic carries Go's monotonic reading.
	Monotonic time.Time
	// Boot is the boot-time clock at the same instant.
	Boot time.Duration
}

// ReadClocks reads both clocks. The boot-time clock is read first, so that an age taken
// from it is never too short.
func ReadClocks() Moment {
	boot := Since()
	return Moment{Monotonic: time.Now(), Boot: boot}
}

// Age returns how long ago the moment was: the longer of both readings.
func (m Moment) Age(now Moment) time.Duration {
	return max(now.Monotonic.Sub(m.Monotonic), now.Boot-m.Boot)
}
