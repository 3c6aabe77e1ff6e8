package config

import (
	"testing"
	"time"
)

func TestDrainEnds(t *testing.T) {
	start := time.Unix(1000, 0)
	drained := &View{DrainedDomains: map[string]Drain{"a": {}}}
	var ends DrainEnds
	want := func(what string, at time.Time, ok bool) {
		t.Helper()
		if gotAt, gotOK := ends.At("a"); !gotAt.Equal(at) || gotOK != ok {
			t.Errorf("%s: got drain end %v, %v, want %v, %v", what, gotAt, gotOK, at, ok)
		}
	}
	ends.Update(start, &View{})
	want("never drained", time.Time{}, false)
	ends.Update(start, drained)
	want("drained", time.Time{}, false)
	ends.Update(start.Add(time.Second), &View{})
	ends.Update(start.Add(2*time.Second), &View{})
	want("resumed", start.Add(time.Second), true)
	ends.Update(start.Add(3*time.Second), drained)
	ends.Update(start.Add(4*time.Second), &View{})
	want("resumed again", start.Add(4*time.Second), true)
}
