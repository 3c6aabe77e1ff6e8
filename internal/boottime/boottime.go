// Package boottime reads the boot-time clock, which counts the time since the machine
// was booted, including the time while the VM is suspended. Go's monotonic clock stops
// during a suspension, so an expired lease would look valid after the resume.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Since returns the time since the machine was booted, including suspensions.
func Since() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39. Without it, no lease can be trusted.
		panic("boottime: the boot-time clock cannot be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Now returns Since as a time.Time, which is only comparable with other results of Now.
func Now() time.Time { return time.Unix(0, int64(Since())) }

// Moment is an instant on the two clocks that measure the age of a lease.
type Moment struct {
	// Monotonic is a time that includes the reading of Go's monotonic clock.
	Monotonic time.Time
	// Boot is the reading of the boot-time clock at the same instant.
	Boot time.Duration
}

// ReadClocks reads both clocks. The boot-time clock is read first, so that an age taken
// from it is never too short.
func ReadClocks() Moment {
	boot := Since()
	return Moment{Monotonic: time.Now(), Boot: boot}
}

// Age returns the time from m to now on the clock on which it is longer.
func (m Moment) Age(now Moment) time.Duration {
	return max(now.Monotonic.Sub(m.Monotonic), now.Boot-m.Boot)
}
