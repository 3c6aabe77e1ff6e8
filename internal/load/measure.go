package load

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jaystage/jaystage/internal/fake"
)

const requestTimeout = 40 * time.Second

// Result is the outcome of one run: one load balancer under one event.
type Result struct {
	Event    Event  `json:"event"`
	Balancer string `json:"balancer"`
	// Sent is the number of requests. Answered counts those with a complete and correct
	// response, and Late the answered ones whose first token missed the target of the
	// class. Refused counts error responses. Lost counts requests with no response, or an
	// incomplete or wrong one.
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Late     int `json:"late"`
	Refused  int `json:"refused"`
	Lost     int `json:"lost"`
	// FirstTokenP50 and FirstTokenP95 are percentiles of the time to the first token of
	// answered requests in milliseconds. The time is measured from the planned arrival of
	// the request, so that a delayed send cannot hide latency.
	FirstTokenP50 float64 `json:"first_p50_ms"`
	FirstTokenP95 float64 `json:"first_p95_ms"`
	// Cost is the price of the VMs per 1,000 requests answered in time.
	Cost float64 `json:"cost"`
	// Recomputed is the number of prompt and output tokens that engines computed again
	// for responses that moved to another upstream.
	Recomputed int64 `json:"recomputed_tokens"`
}

// recorder collects the outcomes of the requests of one run.
type recorder struct {
	mu              sync.Mutex
	result          Result
	firstTokenTimes *hdrhistogram.Histogram // in microseconds
}

// runBalancer sends the planned requests to one load balancer under one event.
func runBalancer(ctx context.Context, o Options, classes []classLoad, plan []request, event Event, name string) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c, err := newCluster(classes)
	if err != nil {
		return Result{}, err
	}
	defer c.close()
	if err := c.serve(name); err != nil {
		return Result{}, err
	}
	var background, requests sync.WaitGroup
	background.Add(1)
	go c.announce(ctx, &background)
	maintenanceDone := make(<-chan struct{})
	if c.api != nil {
		maintenanceDone = c.api.StartMaintenance(ctx)
	}
	sleep(ctx, discoveryTime)
	rec := &recorder{result: Result{Event: event, Balancer: name}, firstTokenTimes: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)}
	background.Go(func() { c.runEvent(ctx, event, o.Duration/2) })
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: MaxRate}}
	start := time.Now()
	for _, r := range plan {
		if !sleep(ctx, time.Until(start.Add(r.at))) {
			break
		}
		requests.Go(func() { rec.send(ctx, client, c.address, classes, r, start.Add(r.at)) })
	}
	requests.Wait()
	elapsed := time.Since(start)
	cancel()
	background.Wait()
	if c.api != nil {
		<-maintenanceDone
	}
	return rec.summarize(c, elapsed), nil
}

// summarize returns the result of a run that took the given time.
func (rec *recorder) summarize(c *cluster, elapsed time.Duration) Result {
	result := rec.result
	price := 0.0
	for _, u := range c.upstreams {
		price += u.price * elapsed.Hours()
		result.Recomputed += u.model.RecomputedTokens.Load()
	}
	if c.api != nil {
		result.Recomputed = int64(c.api.Metrics.RecomputedTokens())
	}
	if inTime := result.Answered - result.Late; inTime > 0 {
		result.Cost = 1000 * price / float64(inTime)
	}
	result.FirstTokenP50 = float64(rec.firstTokenTimes.ValueAtQuantile(50)) / 1000
	result.FirstTokenP95 = float64(rec.firstTokenTimes.ValueAtQuantile(95)) / 1000
	return result
}

// send sends one request and records its outcome.
func (rec *recorder) send(ctx context.Context, client *http.Client, address string, classes []classLoad, r request, due time.Time) {
	body, err := json.Marshal(map[string]any{
		"model": model, "stream": true, "max_tokens": r.tokens,
		"messages": []map[string]string{{"role": "user", "content": r.prompt}},
	})
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(string(body)))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set("X-Class", r.class)
	resp, err := client.Do(req)
	if err != nil {
		rec.count(func(res *Result) { res.Lost++ })
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		rec.count(func(res *Result) { res.Refused++ })
		return
	}
	text, firstTokenAt, done := readStream(resp)
	if !done || text != fake.Text(fake.ChatPrompt(r.prompt), r.tokens) {
		rec.count(func(res *Result) { res.Lost++ })
		return
	}
	firstTokenTime := firstTokenAt.Sub(due)
	rec.count(func(res *Result) {
		res.Answered++
		_ = rec.firstTokenTimes.RecordValue(max(1, firstTokenTime.Microseconds()))
		for _, k := range classes {
			if k.class == r.class && firstTokenTime > k.firstTokenTarget {
				res.Late++
			}
		}
	})
}

func (rec *recorder) count(update func(*Result)) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.result.Sent++
	update(&rec.result)
}

// readStream returns the text of a streamed response, the time of its first token, and
// whether the stream is complete.
func readStream(resp *http.Response) (text string, firstTokenAt time.Time, done bool) {
	scan := bufio.NewScanner(resp.Body)
	var b strings.Builder
	for scan.Scan() {
		data, ok := strings.CutPrefix(scan.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return b.String(), firstTokenAt, true
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
			continue
		}
		if firstTokenAt.IsZero() {
			firstTokenAt = time.Now()
		}
		b.WriteString(chunk.Choices[0].Delta.Content)
	}
	return b.String(), firstTokenAt, false
}
