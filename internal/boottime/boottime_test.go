package boottime

import (
	"testing"
	"time"
)

// Guards against a lease that stays valid through a suspension of the VM, which only the
// boot-time clock counts.
func TestAgeIncludesSuspension(t *testing.T) {
	start := ReadClocks()
	later := Moment{Monotonic: start.Monotonic.Add(time.Second), Boot: start.Boot + time.Minute}
	if got, want := start.Age(later), time.Minute; got != want {
		t.Errorf("got age %v, want %v", got, want)
	}
}

func TestNowIsMonotonic(t *testing.T) {
	first := Now()
	if second := Now(); second.Before(first) {
		t.Errorf("got %v after %v", second, first)
	}
}
