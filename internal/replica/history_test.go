package replica

import (
	"context"
	"testing"
)

func TestHistoryFromAnyNode(t *testing.T) {
	c := newCluster(t, "a", "b", "c")
	c.start("a", "b", "c", "d")
	c.ready("a", "b", "c", "d")
	base := c.node("d").view.version()
	c.change("a", "1", "domain/x", `{"name":"x"}`)
	last := c.change("d", "2", "domain/y", `{"name":"y"}`)
	for _, name := range []string{"a", "d"} {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		got, err := c.node(name).History(ctx, base)
		if err != nil {
			t.Fatalf("node %s: got %v, want no error", name, err)
		}
		var ids []string
		for _, r := range got {
			if r.ID != "" {
				ids = append(ids, r.ID)
			}
		}
		if len(ids) != 2 || ids[0] != "1" || ids[1] != "2" {
			t.Errorf("changes that node %s lists: got %v, want [1 2]", name, ids)
		}
		if after, err := c.node(name).History(ctx, last); err != nil || len(after) != 0 {
			t.Errorf("changes after the last one, node %s: got %v, %v, want none", name, after, err)
		}
	}
}
