// Package upstream runs a fake upstream as a separate process.
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
	shutdownTimeout   = 30 * time.Second
)

// Options holds the dependencies, flags and arguments of the command.
type Options struct {
	Streams           factory.Streams
	HTTP              *http.Client
	ID                string
	Kind              string
	Listen            string
	Domain            string
	Service           string
	Version           string
	Nodes             string
	Token             string
	InterTokenLatency time.Duration
	Price             float64
}

// NewCmdUpstream returns the command "fake upstream".
func NewCmdUpstream(f *factory.Factory) *ffcli.Command {
	opts := &Options{Streams: f.Streams, HTTP: f.HTTP}
	fs := f.NewFlagSet("fake upstream")
	fs.StringVar(&opts.ID, "id", "", "ID of the upstream")
	fs.StringVar(&opts.Kind, "kind", "model", "kind of service: model or booking")
	fs.StringVar(&opts.Listen, "listen", "127.0.0.1:0", "host:port of the upstream")
	fs.StringVar(&opts.Domain, "domain", "gulberg", "failure domain of the upstream")
	fs.StringVar(&opts.Service, "service", "chat", "service that it serves")
	fs.StringVar(&opts.Version, "serves", "v1", "version that it serves")
	fs.StringVar(&opts.Nodes, "nodes", "127.0.0.1:7002", "comma-separated host:port list of the nodes' listeners for upstreams")
	fs.StringVar(&opts.Token, "announce-token", "", "bearer token for announcements")
	fs.DurationVar(&opts.InterTokenLatency, "between", 10*time.Millisecond, "time between two tokens of a model response")
	fs.Float64Var(&opts.Price, "price", 1, "price of the VM per hour")
	return &ffcli.Command{
		Name: "upstream", ShortUsage: "jaystage fake upstream [flags]", ShortHelp: "Run a fake upstream",
		LongHelp: "Example:\n  jaystage fake upstream --id m1 --service chat --serves v1 --announce-token secret",
		FlagSet:  fs, Options: factory.ParseOptions(),
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
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(l) }()
	incarnation := uint64(time.Now().UnixNano())
	announcer := &fake.Announcer{Nodes: strings.Split(opts.Nodes, ","), Token: opts.Token, HTTP: opts.HTTP, State: func() wire.Announce {
		return wire.Announce{
			ID: opts.ID, Incarnation: incarnation, Address: l.Addr().String(), VM: "vm-" + opts.ID, Domain: opts.Domain,
			Price: opts.Price, Ready: true, Serving: []wire.Serving{{Service: opts.Service, Version: opts.Version}},
			Load: wire.Load{Running: running()},
		}
	}}
	_, _ = fmt.Fprintf(opts.Streams.Out, "upstream %s listens on %s\n", opts.ID, l.Addr())
	announcerDone := announcer.Run(ctx)
	select {
	case <-ctx.Done():
	case err := <-serveErr:
		return err
	}
	<-announcerDone
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	return server.Shutdown(shutdownCtx)
}

func newHandler(opts *Options) (handler http.Handler, running func() uint64, err error) {
	switch opts.Kind {
	case "model":
		m := &fake.Model{Version: opts.Version, InterTokenLatency: opts.InterTokenLatency}
		return m.Handler(), func() uint64 { return uint64(m.Running.Load()) }, nil
	case "booking":
		return (&fake.Booking{}).Handler(), func() uint64 { return 0 }, nil
	default:
		return nil, nil, &factory.ExitError{Code: factory.ExitUsage, Err: fmt.Errorf("unknown --kind %q; use model or booking", opts.Kind)}
	}
}
