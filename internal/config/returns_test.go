package config

import (
	"testing"
	"time"
)

func TestReturnsOfDomains(t *testing.T) {
	start := time.Unix(1000, 0)
	drained := &View{DrainedDomains: map[string]Drain{"a": {}}}
	var r Returns
	want := func(what string, at time.Time, ok bool) {
		t.Helper()
		if gotAt, gotOK := r.At("a"); !gotAt.Equal(at) || gotOK != ok {
			t.Errorf("%s: got a return at %v, %v, want %v, %v", what, gotAt, gotOK, at, ok)
		}
	}
	r.Follow(start, &View{})
	want("never drained", time.Time{}, false)
	r.Follow(start, drained)
	want("drained", time.Time{}, false)
	r.Follow(start.Add(time.Second), &View{})
	r.Follow(start.Add(2*time.Second), &View{})
	want("back", start.Add(time.Second), true)
	r.Follow(start.Add(3*time.Second), drained)
	r.Follow(start.Add(4*time.Second), &View{})
	want("back again", start.Add(4*time.Second), true)
}
