package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Documents of the operator's API.
type (
	config struct {
		Version  uint64          `json:"version"`
		Routes   []route         `json:"routes"`
		Services []configService `json:"services"`
		Limits   limits          `json:"limits"`
		Tenants  []tenant        `json:"tenants"`
	}
	route struct {
		Name            string  `json:"name"`
		Host            string  `json:"host"`
		PathPrefix      string  `json:"path_prefix"`
		RouteKind       string  `json:"route_kind"`
		TimeoutMS       float64 `json:"timeout_ms"`
		TargetLatencyMS float64 `json:"target_latency_ms"`
		TargetGapMS     float64 `json:"target_gap_ms,omitempty"`
		Priority        int     `json:"priority"`
		Service         string  `json:"service"`
		MaxAttempts     int     `json:"max_attempts"`
		Public          bool    `json:"public"`
		StreamResume    bool    `json:"stream_resume"`
	}
	configService struct {
		Name           string  `json:"name"`
		HealthPath     string  `json:"health_path"`
		MaxConnections int     `json:"max_connections"`
		Protocol       string  `json:"protocol"`
		TLS            bool    `json:"tls"`
		ColdStartS     float64 `json:"cold_start_s"`
		ColdPerS       float64 `json:"cold_per_s"`
	}
	limits struct {
		MaxHeaderBytes  int     `json:"max_header_bytes"`
		MaxBodyBytes    int     `json:"max_body_bytes"`
		HeaderTimeoutMS float64 `json:"header_timeout_ms"`
		IdleTimeoutMS   float64 `json:"idle_timeout_ms"`
	}
	tenant struct {
		Name           string   `json:"name"`
		APIKeys        []string `json:"api_keys"`
		Priority       int      `json:"priority"`
		Unit           string   `json:"unit"`
		UncachedTokens float64  `json:"uncached_tokens"`
		RatePerS       float64  `json:"rate_per_s"`
		Burst          float64  `json:"burst"`
	}
)

const (
	hostName    = "h.example"
	serviceName = "booking-desk"
	// operatorTimeout is how long the operator waits for a node before it tries the next.
	operatorTimeout = time.Second
)

// newConfig returns a config with three routes to one service, and tenants.
func newConfig(version uint64, tenants int) config {
	c := config{
		Version: version,
		Routes: []route{
			{Name: "r-book", Host: hostName, PathPrefix: "/book/", RouteKind: "non_idempotent", TimeoutMS: 8000, TargetLatencyMS: 1000, Priority: 2, Service: serviceName, MaxAttempts: 1},
			{Name: "r-look", Host: hostName, PathPrefix: "/look/", RouteKind: "idempotent", TimeoutMS: 5000, TargetLatencyMS: 1000, Priority: 2, Service: serviceName, MaxAttempts: 2},
			{Name: "r-chat", Host: hostName, PathPrefix: "/chat/", RouteKind: "streaming", TimeoutMS: 12000, TargetLatencyMS: 1000, TargetGapMS: 500, Priority: 1, Service: serviceName, MaxAttempts: 1},
		},
		Services: []configService{{Name: serviceName, HealthPath: "/health", MaxConnections: 400, Protocol: "h1"}},
		Limits:   limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
	}
	for i := range tenants {
		c.Tenants = append(c.Tenants, tenant{Name: fmt.Sprintf("t%d", i), APIKeys: []string{keyOf(i)}, Priority: 1, Unit: "requests"})
	}
	return c
}

func keyOf(tenant int) string { return fmt.Sprintf("key-of-tenant-%d", tenant) }

// call makes one call of the operator to one node.
func call(method, host, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(method, "http://"+net.JoinHostPort(host, controlPort)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// putConfig sends a config to the nodes in turn until one confirms it.
func (w *world) putConfig(c config, nodes []*machine, within time.Duration) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	until, last := time.Now().Add(within), ""
	for i := 0; time.Now().Before(until); i++ {
		n := nodes[i%len(nodes)]
		status, data, err := call(http.MethodPut, n.host, "/config", body, operatorTimeout)
		if err == nil && status == http.StatusOK {
			w.note("operator: config %d with %d routes confirmed by %s", c.Version, len(c.Routes), n.name)
			return nil
		}
		last = fmt.Sprintf("%d %s %v", status, data, err)
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("config %d was not confirmed within %v: %s", c.Version, within, last)
}

// getConfig reads the version of the config at one node.
func getConfig(n *machine) (version uint64, answer string) {
	status, data, err := call(http.MethodGet, n.host, "/config", nil, operatorTimeout)
	if err != nil {
		return 0, err.Error()
	}
	var c config
	if status == http.StatusOK && json.Unmarshal(data, &c) == nil {
		return c.Version, fmt.Sprintf("200, version %d", c.Version)
	}
	return 0, fmt.Sprintf("%d %s", status, bytes.TrimSpace(data[:min(len(data), 200)]))
}
