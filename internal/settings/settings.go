// Package settings reads the settings file of one node: its name, addresses, failure
// domain, data directory and keys. The configuration of services and client accounts is
// part of the replicated state; see package config.
package settings

import (
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/tomlfile"
)

const defaultShutdownLimit = 60 * time.Second

// Settings is the content of a node's settings file.
type Settings struct {
	Node   Node   `toml:"node"`
	Listen Listen `toml:"listen"`
	// Peers lists the initial voters and other seed nodes, including this node.
	Peers    []Peer   `toml:"peer"`
	Security Security `toml:"security"`
	Shutdown Shutdown `toml:"shutdown"`
}

// Node describes this node.
type Node struct {
	Name string `toml:"name"`
	// Domain is the failure domain of the node's VM.
	Domain string `toml:"domain"`
	// Cell names the group of at most 8 nodes that share upstreams.
	Cell string `toml:"cell"`
	// Voter is true if the node is a voter of the group that holds the replicated state.
	Voter bool `toml:"voter"`
	// DataDir is the data directory of a voter.
	DataDir string `toml:"data"`
	// Log is the log format: text, json or empty.
	Log string `toml:"log"`
	// Memory is the memory of the VM in MiB, from which the limit of what all open answers
	// hold together follows; zero if it is not known.
	Memory int `toml:"memory"`
}

// Listen holds the addresses of the node's listeners, as host:port.
type Listen struct {
	Callers   string `toml:"callers"`
	Upstreams string `toml:"upstreams"`
	Operators string `toml:"operators"`
	Peers     string `toml:"peers"`
}

// Peer is a node whose address is known before the replicated state can be read.
type Peer struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
	// Voter is true if the peer is one of the initial voters.
	Voter bool `toml:"voter"`
}

// Security holds the keys and tokens of the node's listeners.
type Security struct {
	// PeerKey is the key shared by all nodes, at least 16 characters.
	PeerKey string `toml:"peer_key"`
	// Plaintext allows links between nodes without TLS, on loopback addresses only.
	Plaintext bool `toml:"plaintext"`
	// Cert, Key and CA are paths of PEM files for TLS between nodes.
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	CA   string `toml:"ca"`
	// UpstreamTokens and OperatorTokens are the tokens that the listeners for upstreams
	// and operators accept.
	UpstreamTokens []Token `toml:"upstream"`
	OperatorTokens []Token `toml:"operator"`
}

// Token is a hashed bearer token of a named holder.
type Token struct {
	Name string `toml:"name"`
	// Hash is the hexadecimal SHA-256 hash of the bearer token.
	Hash string `toml:"token"`
}

// Shutdown holds the limits of a graceful shutdown.
type Shutdown struct {
	// UnreadyDelay is how long the node continues to accept requests after its readiness
	// check has started to fail.
	UnreadyDelay config.Duration `toml:"unready"`
	// Limit is the longest wait for open requests; the remaining ones are aborted.
	Limit config.Duration `toml:"limit"`
}

// Load reads and checks a settings file. The error is a tomlfile.Problems that lists
// all problems.
func Load(path string) (Settings, error) {
	s := Settings{Shutdown: Shutdown{Limit: config.Duration(defaultShutdownLimit)}}
	d := tomlfile.Load(path)
	if d.Decode(&s) {
		s.check(d.Report)
	}
	return s, d.Err()
}
