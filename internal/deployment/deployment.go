// Package deployment assembles the processes of a deployment that serves a traffic
// plan: entry nodes, which run a gateway, and voters, which store the replicated state
// and run its control. A node's name is its IP address, so that any node can be reached
// by its name.
package deployment

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/bounded"
	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/control"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/internal/gateway"
	"github.com/jaystage/jaystage/internal/listener"
	"github.com/jaystage/jaystage/internal/peer"
	"github.com/jaystage/jaystage/internal/replica"
	"github.com/jaystage/jaystage/internal/tunnel"
	"github.com/jaystage/jaystage/pkg/traffic"
)

const (
	// linkKey is the shared key of the peer links. The network between the VMs is private;
	// the key only serves to reject connections that are not the system's own.
	linkKey = "jaystage-private-network"
	// electionTimeout is the minimum time without a heartbeat after which voters elect a
	// leader: a few hundred round trips within a region.
	electionTimeout = 200 * time.Millisecond
	// readHeaderTimeout and idleTimeout limit connections on which clients send nothing.
	// idleTimeout exceeds the idle timeout in every plan; clients comply with the latter.
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 90 * time.Second
	// maxHeadBytes bounds the head of a request. It exceeds the limit in every plan.
	maxHeadBytes = 64 << 10
)

// Options holds the settings of one process.
type Options struct {
	// Host is the VM's IP address, which is also the node's name.
	Host string
	// Port is the port on which every node listens for other nodes.
	Port   string
	Domain string
	// Voter is true when the node stores the replicated state in DataDir.
	Voter   bool
	DataDir string
	// NoFileIDs is true when the file system of DataDir has no stable inode numbers.
	NoFileIDs bool
	// Seeds lists the hosts of some voters. If Bootstrap is set, this node may form the
	// group of voters, provided that it is one of the seeds and its DataDir is empty.
	Seeds     []string
	Bootstrap bool
	// FaultTolerance is the number of voters that may fail at the same time.
	FaultTolerance int
	// LeaseTTL is how long a node serves without contact with the leader.
	LeaseTTL time.Duration
	// GracePeriod is the time from the stop signal until the process is killed.
	GracePeriod time.Duration

	// ClientAddress and ReadinessAddress are the addresses on which an entry node
	// listens; empty on a node that only votes.
	ClientAddress    string
	ReadinessAddress string
	Headers          gateway.Headers
	GatewaySettings  gateway.Settings

	// ControlAddress is the address on which a voter serves ControlHandler; empty on a
	// node that does not vote.
	ControlAddress string
	ControlHandler func(*control.Control) http.Handler
	Platform       control.Platform
	// ReadPlan reads the document of a traffic plan.
	ReadPlan func(source []byte) (*traffic.Plan, error)
	// ScalingEnabled is true when the system orders upstreams from the platform.
	ScalingEnabled bool
	// MaxExposure is the largest share of all requests that a faulty version may receive.
	MaxExposure float64
	// MinLeadTime is how long a voter must have led before it calls the platform.
	MinLeadTime time.Duration

	// Descriptors is the number of file descriptors of the VM; zero if it is not known.
	Descriptors int
	// MetricsAddress is the address of the metrics endpoint; empty disables it.
	MetricsAddress string
	Log            logrus.FieldLogger
	// ReadinessHandler returns the handler for the load balancer's readiness checks.
	ReadinessHandler func(ready func() bool) http.Handler
}

// Node is one process of the deployment.
type Node struct {
	options   Options
	startedAt time.Time
	links     *peer.Links
	state     *replica.Replica
	gateway   *gateway.Gateway
	exchange  *gateway.Exchange
	control   *control.Control
	servers   []*server
	// connections bounds those of all servers.
	connections  *listener.Group
	clientServer *server        // nil on a node that only votes
	tunnels      *tunnel.Server // nil on a node that only votes
	// controlServer is nil on a node that does not vote.
	controlServer *server
	// endControl ends the calls that controlServer serves.
	endControl context.CancelFunc
	// stopping is set once the node was told to stop.
	stopping atomic.Bool
}

