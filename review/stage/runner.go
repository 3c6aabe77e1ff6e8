package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// runner is a stand-in for a runner of the platform.
type runner struct {
	id, address, service, zone, version string
	voters                              []string
	// pieces is the number of events of a stream, and pause the time before each.
	pieces int
	pause  time.Duration
	// unframed is true if streams have neither a length nor chunks and end with their connection.
	unframed bool
	spot     bool
	born     int64
	leaving  atomic.Bool
	leavesMS int
	sequence int
}

// runRunner runs a runner until its process is killed. At SIGTERM it reports that it leaves.
func runRunner(args []string) {
	r := &runner{born: time.Now().UnixMilli()}
	flags := flag.NewFlagSet("runner", flag.ExitOnError)
	flags.StringVar(&r.id, "id", "", "")
	flags.StringVar(&r.address, "address", "", "")
	flags.StringVar(&r.service, "service", "", "")
	flags.StringVar(&r.zone, "zone", "", "")
	flags.StringVar(&r.version, "version", "v1", "")
	voters := flags.String("voters", "", "")
	flags.IntVar(&r.pieces, "pieces", 10, "")
	flags.DurationVar(&r.pause, "pause", 100*time.Millisecond, "")
	flags.BoolVar(&r.unframed, "unframed", false, "")
	flags.BoolVar(&r.spot, "spot", false, "")
	flags.IntVar(&r.leavesMS, "leaves", 0, "")
	_ = flags.Parse(args)
	r.voters = strings.Split(*voters, ",")
	terms := make(chan os.Signal, 1)
	signal.Notify(terms, syscall.SIGTERM)
	go func() {
		if err := http.ListenAndServe(r.address, r); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitFailed)
		}
	}()
	for {
		pause := 1200 * time.Millisecond
		if !r.report() {
			pause = 200 * time.Millisecond
		}
		select {
		case <-terms:
			r.leaving.Store(true)
		case <-time.After(pause):
		}
	}
}

// report sends a status report to the first voter that takes it.
func (r *runner) report() bool {
	r.sequence++
	state, leaves := "ready", ""
	if r.leaving.Load() {
		state = "draining"
		if r.leavesMS > 0 {
			leaves = fmt.Sprintf(`,"leaves_ms":%d`, r.leavesMS)
		}
	}
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":64,"state":%q,"cold_remaining_ms":0,"sequence":%d,"born":%d,"spot_instances":%v%s}`,
		r.service, r.address, r.zone, r.version, state, r.sequence, r.born, r.spot, leaves)
	client := &http.Client{Timeout: time.Second}
	for _, voter := range r.voters {
		req, err := http.NewRequest(http.MethodPut, "http://"+voter+"/runners/"+r.id, strings.NewReader(body))
		if err != nil {
			return false
		}
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode < http.StatusMultipleChoices {
			return true
		}
	}
	return false
}

// ServeHTTP runs a request.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	h := w.Header()
	h.Set("X-Runner-Load", "1,0,64")
	if q.URL.Path == "/health" {
		h.Set("X-Runner-Id", r.id)
		return
	}
	attempt := q.Header.Get("X-Attempt-Id")
	switch expected := q.Header.Get("X-Expected-Runner"); {
	case expected != "" && expected != r.id:
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case attempt == "":
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fmt.Println(attempt, q.Method, q.RequestURI)
	if r.leaving.Load() {
		h.Set("Connection", "close")
		h.Set("Server-Leaving", "1")
	}
	h.Set("X-Attempt-Id", attempt)
	h.Set("X-Runner-Signature", "signature-of-"+r.id)
	if strings.Contains(q.URL.Path, "/stream/") {
		r.stream(w, q)
		return
	}
	time.Sleep(30 * time.Millisecond)
	_, _ = fmt.Fprintf(w, "answer to %s by %s", attempt, r.id)
}

// stream answers with a series of events.
func (r *runner) stream(w http.ResponseWriter, q *http.Request) {
	if !r.unframed {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range r.pieces {
			time.Sleep(r.pause)
			_, _ = fmt.Fprint(w, event(i))
			_ = http.NewResponseController(w).Flush()
			if q.Context().Err() != nil {
				return
			}
		}
		return
	}
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprintf(buffer, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nX-Runner-Load: 1,0,64\r\nX-Attempt-Id: %s\r\nX-Runner-Signature: signature-of-%s\r\n\r\n",
		q.Header.Get("X-Attempt-Id"), r.id)
	for i := range r.pieces {
		time.Sleep(r.pause)
		_, _ = buffer.WriteString(event(i))
		if buffer.Flush() != nil {
			return
		}
	}
}

func event(i int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", i+1, i+1) }
