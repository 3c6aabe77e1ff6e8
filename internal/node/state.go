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

// openState opens the listeners, whose addresses other nodes learn, the links to
// other nodes and the node's part in the replicated state.
func (n *Node) openState() error {
	s := n.Settings
	for _, l := range []struct{ key, address string }{
		{"listen.callers", s.Listen.Callers}, {"listen.upstreams", s.Listen.Upstreams}, {"listen.operators", s.Listen.Operators},
	} {
		if err := n.listen(l.key, l.address); err != nil {
			return err
		}
	}
	voters, seeds := seeds(s)
	if len(voters) == 0 {
		return errors.New("no voter is known; set node.voter on this node or add a [[peer]] with voter = true")
	}
	if s.Node.Voter && s.Node.Data == "" {
		return errors.New("node.voter is set but node.data is not; set the folder of the voter's files")
	}
	if err := n.openLinks(); err != nil {
		return err
	}
	state, err := replica.Open(replica.Config{
		Entry: n.entry(), Voter: s.Node.Voter, DataDir: s.Node.Data, InitialVoters: voters, Seeds: seeds, Links: n.Links, Log: n.Log,
	})
	n.State = state
	return err
}

// seeds lists the first voters and all nodes in the settings.
func seeds(s settings.Settings) (voters, all []string) {
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

// openLinks opens the listener for other nodes. A node without peers needs none.
func (n *Node) openLinks() error {
	s := n.Settings
	security := s.Security
	security.Plaintext = security.Plaintext || (s.Listen.Peers == "" && len(s.Peers) == 0)
	server, client, err := peer.TLS(security, s.Listen.Peers)
	if err != nil && s.Listen.Peers != "" {
		return err
	}
	n.Links = peer.New(peer.Config{
		Name: s.Node.Name, Incarnation: n.process, Key: []byte(security.PeerKey),
		TLS: client, Address: n.peerAddress, Log: n.Log,
	})
	if s.Listen.Peers == "" {
		return nil
	}
	l, err := net.Listen("tcp", s.Listen.Peers)
	if err != nil {
		return eris.Wrapf(err, "cannot listen on listen.peers %q; choose a free address", s.Listen.Peers)
	}
	n.peers = &listener{l, &http.Server{Handler: n.Links.Handler(), ReadHeaderTimeout: readHeaderTimeout, TLSConfig: server}}
	return nil
}

// peerAddress finds a node by the settings, or by its entry while it has a session.
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

// entry is what other nodes learn of this one.
func (n *Node) entry() config.Node {
	s := n.Settings
	e := config.Node{Name: s.Node.Name, Domain: s.Node.Domain, Cell: s.Node.Cell, AnnounceAddress: n.UpstreamsAddress(), Process: n.process}
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

// runState serves the links and the replicated state until the returned function
// is called, which ends the node's session and hands leadership over. A failure
// before is sent to ended.
func (n *Node) runState(ctx context.Context, ended chan<- error) (stop func() error, done <-chan error) {
	stateCtx, stopState := context.WithCancel(context.WithoutCancel(ctx))
	linksCtx, stopLinks := context.WithCancel(context.WithoutCancel(ctx))
	linksEnded, finished := make(chan struct{}), make(chan error, 1)
	go func() { defer close(linksEnded); n.Links.Run(linksCtx) }()
	served := make(chan error, 1)
	if n.peers != nil {
		go func() { served <- n.servePeers() }()
	}
	go func() {
		err := n.State.Run(stateCtx)
		if err != nil {
			ended <- err
		}
		finished <- err
	}()
	return func() error {
		stopState()
		err := <-finished
		finished <- nil
		stopLinks()
		<-linksEnded
		if n.peers != nil {
			_ = n.peers.server.Close()
			<-served
		}
		return err
	}, finished
}

func (n *Node) servePeers() error {
	if n.peers.server.TLSConfig != nil {
		return n.peers.server.ServeTLS(n.peers.Listener, "", "")
	}
	return n.peers.server.Serve(n.peers.Listener)
}
