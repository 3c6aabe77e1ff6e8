package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"time"
)

func init() { cases["smuggle"] = playSmuggle }

// playSmuggle sends a request with another one in its body. No runner may run the inner one.
func playSmuggle(s *stage, trouble bool) (broken bool, err error) {
	if err := s.addMachines(3, 1); err != nil {
		return false, err
	}
	if _, err := s.startRunner("engine"); err != nil {
		return false, err
	}
	if err := s.startAll(plan(1)); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	inner := "POST /book/inner HTTP/1.1\r\n" + attemptHead("inner-1", 2500*time.Millisecond) + "Content-Length: 0\r\n\r\n"
	body := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(inner), inner)
	framing := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	if trouble {
		size := fmt.Sprintf("%x\r\n", len(inner))
		framing = fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(size))
	}
	outer := "POST /book/outer HTTP/1.0\r\n" + attemptHead("outer-1", 2500*time.Millisecond) + "Connection: keep-alive\r\n" + framing + "\r\n" + body
	conn, err := net.Dial("tcp", s.entryNodes()[0].address(clientPort))
	if err != nil {
		return false, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	s.note("client sends %q", outer)
	if _, err := io.WriteString(conn, outer); err != nil {
		return false, err
	}
	reader := bufio.NewReader(conn)
	for {
		a, err := readAnswer(reader)
		if err != nil {
			break
		}
		s.note("client got status %d for %q: %q", a.status, a.header.Get("X-Attempt-Id"), a.body)
	}
	if len(s.runsOf("outer-1")) == 0 && !trouble {
		return false, fmt.Errorf("the outer request did not run")
	}
	return len(s.runsOf("inner-1")) > 0, nil
}
