// Package demo runs a node and fake upstreams in one process.
package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/bearer"
	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/fake"
	"github.com/jaystage/jaystage/internal/node"
	"github.com/jaystage/jaystage/internal/settings"
	"github.com/jaystage/jaystage/pkg/cmd/factory"
	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	token             = "demo"
	readHeaderTimeout = 10 * time.Second
	interTokenLatency = 30 * time.Millisecond
	startTimeout      = 30 * time.Second
)

// Options holds the dependencies, flags and arguments of the command.
type Options struct {
	Streams factory.Streams
	HTTP    *http.Client
	Listen  string
}

// NewCmdDemo returns the command "demo".
func NewCmdDemo(f *factory.Factory) *ffcli.Command {
	opts := &Options{Streams: f.Streams, HTTP: f.HTTP}
	fs := f.NewFlagSet("demo")
	fs.StringVar(&opts.Listen, "listen", "127.0.0.1:7001", "host:port of the listener for callers")
	return &ffcli.Command{
		Name: "demo", ShortUsage: "jaystage demo [flags]", ShortHelp: "Run a node with fake upstreams in one process",
		LongHelp: "Runs until interrupted. Only the address of the listener for callers can be changed;\neverything else listens on loopback.\n\nExample:\n  jaystage demo --listen 127.0.0.1:8080",
		FlagSet:  fs, Options: factory.ParseOptions(),
		Exec: func(ctx context.Context, _ []string) error { return demoRun(ctx, opts) },
	}
}

func demoRun(ctx context.Context, opts *Options) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	log := logrus.New()
	log.SetOutput(opts.Streams.Err)
	log.SetLevel(logrus.WarnLevel)
	hash := bearer.Hash(token)
	dataDir, err := os.MkdirTemp("", "jaystage-demo-")
	if err != nil {
		return fmt.Errorf("cannot create a temporary data directory; check TMPDIR: %w", err)
	}
	defer os.RemoveAll(dataDir)
	n, err := node.New(settings.Settings{
		Node:     settings.Node{Name: "demo", Domain: "local", Voter: true, DataDir: dataDir},
		Listen:   settings.Listen{Callers: opts.Listen, Upstreams: "127.0.0.1:0", Operators: "127.0.0.1:0"},
		Security: settings.Security{UpstreamTokens: []settings.Token{{Name: "demo", Hash: hash}}, OperatorTokens: []settings.Token{{Name: "demo", Hash: hash}}},
		Shutdown: settings.Shutdown{Limit: config.Duration(10 * time.Second)},
	}, log)
	if err != nil {
		return err
	}
	items, err := config.Items(siteConfig())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	runErr := make(chan error, 1)
	go func() { runErr <- n.Run(ctx) }()
	if err := serve(ctx, opts, n, items); err != nil {
		cancel()
		return errors.Join(err, <-runErr)
	}
	return <-runErr
}

// serve applies the configuration to a running node and starts its upstreams.
func serve(ctx context.Context, opts *Options, n *node.Node, items []wire.Item) error {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	changed, err := n.State.Change(startCtx, wire.Change{ID: "demo", Items: items})
	if err != nil {
		return err
	}
	if err := n.State.WaitInForce(startCtx, changed.Version); err != nil {
		return err
	}
	for _, u := range []struct {
		id, service, version string
		handler              http.Handler
	}{
		{"model-1", "chat", "v1", (&fake.Model{Version: "v1", InterTokenLatency: interTokenLatency}).Handler()},
		{"model-2", "chat", "v2", (&fake.Model{Version: "v2", InterTokenLatency: interTokenLatency}).Handler()},
		{"booking-1", "booking", "v1", (&fake.Booking{}).Handler()},
	} {
		if err := startUpstream(ctx, opts, n.UpstreamsAddress(), u.id, u.service, u.version, u.handler); err != nil {
			return err
		}
	}
	printUsage(opts, n)
	return nil
}

func startUpstream(ctx context.Context, opts *Options, nodeAddress, id, service, version string, handler http.Handler) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = server.Serve(l) }()
	announcer := &fake.Announcer{Nodes: []string{nodeAddress}, Token: token, HTTP: opts.HTTP, State: func() wire.Announce {
		return wire.Announce{
			ID: id, Incarnation: 1, Address: l.Addr().String(), VM: "vm-" + id, Domain: "local", Ready: true,
			Serving: []wire.Serving{{Service: service, Version: version}},
		}
	}}
	announcer.Run(ctx)
	return nil
}

func printUsage(opts *Options, n *node.Node) {
	address := n.CallersAddress()
	_, _ = fmt.Fprintf(opts.Streams.Out, `callers:   http://%[1]s
operators: http://%[2]s

Send a request to the model:
  curl -N http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[3]s' -H 'Content-Type: application/json' -d '{"model":"chat","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"hello"}]}'

Create a booking:
  curl -i http://%[1]s/s/booking/bookings -H 'Authorization: Bearer %[3]s' -H 'Idempotency-Key: k1' -d '{"item":7}'

Press Ctrl-C to stop.
`, address, n.OperatorsAddress(), token)
}

func siteConfig() config.Site {
	seconds := func(s float64) config.Duration { return config.Duration(s * float64(time.Second)) }
	return config.Site{
		Name:     "demo",
		Accounts: []config.Account{{Name: "demo", TokenHash: bearer.Hash(token), Weight: 1}},
		Domains:  []config.Domain{{Name: "local", Region: "local"}},
		Services: []config.Service{
			{
				Name: "chat", Kind: config.KindModel, Version: "v1", Models: []string{"chat"}, InitialConcurrency: 4,
				Classes: []config.Class{{Name: "chat", Priority: 1, FirstTokenTarget: seconds(1.1), InterTokenTarget: seconds(0.051), CompletionTarget: seconds(60), ProgressTimeout: seconds(2)}},
			},
			{
				Name: "booking", Kind: config.KindPlain, Version: "v1", InitialConcurrency: 4, StatusPath: "/bookings/{key}",
				Classes: []config.Class{{Name: "booking", Priority: 0, FirstTokenTarget: seconds(2), CompletionTarget: seconds(10), ProgressTimeout: seconds(5)}},
				Routes: []config.Route{
					{Path: "/bookings", Methods: []string{"POST"}, Class: "booking", AtMostOnce: true},
					{Path: "/", Class: "booking"},
				},
			},
		},
	}
}
