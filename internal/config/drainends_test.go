package config

import (
	"testing"
	"time"
)

func TestDrainEnds(t *testing.T) {
	start := time.Unix(1000, 0)
	drained := &View{DrainedDomains: map[string]Drain{"a": {}}}
	var r DrainEnds
	want := func(what string, at time.Time, ok bool) {
		t.Helper()
		if gotAt, gotOK := r.At("a"); !gotAt.Equal(at) || gotOK != ok {
			t.Errorf("%s: got drain end %v, %v, want %v, %v", what, gotAt, gotOK, at, ok)
		}
	}
	r.Update(start, &View{})
	want("never drained", time.Time{}, false)
	r.Update(start, drained)
	want("drained", time.Time{}, false)
	r.Update(start.Add(time.Second), &View{})
	r.Update(start.Add(2*time.Second), &View{})
	want("resumed", start.Add(time.Second), true)
	r.Update(start.Add(3*time.Second), drained)
	r.Update(start.Add(4*time.Second), &View{})
	want("resumed again", start.Add(4*time.Second), true)
}
