package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// attemptHead returns the lines that each request of a client has after its request line.
func attemptHead(attempt string, deadline time.Duration) string {
	return fmt.Sprintf("Host: desk.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer key-of-tenant-1\r\n", attempt, deadline.Milliseconds())
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	// whole is true if the answer ended as the protocol says.
	whole bool
}

// exchange sends a request on a new connection of a client and reads the answer.
func (s *stage) exchange(m *machine, request string, timeout time.Duration) (answer, error) {
	conn, err := net.DialTimeout("tcp", m.address(clientPort), time.Second)
	if err != nil {
		return answer{}, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return answer{}, err
	}
	if _, err := io.WriteString(conn, request); err != nil {
		return answer{}, err
	}
	return readAnswer(bufio.NewReader(conn))
}

func readAnswer(r *bufio.Reader) (answer, error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	var body bytes.Buffer
	_, err = io.Copy(&body, resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: body.String(), whole: err == nil}, nil
}

// pieces counts the events of a stream that a client got.
func (a answer) pieces() int { return strings.Count(a.body, "data: ") }

// plan returns a config with one route of each kind.
func plan(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"chat","host":"desk.example","path_prefix":"/stream/","route_kind":"streaming","timeout_ms":15000,"target_latency_ms":500,"priority":0,"service":"engine","max_attempts":1,"public":false,"sticky_sessions":false,"stream_resume":false,"target_gap_ms":500},
{"name":"book","host":"desk.example","path_prefix":"/book/","route_kind":"non_idempotent","timeout_ms":2500,"target_latency_ms":150,"priority":1,"service":"engine","max_attempts":1,"public":false},
{"name":"look","host":"desk.example","path_prefix":"/look/","route_kind":"idempotent","timeout_ms":2500,"target_latency_ms":150,"priority":1,"service":"engine","max_attempts":2,"public":false}],
"services":[{"name":"engine","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"cold_start_s":0,"cold_per_s":0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"tenant-1","api_keys":["key-of-tenant-1"],"priority":1,"unit":"tokens","uncached_tokens":200,"rate_per_s":0,"burst":0}]}`, version)
}
