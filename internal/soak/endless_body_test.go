package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// sendEndlessBodies opens connections until the play is over, on each of which a body arrives
// in blocks with a pause between them and does not end.
func (p *endlessPlay) sendEndlessBodies(over <-chan struct{}, block []byte, pause time.Duration, maxBytes int) {
	for {
		select {
		case <-over:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", p.cluster.clientAddress(voters), time.Second)
		if err != nil {
			time.Sleep(clientPause)
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(endlessDeadline))
		_, err = fmt.Fprintf(conn, "POST /look/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
			p.cluster.newID(), endlessDeadline.Milliseconds(), 4<<20)
		for sent := 0; err == nil && sent < maxBytes; sent += len(block) {
			_, err = conn.Write(block)
			time.Sleep(pause)
		}
		if err == nil {
			_, _ = io.Copy(io.Discard, conn)
		}
		_ = conn.Close()
	}
}

// Client fault: bodies without end, each within the plan's limit of 4 MiB. Guards against a
// node that is killed for its memory, and the requests of its other clients that are lost with
// it.
func TestEndlessRequestBodiesKeepNodeWithinMemory(t *testing.T) {
	const (
		soundClients = 50
		length       = 6 * time.Second
	)
	for name, c := range map[string]struct {
		senders, block int
		pause          time.Duration
	}{
		"fast":         {100, 256 << 10, time.Millisecond},
		"at a trickle": {800, trickleBytes, trickleGap},
	} {
		t.Run(name, func(t *testing.T) {
			p := newEndlessPlay(t, nil, false)
			defer p.close(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			process := p.cluster.running(voters)
			if process == nil {
				t.Fatal("the entry node does not run")
			}
			p.load.watch = watchMemory(ctx, process, entryMemoryMB<<20)
			p.load.start(soundClients)
			over := make(chan struct{})
			var senders sync.WaitGroup
			block := make([]byte, c.block)
			for range c.senders {
				senders.Add(1)
				go func() {
					defer senders.Done()
					p.sendEndlessBodies(over, block, c.pause, 4<<20-c.block)
				}()
			}
			time.Sleep(length)
			close(over)
			p.load.stop()
			senders.Wait()
			cancel()
			<-p.load.watch.done
			t.Logf("peak %d MB; sound requests answered %d, refused %d", p.load.watch.peak>>20, p.load.sound.Load(), p.load.refused.Load())
			if p.load.watch.over {
				t.Errorf("resident memory: got %d MB, want at most %d MB", p.load.watch.peak>>20, entryMemoryMB)
			}
			p.load.wantNoneLost(t)
			if p.load.sound.Load() == 0 {
				t.Error("sound requests answered: got none, want some")
			}
		})
	}
}
