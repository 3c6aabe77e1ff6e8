package settings

import (
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
)

// reportFunc reports a problem at a key.
type reportFunc func(key, format string, args ...any)

const (
	minPeerKeyLength = 16
	sha256Bytes      = 32
)

// check reports every invalid value.
func (s Settings) check(report reportFunc) {
	s.Node.check(report)
	for key, address := range map[string]string{
		"listen.callers": s.Listen.Callers, "listen.upstreams": s.Listen.Upstreams,
		"listen.operators": s.Listen.Operators, "listen.peers": s.Listen.Peers,
	} {
		if address != "" || key != "listen.peers" {
			checkAddress(key, address, report)
		}
	}
	s.checkPeers(report)
	s.Security.check(len(s.Peers) > 1, s.Listen.Peers, report)
	if s.Shutdown.UnreadyDelay < 0 {
		report("shutdown.unready", "must not be negative")
	}
	if s.Shutdown.Limit <= 0 {
		report("shutdown.limit", "must be above 0")
	}
}

func (n Node) check(report reportFunc) {
	if n.Name == "" {
		report("node.name", "is missing; each node needs a unique name")
	}
	if n.Domain == "" {
		report("node.domain", "is missing; name the failure domain of the node's VM")
	}
	if n.Voter && n.DataDir == "" {
		report("node.data", "is missing; a voter needs a data directory")
	}
	if n.Memory < 0 {
		report("node.memory", "must not be negative; leave it out if it is not known")
	}
	if n.Log != "" && n.Log != "text" && n.Log != "json" {
		report("node.log", "%q is unknown; use \"text\" or \"json\"", n.Log)
	}
}

func (s Settings) checkPeers(report reportFunc) {
	for _, p := range s.Peers {
		checkAddress(fmt.Sprintf("peer[%s].address", p.Name), p.Address, report)
	}
	voters := 0
	for _, p := range s.Peers {
		if p.Voter {
			voters++
		}
	}
	if len(s.Peers) > 0 && voters == 0 {
		report("peer", "no peer has voter = true; mark the initial voters, the same on every node")
	}
	self := slices.IndexFunc(s.Peers, func(p Peer) bool { return p.Name == s.Node.Name })
	if len(s.Peers) > 1 && s.Listen.Peers == "" {
		report("listen.peers", "is missing; a node with peers needs a listener for them")
	}
	if self >= 0 && s.Peers[self].Voter && !s.Node.Voter {
		report("node.voter", "is false, but the [[peer]] entry of this node has voter = true")
	}
}

func (s Security) check(hasPeers bool, peersAddress string, report reportFunc) {
	if hasPeers && len(s.PeerKey) < minPeerKeyLength {
		report("security.peer_key", "must have at least %d characters; all nodes share it", minPeerKeyLength)
	}
	if s.Plaintext && !isLoopback(peersAddress) {
		report("security.plaintext", "is only allowed when listen.peers is a loopback address")
	}
	if hasPeers && !s.Plaintext && (s.Cert == "" || s.Key == "" || s.CA == "") {
		report("security.cert", "cert, key and ca are required for links between nodes; on a loopback address, plaintext = true replaces them")
	}
	for name, path := range map[string]string{"cert": s.Cert, "key": s.Key, "ca": s.CA} {
		if path == "" {
			continue
		}
		if _, err := os.Stat(path); err != nil {
			report("security."+name, "cannot be read: %v", err)
		}
	}
	checkTokens("security.upstream", s.UpstreamTokens, report)
	checkTokens("security.operator", s.OperatorTokens, report)
}

func checkTokens(key string, tokens []Token, report reportFunc) {
	if len(tokens) == 0 {
		report(key, "is missing; without a token the listener refuses all requests")
	}
	for _, t := range tokens {
		if sum, err := hex.DecodeString(t.Hash); err != nil || len(sum) != sha256Bytes {
			report(fmt.Sprintf("%s[%s].token", key, t.Name), "must be the SHA-256 of the bearer token, 64 hexadecimal digits: printf %%s TOKEN | sha256sum")
		}
	}
}

func checkAddress(key, address string, report reportFunc) {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		report(key, "%q is not host:port", address)
		return
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		report(key, "%q is not a port; use a number from 1 to 65535", port)
	}
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