type server struct {
	http.Server
	listener *listener.Listener
}

// New opens the listeners and the node's copy of the replicated state.
func New(o Options) (*Node, error) {
	shares := bounded.Divide(o.GatewaySettings.MemoryBytes, o.Descriptors)
	n := &Node{options: o, startedAt: time.Now(), connections: listener.NewGroup(shares)}
	expvar.Publish("connections", n.connections)
	incarnation := uint64(time.Now().UnixNano())
	n.links = peer.New(peer.Config{
		Name: o.Host, Incarnation: incarnation, Key: []byte(linkKey), PrivateNetwork: true, Log: o.Log,
		Address: func(name string) (string, bool) { return net.JoinHostPort(name, o.Port), net.ParseIP(name) != nil },
	})
	state, err := replica.Open(replica.Config{
		Entry: config.Node{Name: o.Host, ProcessIncarnation: incarnation, Domain: o.Domain},
		Voter: o.Voter, DataDir: o.DataDir, InitialVoters: o.Seeds, Seeds: o.Seeds, JoinOnly: !o.Bootstrap || !slices.Contains(o.Seeds, o.Host),
		LeaseTTL: o.LeaseTTL, GroupSize: 2*o.FaultTolerance + 1, ElectionTimeout: electionTimeout,
		SingleProcess: true, NoFileIDs: o.NoFileIDs, CloseTimeout: n.closeTimeout(), Links: n.links, Log: o.Log,
	})
	if err != nil {
		return nil, err
	}
	n.state = state
	if err := n.listen("other nodes", net.JoinHostPort(o.Host, o.Port), n.links.Handler()); err != nil {
		return nil, err
	}
	if o.ClientAddress != "" {
		err = n.openGateway(incarnation)
	}
	if err == nil && o.ControlAddress != "" {
		err = n.openControl()
	}
	if err == nil && o.MetricsAddress != "" {
		err = n.listen("metrics", o.MetricsAddress, expvar.Handler())
	}
	if err != nil {
		n.close()
		return nil, err
	}
	return n, nil
}

func (n *Node) openGateway(incarnation uint64) error {
	o := n.options
	o.GatewaySettings.LocalIP = net.ParseIP(o.Host)
	n.gateway = gateway.New(o.Host, o.Domain, o.Headers, o.GatewaySettings, n.state, o.Log)
	expvar.Publish("gateway", n.gateway.Metrics)
	n.exchange = &gateway.Exchange{Gateway: n.gateway, Links: n.links, State: n.state, Incarnation: incarnation}
	n.exchange.RegisterHandlers()
	n.gateway.Detour.Streams, n.tunnels = n.links, n.gateway.NewTunnelServer()
	n.tunnels.MaxTunnels = bounded.Divide(o.GatewaySettings.MemoryBytes, o.Descriptors).Tunnels
	n.links.HandleStream(tunnel.Kind, n.tunnels.Serve)
	if err := n.listen("clients", o.ClientAddress, n.gateway); err != nil {
		return err
	}
	n.clientServer = n.servers[len(n.servers)-1]
	n.clientServer.IdleTimeout = idleTimeout
	return n.listen("readiness", o.ReadinessAddress, o.ReadinessHandler(func() bool { return n.gateway.Ready(time.Now()) }))
}

