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

// Result is what the callers of one balancer got under one event.
type Result struct {
	Event    Event  `json:"event"`
	Balancer string `json:"balancer"`
	// Sent counts the requests. Answered are whole and right, Late those of them
	// whose first token missed the class's target, Refused were told so, Lost ended
	// without an answer or with a wrong one.
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Late     int `json:"late"`
	Refused  int `json:"refused"`
	Lost     int `json:"lost"`
	// FirstP50 and FirstP95 are times to the first token of answered requests in
	// milliseconds, from the planned time of the request, so that a slow answer
	// delays no measurement.
	FirstP50 float64 `json:"first_p50_ms"`
	FirstP95 float64 `json:"first_p95_ms"`
	// Cost is the price of the VMs, in units of 0.001, for each request answered in
	// time.
	Cost float64 `json:"cost"`
	// Recomputed is the number of prompt and answer tokens that engines computed a
	// second time for moved answers.
	Recomputed int64 `json:"recomputed_tokens"`
}

type tally struct {
	mu     sync.Mutex
	result Result
	first  *hdrhistogram.Histogram
}

func runOne(ctx context.Context, o Options, kinds []kindOf, plan []request, event Event, name string) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c, err := newCluster(kinds)
	if err != nil {
		return Result{}, err
	}
	defer c.close()
	if err := c.serve(name); err != nil {
		return Result{}, err
	}
	var background, all sync.WaitGroup
	background.Add(1)
	go c.announce(ctx, &background)
	watched := make(<-chan struct{})
	if c.api != nil {
		watched = c.api.StartMaintenance(ctx)
	}
	sleep(ctx, settle)
	t := &tally{result: Result{Event: event, Balancer: name}, first: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)}
	background.Go(func() { c.happen(ctx, event, o.Duration/2) })
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: MaxRate}}
	start := time.Now()
	for _, r := range plan {
		if !sleep(ctx, time.Until(start.Add(r.at))) {
			break
		}
		all.Go(func() { t.send(ctx, client, c.address, kinds, r, start.Add(r.at)) })
	}
	all.Wait()
	took := time.Since(start)
	cancel()
	background.Wait()
	if c.api != nil {
		<-watched
	}
	return t.finish(c, took), nil
}

func (t *tally) finish(c *cluster, took time.Duration) Result {
	r := t.result
	price := 0.0
	for _, up := range c.runners {
		price += up.price * took.Hours()
		r.Recomputed += up.model.RecomputedTokens.Load()
	}
	if c.api != nil {
		r.Recomputed = int64(c.api.Metrics.RecomputedTokens())
	}
	if timely := r.Answered - r.Late; timely > 0 {
		r.Cost = 1000 * price / float64(timely)
	}
	r.FirstP50 = float64(t.first.ValueAtQuantile(50)) / 1000
	r.FirstP95 = float64(t.first.ValueAtQuantile(95)) / 1000
	return r
}

// send sends one request and counts its answer.
func (t *tally) send(ctx context.Context, client *http.Client, address string, kinds []kindOf, r request, due time.Time) {
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
		t.count(func(x *Result) { x.Lost++ })
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.count(func(x *Result) { x.Refused++ })
		return
	}
	text, first, done := read(resp)
	if !done || text != fake.Text(fake.ChatPrompt(r.prompt), r.tokens) {
		t.count(func(x *Result) { x.Lost++ })
		return
	}
	wait := first.Sub(due)
	t.count(func(x *Result) {
		x.Answered++
		_ = t.first.RecordValue(max(1, wait.Microseconds()))
		for _, k := range kinds {
			if k.class == r.class && wait > k.first {
				x.Late++
			}
		}
	})
}

func (t *tally) count(change func(*Result)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.Sent++
	change(&t.result)
}

// read returns the text of a stream, the time of its first token and whether it is
// complete.
func read(resp *http.Response) (text string, first time.Time, done bool) {
	scan := bufio.NewScanner(resp.Body)
	var b strings.Builder
	for scan.Scan() {
		data, ok := strings.CutPrefix(scan.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return b.String(), first, true
		}
		var c struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) == 0 {
			continue
		}
		if first.IsZero() {
			first = time.Now()
		}
		b.WriteString(c.Choices[0].Delta.Content)
	}
	return b.String(), first, false
}
