// Package settings reads the settings file of one node: its name, addresses,
// failure domain, data folder and keys. The configuration of services and client
// accounts is not here but in the replicated state; see package config.
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
	// Peers lists the voters and further seed nodes, this node included.
	Peers    []Peer   `toml:"peer"`
	Security Security `toml:"security"`
	Shutdown Shutdown `toml:"shutdown"`
}

// Node says which node this is.
type Node struct {
	Name string `toml:"name"`
	// Domain is the failure domain of the node's VM.
	Domain string `toml:"domain"`
	// Cell names the group of at most 8 nodes that share upstreams.
	Cell string `toml:"cell"`
	// Voter is true when the node holds a replica of the replicated state.
	Voter bool `toml:"voter"`
	// DataDir is the folder of a voter's files.
	DataDir string `toml:"data"`
	// Log is the log format: text or json.
	Log string `toml:"log"`
}

// Listen holds the addresses, host and port, of the node's listeners.
type Listen struct {
	Callers   string `toml:"callers"`
	Upstreams string `toml:"upstreams"`
	Operators string `toml:"operators"`
	Peers     string `toml:"peers"`
}

// Peer is another node that this node can reach at its start.
type Peer struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
	// Voter is true when the peer belongs to the first group of voters.
	Voter bool `toml:"voter"`
}

// Security holds the keys and tokens of the node's listeners.
type Security struct {
	// PeerKey is the key shared by all nodes, at least 16 characters.
	PeerKey string `toml:"peer_key"`
	// Plaintext allows links between nodes without TLS; loopback only.
	Plaintext bool `toml:"plaintext"`
	// Cert, Key and CA are PEM files for TLS between nodes.
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	CA   string `toml:"ca"`
	// UpstreamTokens and OperatorTokens are SHA-256 hashes, hexadecimal, of bearer tokens.
	UpstreamTokens []Token `toml:"upstream"`
	OperatorTokens []Token `toml:"operator"`
}

// Token is a hashed bearer token of a named holder.
type Token struct {
	Name string `toml:"name"`
	// Hash is the SHA-256 of the bearer token, hexadecimal.
	Hash string `toml:"token"`
}

// Shutdown holds the limits of a graceful shutdown.
type Shutdown struct {
	// UnreadyDelay is how long the node still takes requests after it has told the
	// balancer that it is not ready.
	UnreadyDelay config.Duration `toml:"unready"`
	// Limit is how long the node waits for open requests.
	Limit config.Duration `toml:"limit"`
}

// Load reads and checks a settings file. The error is a tomlfile.Problems that
// lists everything that is wrong.
func Load(path string) (Settings, error) {
	s := Settings{Shutdown: Shutdown{Limit: config.Duration(defaultShutdownLimit)}}
	d := tomlfile.Load(path)
	if d.Decode(&s) {
		s.check(d.Report)
	}
	return s, d.Err()
}