func (n *Node) openControl() error {
	n.control = control.New(n.options.Host, n.state, n.links, n.options.Log)
	n.control.Platform, n.control.ScalingEnabled = n.options.Platform, n.options.ScalingEnabled
	n.control.ReadPlan = n.options.ReadPlan
	n.control.UsageWindow, n.control.MaxExposure, n.control.MinLeadTime = n.options.GatewaySettings.UsageWindow, n.options.MaxExposure, n.options.MinLeadTime
	if n.options.DataDir != "" {
		n.control.CountStore = countStore{n.options.DataDir}
	}
	n.control.RegisterHandlers()
	if err := n.listen("control", n.options.ControlAddress, n.closeWhenStopping(n.options.ControlHandler(n.control))); err != nil {
		return err
	}
	n.controlServer = n.servers[len(n.servers)-1]
	ctx, cancel := context.WithCancel(context.Background())
	n.controlServer.BaseContext, n.endControl = func(net.Listener) context.Context { return ctx }, cancel
	return nil
}

func (n *Node) listen(purpose, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "cannot listen for %s on %q; check that the address belongs to this VM and is not in use", purpose, address)
	}
	tracked := listener.New(l)
	tracked.Group = n.connections
	n.servers = append(n.servers, &server{http.Server{
		Handler: markWhole(h), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeadBytes, ConnState: tracked.ConnState, ConnContext: tracked.ConnContext,
	}, tracked})
	return nil
}

// markWhole tells the listener of requests without a body that they are whole. Handlers that read
// bodies tell it of the others.
func markWhole(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			listener.MarkWhole(r.Context())
		}
		h.ServeHTTP(w, r)
	})
}

func (n *Node) close() {
	for _, s := range n.servers {
		_ = s.listener.Close()
	}
}

// Run serves until ctx ends, then shuts down gracefully within the grace period.
func (n *Node) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	linksDone := make(chan struct{})
	linksCtx, stopLinks := context.WithCancel(runCtx)
	go func() { defer close(linksDone); n.links.Run(linksCtx) }()
	serveResults := make(chan error, len(n.servers)+1)
	for _, s := range n.servers {
		go func() { serveResults <- s.Serve(s.listener) }()
	}
	stateCtx, stopState := context.WithCancel(runCtx)
	stateResult := make(chan error, 1)
	go func() { stateResult <- n.state.Run(stateCtx) }()
	tasksCtx, stopTasks := context.WithCancel(runCtx)
	tasks := n.startBackground(tasksCtx)
	event.With(n.options.Log, event.NodeStarted).WithFields(logrus.Fields{
		"node": n.options.Host, "domain": n.options.Domain, "voter": n.options.Voter, "seeds": n.options.Seeds,
		"lease_ms": n.options.LeaseTTL.Milliseconds(),
	}).Info("node started")
	var err error
	select {
	case <-ctx.Done():
	case err = <-serveResults:
	case err = <-stateResult:
		stateResult <- nil // received again below
	}
	stoppedAt := time.Now()
	event.With(n.options.Log, event.NodeStopping).WithError(err).Info("node stopping")
	n.stopping.Store(true)
	if err == nil {
		n.drain()
	}
	stopTasks()
	for _, task := range tasks {
		<-task // the last usage report needs the node's session
	}
	if err == nil {
		n.leaveGroup(stoppedAt)
	}
	stopState()
	err = errors.Join(err, <-stateResult)
	stopLinks()
	<-linksDone
	for _, s := range n.servers {
		_ = s.Close()
	}
	event.With(n.options.Log, event.NodeStopped).WithError(err).Info("node stopped")
	return err
}

// startBackground starts the background tasks. Each returned channel is closed when its
// task has ended.
func (n *Node) startBackground(ctx context.Context) []<-chan struct{} {
	var tasks []<-chan struct{}
	if n.exchange != nil {
		tasks = append(tasks, n.exchange.Run(ctx), n.exchange.RunProbes(ctx), n.watchStart(ctx))
	}
	if n.control != nil {
		tasks = append(tasks, n.control.Run(ctx))
	}
	if n.options.Voter {
		joinDone := make(chan struct{})
		go func() { defer close(joinDone); n.state.Join(ctx) }()
		tasks = append(tasks, joinDone)
	}
	return tasks
}
