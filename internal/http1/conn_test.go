package http1

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// uploadBytes exceeds what the kernel buffers for a peer that does not read.
	uploadBytes = 64 << 20
	testTimeout = 10 * time.Second
)

// pair returns a watched connection and its peer.
func pair(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	raw, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = raw.Close(); _ = peer.Close() })
	for _, c := range []net.Conn{raw, peer} {
		if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
			t.Fatal(err)
		}
	}
	return NewConn(raw), peer.(*net.TCPConn)
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Error(err)
	}
}

func reset(t *testing.T, c *net.TCPConn) {
	t.Helper()
	if err := errors.Join(c.SetLinger(0), c.Close()); err != nil {
		t.Error(err)
	}
}

// wantRead checks what is read until the connection ends, and with which error it ends.
func wantRead(t *testing.T, c *Conn, text string, want error) {
	t.Helper()
	got, err := io.ReadAll(c)
	if string(got) != text || !errors.Is(err, want) || want == nil && err != nil {
		t.Errorf("got %q and error %v, want %q and %v", got, err, text, want)
	}
}

// upload writes more than the peer takes, and returns what ended the write.
func upload(c *Conn) <-chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, uploadBytes))
		ended <- err
	}()
	return ended
}

// Guards against a reset that is read as the end of a response, because a write of the request
// was told of it first.
func TestResetDuringWriteIsNoEnd(t *testing.T) {
	t.Run("the write returns first", func(t *testing.T) {
		c, peer := pair(t)
		ended := upload(c)
		send(t, peer, "part")
		time.Sleep(20 * time.Millisecond)
		reset(t, peer)
		if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("write: got %v, want %v", err, syscall.ECONNRESET)
		}
		wantRead(t, c, "part", syscall.ECONNRESET)
	})
	t.Run("both wait", func(t *testing.T) {
		for range 100 {
			c, peer := pair(t)
			ended := upload(c)
			go func() {
				send(t, peer, "part")
				time.Sleep(2 * time.Millisecond)
				reset(t, peer)
			}()
			wantRead(t, c, "part", syscall.ECONNRESET)
			<-ended
		}
	})
}

// Guards against a whole response that counts as cut, because its peer does not take the rest
// of the request.
func TestCloseDuringWriteIsEnd(t *testing.T) {
	t.Run("the peer reads nothing more", func(t *testing.T) {
		c, peer := pair(t)
		ended := upload(c)
		send(t, peer, "whole")
		if err := peer.CloseWrite(); err != nil {
			t.Fatal(err)
		}
		wantRead(t, c, "whole", nil)
		select {
		case err := <-ended:
			t.Errorf("write: got it ended with %v, want it waiting", err)
		default:
		}
	})
	t.Run("the peer resets what comes later", func(t *testing.T) {
		c, peer := pair(t)
		ended := upload(c)
		send(t, peer, "whole")
		if err := peer.CloseWrite(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
		reset(t, peer)
		if err := <-ended; !errors.Is(err, syscall.EPIPE) {
			t.Errorf("write: got %v, want %v", err, syscall.EPIPE)
		}
		wantRead(t, c, "whole", nil)
	})
	t.Run("the peer goes on reading", func(t *testing.T) {
		c, peer := pair(t)
		ended := upload(c)
		send(t, peer, "whole")
		if err := peer.CloseWrite(); err != nil {
			t.Fatal(err)
		}
		wantRead(t, c, "whole", nil)
		var read sync.WaitGroup
		read.Go(func() { _, _ = io.CopyN(io.Discard, peer, uploadBytes) })
		if err := <-ended; err != nil {
			t.Errorf("write: got %v, want all of it written", err)
		}
		read.Wait()
	})
}
