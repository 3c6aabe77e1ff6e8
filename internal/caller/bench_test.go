package caller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jaystage/jaystage/internal/fake"
	"github.com/jaystage/jaystage/pkg/stream"
)

const benchEvent = `{"id":"chatcmpl-js-a.1","object":"chat.completion.chunk","created":5,"model":"m","system_fingerprint":"v1","choices":[{"index":0,"delta":{"content":"token "},"finish_reason":null}],"usage":{"prompt_tokens":30,"completion_tokens":1,"total_tokens":31}}`

// BenchmarkRelay relays one stream without sockets: parse, transcript, write. The
// metric is token events per second on one core.
func BenchmarkRelay(b *testing.B) {
	f := newFixture(b, nil)
	req, err := stream.ParseRequest(stream.Chat, []byte(chatBody("hello", 1<<40, true)))
	if err != nil {
		b.Fatal(err)
	}
	c := &call{id: "js-a", start: time.Now(), transcript: stream.NewTranscript(req, "chatcmpl-js-a")}
	at := &attempt{call: c, cancel: func(error) {}}
	if _, err := c.transcript.StartAttempt("js-a.1", stream.Options{}); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.ResetTimer()
	_ = f.api.relayStream(httptest.NewRecorder(), c, at, &eventReader{left: b.N})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "events/s")
}

// eventReader returns one event per read, as a socket does at a low rate.
type eventReader struct{ left int }

// Read implements io.Reader.
func (r *eventReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	r.left--
	return copy(p, "data: "+benchEvent+"\n\n"), nil
}

// BenchmarkOpenStreams measures the memory of a node per open stream: heap and
// stacks with streams through the node, minus those with as many streams directly
// to the upstream, since clients and upstreams run in the same process.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 200
	f := newFixture(b, nil)
	f.addModel(b, "m1", &fake.Model{InterTokenLatency: time.Millisecond}, nil)
	setInitialLimit(f, streams)
	direct := openStreams(b, f, streams, "http://"+f.procs["m1"].Address())
	through := openStreams(b, f, streams, f.server.URL)
	b.ReportMetric((through-direct)/streams/1024, "KiB/stream")
}

// openStreams opens streams and returns the bytes that the process uses for them.
func openStreams(b *testing.B, f *fixture, streams int, url string) float64 {
	b.Helper()
	before := memoryInUse()
	ctx, stop := testContext()
	defer stop()
	f.models["m1"].Stalled.Store(false)
	var started atomic.Int64
	client := &http.Client{Transport: &http.Transport{}}
	for range streams {
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", stringsReader(chatBody("hello", 1<<20, true)))
		req.Header.Set("Authorization", "Bearer "+testToken)
		go func() {
			resp, err := client.Do(req)
			if err != nil {
				return
			}
			defer resp.Body.Close()
			first := true
			_, _, _ = readTokens(resp.Body, func(int) {
				if first {
					started.Add(1)
				}
				first = false
			})
		}()
	}
	running := func() int64 { return f.models["m1"].Running.Load() }
	eventually(b, "all streams are open", func() bool { return started.Load() == int64(streams) })
	f.models["m1"].Stalled.Store(true)
	time.Sleep(100 * time.Millisecond)
	inUse := float64(memoryInUse()) - float64(before)
	stop()
	eventually(b, "all streams have ended", func() bool { return running() == 0 })
	return inUse
}

// setInitialLimit sets the initial concurrency of the chat service and announces m1
// again in a new incarnation, so that the limit applies.
func setInitialLimit(f *fixture, n int) {
	view := *f.view.Load()
	service := view.Services["chat"]
	service.InitialConcurrency = n
	service.Classes[0].ProgressTimeout = seconds(600)
	view.Services["chat"] = service
	f.view.Store(&view)
	f.announce("m1", "chat", f.procs["m1"].Address(), 2, nil)
	f.api.refreshSlots(time.Now())
}

func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// BenchmarkAddedLatency compares lookups through the node with direct ones at a
// fixed open-loop rate. The metrics are 99th percentiles in milliseconds.
func BenchmarkAddedLatency(b *testing.B) {
	const rate, requests = 1000, 2000
	f := newFixture(b, nil)
	service := httptest.NewServer((&fake.Booking{}).Handler())
	defer service.Close()
	f.announce("b1", "booking", service.Listener.Addr().String(), 1, nil)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	for range b.N {
		direct := openLoop(client, rate, requests, service.URL+"/availability")
		through := openLoop(client, rate, requests, f.server.URL+"/s/booking/availability")
		b.ReportMetric(direct, "direct-p99-ms")
		b.ReportMetric(through, "through-p99-ms")
		b.ReportMetric(through-direct, "added-p99-ms")
	}
}

// openLoop sends requests on schedule and measures their latency from the
// scheduled times, in milliseconds at the 99th percentile.
func openLoop(client *http.Client, rate, requests int, url string) float64 {
	var mu sync.Mutex
	var wg sync.WaitGroup
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	start := time.Now()
	for i := range requests {
		at := start.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(at))
		wg.Go(func() {
			req, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
			req.Header.Set("Authorization", "Bearer "+testToken)
			req.Header.Set("X-Number", strconv.Itoa(i))
			if resp, err := client.Do(req); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			mu.Lock()
			defer mu.Unlock()
			_ = h.RecordValue(time.Since(at).Microseconds())
		})
	}
	wg.Wait()
	return float64(h.ValueAtQuantile(99)) / 1000
}
