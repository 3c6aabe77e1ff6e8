// Package upstream runs a stand-in upstream as a process of its own.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jaystage/jaystage/internal/fake"
	"github.com/jaystage/jaystage/pkg/cmd/factory"
	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	readHeaderTimeout = 10 * time.Second
	shutdownLimit     = 30 * time.Second
)

// Options holds what the command uses.
type Options struct {
	Streams factory.Streams
	HTTP    *http.Client
	ID      string
	Kind    string
	Listen  string
	Domain  string
	Service string
	Version string
	Nodes   string
	Token   string
	Between time.Duration
	Price   float64
}

// NewCmdUpstream returns the command "fake upstream".
func NewCmdUpstream(f *factory.Factory) *ffcli.Command {
	opts := &Options{Streams: f.Streams, HTTP: f.HTTP}
	fs := f.NewFlagSet("fake upstream")
	fs.StringVar(&opts.ID, "id", "", "name of the upstream")
	fs.StringVar(&opts.Kind, "kind", "model", "model or booking")
	fs.StringVar(&opts.Listen, "listen", "127.0.0.1:0", "host:port of the upstream")
	fs.StringVar(&opts.Domain, "domain", "gulberg", "failure domain")
	fs.StringVar(&opts.Service, "service", "chat", "service that it serves")
	fs.StringVar(&opts.Version, "serves", "v1", "version that it serves")
	fs.StringVar(&opts.Nodes, "nodes", "127.0.0.1:7002", "host:port of nodes' listeners for upstreams, separated by commas")
	fs.StringVar(&opts.Token, "announce-token", "", "bearer token for announcements")
	fs.DurationVar(&opts.Between, "between", 10*time.Millisecond, "time between two tokens of a model")
	fs.Float64Var(&opts.Price, "price", 1, "price of the VM for one hour")
	return &ffcli.Command{
		Name: "upstream", ShortUsage: "jaystage fake upstream [flags]", ShortHelp: "Run a stand-in upstream",
		LongHelp: "Example:\n  jaystage fake upstream --id m1 --service chat --serves v1 --announce-token secret",
		FlagSet:  fs, Options: factory.Options(),
		Exec: func(ctx context.Context, _ []string) error { return upstreamRun(ctx, opts) },
	}
}

func upstreamRun(ctx context.Context, opts *Options) error {
	if opts.ID == "" {
		return &factory.ExitError{Code: factory.ExitUsage, Err: errors.New("--id is required")}
	}
	handler, running, err := newHandler(opts)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return fmt.Errorf("cannot listen on --listen %q; choose a free address: %w", opts.Listen, err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(l) }()
	start := uint64(time.Now().UnixNano())
	announcer := &fake.Announcer{Nodes: strings.Split(opts.Nodes, ","), Token: opts.Token, HTTP: opts.HTTP, State: func() wire.Announce {
		return wire.Announce{
			ID: opts.ID, Incarnation: start, Address: l.Addr().String(), VM: "vm-" + opts.ID, Domain: opts.Domain,
			Price: opts.Price, Ready: true, Serving: []wire.Serving{{Service: opts.Service, Version: opts.Version}},
			Load: wire.Load{Running: running()},
		}
	}}
	_, _ = fmt.Fprintf(opts.Streams.Out, "upstream %s listens on %s\n", opts.ID, l.Addr())
	left := announcer.Run(ctx)
	select {
	case <-ctx.Done():
	case err := <-ended:
		return err
	}
	<-left
	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownLimit)
	defer cancel()
	return server.Shutdown(limit)
}

func newHandler(opts *Options) (handler http.Handler, running func() uint64, err error) {
	switch opts.Kind {
	case "model":
		m := &fake.Model{Version: opts.Version, TokenInterval: opts.Between}
		return m.Handler(), func() uint64 { return uint64(m.Running.Load()) }, nil
	case "booking":
		return (&fake.Booking{}).Handler(), func() uint64 { return 0 }, nil
	default:
		return nil, nil, &factory.ExitError{Code: factory.ExitUsage, Err: fmt.Errorf("--kind %q is unknown; use model or booking", opts.Kind)}
	}
}
