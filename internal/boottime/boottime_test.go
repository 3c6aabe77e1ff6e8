package boottime

import (
	"testing"
	"time"
)

// Guards against a lease that outlives a suspension: only the boot-time clock
// counts it.
func TestAgeCountsASuspension(t *testing.T) {
	start := ReadClocks()
	later := Moment{Monotonic: start.Monotonic.Add(time.Second), Boot: start.Boot + time.Minute}
	if got, want := start.Age(later), time.Minute; got != want {
		t.Errorf("got age %v, want %v", got, want)
	}
}

func TestClockDoesNotGoBack(t *testing.T) {
	first := Now()
	if second := Now(); second.Before(first) {
		t.Errorf("got %v after %v", second, first)
	}
}
