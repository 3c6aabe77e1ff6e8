// Package load sends a fixed sequence of requests to a node in this process and to
// simple load balancers in front of identical fake upstreams, and compares the results
// for the clients.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// Limits of a run.
const (
	MaxRate     = 500
	MaxDuration = time.Minute
)

// Event is a disturbance in the middle of a run.
type Event string

// Events.
const (
	// Calm is a run without a disturbance.
	Calm Event = "calm"
	// Reclaim ends all VMs of one failure domain after a notice of NoticeTime.
	Reclaim Event = "reclaim"
	// Cold makes one upstream behave as after a cold start.
	Cold Event = "cold"
)

// NoticeTime is the time between a reclaim notice and the termination of the VMs.
const NoticeTime = 2 * time.Second

// Options selects the load, the events and the load balancers of the runs.
type Options struct {
	// Deployment is consortium or federwerk.
	Deployment string
	// Rate is in requests per second, at most MaxRate. Duration is at most MaxDuration.
	Rate     int
	Duration time.Duration
	Seed     uint64
	Events   []Event
	// Balancers lists the names of the load balancers to run, in order; see the function
	// Balancers.
	Balancers []string
}

// Balancers returns the names of the load balancers: the node and the baselines.
func Balancers() []string { return []string{"jaystage", "round-robin", "least-outstanding"} }

// request is a planned request.
type request struct {
	at     time.Duration // time of arrival since the start of the run
	class  string
	prompt string
	tokens int // max_tokens
}

// classLoad is the load of one class in a deployment's request mix.
type classLoad struct {
	class            string
	weight           float64 // fraction of the requests
	prompt, tokens   int     // mean prompt length in bytes, mean max_tokens
	firstTokenTarget time.Duration
}

// classMix returns the classes of the model requests of a deployment.
func classMix(deployment string) ([]classLoad, error) {
	switch deployment {
	case "consortium":
		return []classLoad{
			{"chat", 0.5, 400, 24, 1100 * time.Millisecond},
			{"consultation", 0.2, 1600, 48, 5 * time.Second},
			{"tag", 0.3, 120, 4, 800 * time.Millisecond},
		}, nil
	case "federwerk":
		return []classLoad{
			{"chat", 0.4, 400, 24, 1100 * time.Millisecond},
			{"plan", 0.25, 8000, 48, 5 * time.Second},
			{"tag", 0.35, 120, 4, 800 * time.Millisecond},
		}, nil
	}
	return nil, fmt.Errorf("unknown --deployment %q; use consortium or federwerk", deployment)
}

// planArrivals generates an open-loop sequence of requests: arrival times do not depend
// on responses. Equal options give equal sequences.
func planArrivals(o Options, classes []classLoad) []request {
	rng := rand.New(rand.NewPCG(o.Seed, 1))
	var requests []request
	for at := 0.0; ; {
		at += rng.ExpFloat64() / float64(o.Rate)
		due := time.Duration(at * float64(time.Second))
		if due >= o.Duration {
			return requests
		}
		k := pickClass(rng, classes)
		// The requests of a class share 40 conversations, so that upstreams can cache
		// prefixes.
		conversation := rng.IntN(40)
		prompt := fmt.Sprintf("%s conversation %d ", k.class, conversation)
		for targetLength := k.prompt/2 + rng.IntN(k.prompt); len(prompt) < targetLength; {
			prompt += fmt.Sprintf("turn %d of %d; ", len(prompt), conversation)
		}
		requests = append(requests, request{at: due, class: k.class, prompt: prompt, tokens: max(1, k.tokens/2+rng.IntN(k.tokens))})
	}
}

func pickClass(rng *rand.Rand, classes []classLoad) classLoad {
	x := rng.Float64()
	for _, k := range classes {
		if x -= k.weight; x < 0 {
			return k
		}
	}
	return classes[len(classes)-1]
}

// Run runs every load balancer under every event, one run after the other.
func Run(ctx context.Context, o Options) ([]Result, error) {
	classes, err := classMix(o.Deployment)
	if err != nil {
		return nil, err
	}
	if o.Rate < 1 || o.Rate > MaxRate || o.Duration <= 0 || o.Duration > MaxDuration {
		return nil, fmt.Errorf("--rate must be 1 to %d and --duration up to %v", MaxRate, MaxDuration)
	}
	plan := planArrivals(o, classes)
	var results []Result
	for _, event := range o.Events {
		for _, name := range o.Balancers {
			result, err := runBalancer(ctx, o, classes, plan, event, name)
			if err != nil {
				return results, err
			}
			results = append(results, result)
		}
	}
	return results, ctx.Err()
}
