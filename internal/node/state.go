package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/peer"
	"github.com/jaystage/jaystage/internal/replica"
	"github.com/jaystage/jaystage/internal/settings"
)

// openState opens the listeners, the links to other nodes and the replica. The
// listeners come first because their addresses are part of the node's entry in the
// replicated state.
func (n *Node) openState() error {
	s := n.Settings
	for _, l := range []struct{ key, address string }{
		{"listen.callers", s.Listen.Callers}, {"listen.upstreams", s.Listen.Upstreams}, {"listen.operators", s.Listen.Operators},
	} {
		if err := n.listen(l.key, l.address); err != nil {
			return err
		}
	}
	voters, seeds := seedNodes(s)
	if len(voters) == 0 {
		return errors.New("no voter is configured; set node.voter on this node or add a [[peer]] with voter = true")
	}
	if s.Node.Voter && s.Node.DataDir == "" {
		return errors.New("node.voter is set but node.data is not; set it to the voter's data directory")
	}
	if err := n.openLinks(); err != nil {
		return err
	}
	state, err := replica.Open(replica.Config{
		Entry: n.entry(), Voter: s.Node.Voter, DataDir: s.Node.DataDir, InitialVoters: voters, Seeds: seeds, Links: n.Links, Log: n.Log,
	})
	n.State = state
	return err
}

// seedNodes returns the initial voters and all nodes whose addresses the settings
// contain. A voter is always one of the seeds; if it lists no peers, it is the only
// initial voter.
func seedNodes(s settings.Settings) (voters, all []string) {
	for _, p := range s.Peers {
		all = append(all, p.Name)
		if p.Voter {
			voters = append(voters, p.Name)
		}
	}
	if !slices.Contains(all, s.Node.Name) && s.Node.Voter {
		all = append(all, s.Node.Name)
		if len(s.Peers) == 0 {
			voters = append(voters, s.Node.Name)
		}
	}
	return voters, all
}

// openLinks creates the links to other nodes and opens the listener for them if
// listen.peers is set. A node without peers needs neither the listener nor TLS.
func (n *Node) openLinks() error {
	s := n.Settings
	security := s.Security
	security.Plaintext = security.Plaintext || (s.Listen.Peers == "" && len(s.Peers) == 0)
	serverTLS, clientTLS, err := peer.TLSConfigs(security, s.Listen.Peers)
	if err != nil && s.Listen.Peers != "" {
		return err
	}
	n.Links = peer.New(peer.Config{
		Name: s.Node.Name, Incarnation: n.incarnation, Key: []byte(security.PeerKey),
		TLS: clientTLS, Address: n.peerAddress, Log: n.Log,
	})
	if s.Listen.Peers == "" {
		return nil
	}
	l, err := net.Listen("tcp", s.Listen.Peers)
	if err != nil {
		return eris.Wrapf(err, "cannot listen on listen.peers %q; choose a free address", s.Listen.Peers)
	}
	n.peers = n.newEndpoint(l, &http.Server{Handler: n.Links.Handler(), ReadHeaderTimeout: readHeaderTimeout, TLSConfig: serverTLS})
	return nil
}

// peerAddress returns the address of a node from the settings, or else from its entry
// in the replicated state, which exists while the node has a session.
func (n *Node) peerAddress(name string) (string, bool) {
	for _, p := range n.Settings.Peers {
		if p.Name == name {
			return p.Address, true
		}
	}
	if n.State == nil {
		return "", false
	}
	view, _ := n.State.View(time.Now())
	entry, ok := view.Nodes[name]
	return entry.PeerAddress, ok && entry.PeerAddress != ""
}

// entry returns the node's entry in the replicated state, which other nodes read.
func (n *Node) entry() config.Node {
	s := n.Settings
	e := config.Node{Name: s.Node.Name, Domain: s.Node.Domain, Cell: s.Node.Cell, AnnounceAddress: n.UpstreamsAddress(), ProcessIncarnation: n.incarnation}
	if n.peers != nil {
		e.PeerAddress = n.peers.Addr().String()
	}
	for _, p := range s.Peers {
		if p.Name == s.Node.Name {
			e.PeerAddress = p.Address
		}
	}
	return e
}

// runState runs the links and the replica until stop is called. stop ends the node's
// session, transfers leadership, closes the links and returns the error of the
// replica. If the replica fails earlier, its error is sent to serveErrs. Only after
// stop has returned may the caller receive from done, which then yields nil: stop itself
// waits for the first value.
func (n *Node) runState(ctx context.Context, serveErrs chan<- error) (stop func() error, done <-chan error) {
	stateCtx, stopState := context.WithCancel(context.WithoutCancel(ctx))
	linksCtx, stopLinks := context.WithCancel(context.WithoutCancel(ctx))
	linksDone, stateDone := make(chan struct{}), make(chan error, 1)
	go func() { defer close(linksDone); n.Links.Run(linksCtx) }()
	peersDone := make(chan error, 1)
	if n.peers != nil {
		go func() { peersDone <- n.servePeers() }()
	}
	go func() {
		err := n.State.Run(stateCtx)
		if err != nil {
			serveErrs <- err
		}
		stateDone <- err
	}()
	return func() error {
		stopState()
		err := <-stateDone
		stateDone <- nil
		stopLinks()
		<-linksDone
		if n.peers != nil {
			_ = n.peers.server.Close()
			<-peersDone
		}
		return err
	}, stateDone
}

func (n *Node) servePeers() error {
	if n.peers.server.TLSConfig != nil {
		return n.peers.server.ServeTLS(n.peers.Listener, "", "")
	}
	return n.peers.server.Serve(n.peers.Listener)
}
