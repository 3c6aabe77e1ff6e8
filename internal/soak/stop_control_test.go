package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Guards against orders of operators that a stopping voter has read and whose connections end
// without an answer, and against a voter that waits for operators who keep connections open.
func TestStopAnswersOrdersOfOperators(t *testing.T) {
	const (
		operators = 40
	)
	c := newStopCluster(t, 41, 0, stopGrace)
	defer c.close(t)
	var (
		version, answered atomic.Int64
		mu                sync.Mutex
		unanswered        []string
		done              sync.WaitGroup
	)
	version.Store(1)
	address := net.JoinHostPort(c.nodes[0].host, fmt.Sprint(controlPort))
	for range operators {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		done.Add(1)
		go func() {
			defer done.Done()
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(stopStartTime))
			for reader := bufio.NewReader(conn); ; {
				n, sent := version.Add(1), time.Now()
				plan := planJSON(uint64(n), true)
				if _, err := fmt.Fprintf(conn, "PUT /config HTTP/1.1\r\nHost: c\r\nContent-Length: %d\r\n\r\n%s", len(plan), plan); err != nil {
					return // the connection has ended before
				}
				resp, err := http.ReadResponse(reader, nil)
				switch {
				case err == nil:
				case time.Since(sent) <= lossSlack:
					return // the order has crossed the end of its connection
				case errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF):
					mu.Lock()
					unanswered = append(unanswered, fmt.Sprintf("version %d after %v", n, time.Since(sent).Round(time.Millisecond)))
					mu.Unlock()
					return
				default:
					return // reset: the order was not read
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				answered.Add(1)
				if resp.Close {
					return
				}
			}
		}()
	}
	idle, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	time.Sleep(500 * time.Millisecond)
	c.terminate(0).wantExit(t, idleEnd)
	done.Wait()
	if len(unanswered) > 0 || answered.Load() == 0 {
		t.Errorf("orders without an answer: got %d beside %d answered ones (%v), want none", len(unanswered), answered.Load(), unanswered)
	}
}

// Guards against an order that waits for a quorum when its voter stops, and whose connection
// ends without an answer: the operator cannot tell it from a lost one and sends nothing else.
func TestStopAnswersOrdersThatWait(t *testing.T) {
	const waits = 2 * lossSlack // the order has been read for long
	c := newStopCluster(t, 42, 0, stopGrace)
	defer c.close(t)
	for v := 1; v < voters; v++ {
		process := c.running(v).cmd.Process
		pause(t, process)
		defer func() { _ = process.Signal(syscall.SIGCONT) }()
	}
	conn, err := net.Dial("tcp", net.JoinHostPort(c.nodes[0].host, fmt.Sprint(controlPort)))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	plan := planJSON(2, true)
	if _, err := fmt.Fprintf(conn, "PUT /config HTTP/1.1\r\nHost: c\r\nContent-Length: %d\r\n\r\n%s", len(plan), plan); err != nil {
		t.Fatal(err)
	}
	time.Sleep(waits)
	stop := c.terminate(0)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	switch {
	case err != nil:
		t.Errorf("order without a quorum: got %v, want an answer", err)
	default:
		_ = resp.Body.Close()
		if got, want := resp.StatusCode, http.StatusServiceUnavailable; got != want {
			t.Errorf("order without a quorum: got status %d, want %d", got, want)
		}
	}
	stop.wantExit(t, idleEnd)
}
