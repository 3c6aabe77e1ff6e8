package gateway

import (
	"context"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against kept connections to sound upstreams that end because TCP_USER_TIMEOUT also
// bounds unanswered keep-alive probes, and against requests that wait for a dead upstream
// without any bound of the kernel.
func TestUserTimeoutOutlastsSilence(t *testing.T) {
	u := newFakeUpstream(t, respondOK("x"))
	c, err := newPool(nil).dial(context.Background(), u.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	option := func(level, name int) (value int) {
		t.Helper()
		controlErr := raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), level, name) })
		if controlErr != nil || err != nil {
			t.Fatal(controlErr, err)
		}
		return value
	}
	if got := option(unix.SOL_SOCKET, unix.SO_KEEPALIVE); got != 0 {
		t.Errorf("keep-alive probes: got %d, want them off, since they would end with the user timeout", got)
	}
	const silence = time.Second // of a sound upstream
	got := time.Duration(option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)) * time.Millisecond
	if got < 2*silence || got > 10*time.Second {
		t.Errorf("user timeout: got %v, want at least twice the silence of a sound upstream, and a bound", got)
	}
}
