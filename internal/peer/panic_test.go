package peer

import (
	"context"
	"errors"
	"sync"
	"testing"
)

// Guards against one malformed message that takes down the whole process: the handler's
// panic ends only this message, and the link goes on.
func TestPanicOfHandlerEndsOnlyItsMessage(t *testing.T) {
	var addresses sync.Map
	a := startNode(t, "a", "0123456789abcdef", 0, &addresses)
	startNode(t, "b", "0123456789abcdef", 0, &addresses)
	mustEcho(t, a, "b")
	link, _ := a.getLink("b")
	t.Run("request", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		var remote *RemoteError
		if err := a.Call(ctx, "b", "panic", "x", nil); !errors.As(err, &remote) || remote.Text != errPanicked.Error() {
			t.Errorf("got %v, want %v from the other side", err, errPanicked)
		}
	})
	t.Run("one-way message", func(t *testing.T) {
		if err := a.Send("b", "panic", "x"); err != nil {
			t.Fatal(err)
		}
	})
	mustEcho(t, a, "b")
	if after, _ := a.getLink("b"); after != link {
		t.Error("the link was replaced")
	}
}
