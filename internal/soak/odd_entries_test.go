package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// oddEntries returns the calls of another writer as method, path and body. Some have the ID
// or the address of a sound upstream.
func oddEntries(id, address string, born int64) [][3]string {
	sound := fmt.Sprintf(`{"service":"s","address":%q,"zone":"a","version":"v1","slots":%d,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":%d}`, address, slotCount, born)
	edit := func(old, replacement string) string { return strings.Replace(sound, old, replacement, 1) }
	startTime := fmt.Sprintf(`"born":%d`, born)
	deep := strings.Repeat("[", 9000) + strings.Repeat("]", 9000)
	var calls [][3]string
	for i, body := range []string{
		strings.Repeat("[", 60_000), strings.Repeat(`{"a":`, 12_000), "\xff\xfe", "null", "[1e999]",
		edit(`"slots"`, `"models":`+deep+`,"slots"`), edit(`"s"`, `"`+strings.Repeat("s", 5<<20)+`"`), edit(`"s"`, `"`+strings.Repeat("s", 50_000)+`"`),
		edit(address, "127.0.0.1:0"), edit(address, "127.0.0.1:65536"), edit(address, "127.0.0.1:99999999"), edit(address, "host.example:80"),
		edit(address, ""), edit(address, "[fe80::1%lo]:80"), edit(address, "0.0.0.0:28080"), edit(`"slots":`, `"slots":1e9,"x":`),
		edit(startTime, `"born":18446744073709551615`), edit(startTime, `"born":9223372036854775808`), edit(startTime, `"born":1e400`), edit(startTime, `"born":9007199254740993`),
		edit(`"sequence":1`, `"sequence":18446744073709551615`), edit(`"service":"s"`, `"service":"nowhere"`), edit(`"ready"`, `"odd"`),
	} {
		calls = append(calls, [3]string{http.MethodPut, fmt.Sprint("/runners/odd-", i), body}, [3]string{http.MethodPut, "/runners/" + id, body})
	}
	for _, path := range []string{"/runners/%ff%fe", "/runners/a%0d%0aX-Odd:1", "/runners/%00", "/runners/" + strings.Repeat("i", 20_000)} {
		calls = append(calls, [3]string{http.MethodPut, path, edit(address, "127.0.0.1:9")}, [3]string{http.MethodDelete, path, ""})
	}
	for _, body := range []string{"\xff", "[]", `{"born":`, `{"born":18446744073709551615}`, `{"born":9223372036854775808}`, `{"born":"1"}`, deep} {
		calls = append(calls, [3]string{http.MethodDelete, "/runners/" + id, body})
	}
	return calls
}

// state returns the ID, the address and the start time of the present start.
func (u *crashingUpstream) state() (id, address string, born int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.id(), u.address, u.born
}

// arrivalsSince returns the number of requests that reached the upstream after a time,
// through one node or, if it is negative, through any.
func (u *crashingUpstream) arrivalsSince(since time.Time, node int) (count int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, a := range u.arrivals {
		if a.at.After(since) && (node < 0 || nodeOf(a.attempt) == node) {
			count++
		}
	}
	return count
}

// Load pattern: another writer leaves odd entries among those of the runners, also under
// their IDs and at their addresses. Guards against processes that end, sound upstreams that
// fall out of use, and nodes that no longer follow the list: also a node that starts while
// the entries come, an upstream that starts, and one that ends.
func TestOddEntriesAreIgnored(t *testing.T) {
	t.Parallel()
	c := newCrashCluster(t, 239, 4)
	exits := make(chan string, len(c.vms))
	restarted := voters + entryNodes - 1
	for i, v := range c.vms {
		if i == restarted {
			continue
		}
		v.mu.Lock()
		exited := v.exited
		v.mu.Unlock()
		go func() { <-exited; exits <- v.name }()
	}
	time.Sleep(time.Second)
	start := time.Now()
	c.spawn(func(ctx context.Context) {
		for ctx.Err() == nil {
			for _, u := range c.upstreams {
				for i, call := range oddEntries(u.state()) {
					if ctx.Err() != nil {
						return
					}
					callControl(c.cluster, i%voters, call[0], call[1], call[2])
				}
			}
			sleep(ctx, 100*time.Millisecond)
		}
	})
	time.Sleep(3 * time.Second)
	<-c.signal(restarted, syscall.SIGTERM)
	c.start(restarted, false)
	c.upstreams[1].crash()
	time.Sleep(restartTime + contactTime)
	from := time.Now()
	gone, _, born := c.upstreams[0].state()
	c.upstreams[0].end()
	if code, _ := callControl(c.cluster, 0, http.MethodDelete, "/runners/"+gone, fmt.Sprintf(`{"born":%d}`, born)); code != http.StatusOK {
		t.Errorf("end of an upstream: got status %d", code)
	}
	time.Sleep(contactTime)
	settled := time.Now()
	time.Sleep(2 * time.Second)
	end := time.Now()
	select {
	case name := <-exits:
		t.Errorf("the process of %s ended", name)
	default:
	}
	for i, u := range c.upstreams[1:] {
		if u.arrivalsSince(from, -1) == 0 {
			t.Errorf("upstream %d got no request", i+1)
		}
	}
	through := 0
	for _, u := range c.upstreams {
		through += u.arrivalsSince(from, restarted)
	}
	if through == 0 {
		t.Error("the node that started meanwhile sent no request")
	}
	c.stop()
	if share, n := c.soundShare(start, end, restarted); n < 20 || share < minServedShare {
		t.Errorf("requests answered beside odd entries: got %.2f of %d, want at least %.2f", share, n, minServedShare)
	}
	if share, n := c.soundShare(settled, end, -1); n < 20 || share < minServedShare {
		t.Errorf("requests answered after the changes: got %.2f of %d, want at least %.2f", share, n, minServedShare)
	}
}
