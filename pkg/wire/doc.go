// Package wire defines the messages between jaystage's processes and the announcements of
// upstreams. The types are generated from the JSON schemas in the directory schema. The
// generated files are committed, so that a build does not need the generator. Messages
// between nodes are encoded as CBOR, and messages to and from upstreams as JSON.
package wire

//go:generate go tool go-jsonschema --only-models --min-sized-ints --tags json --capitalization ID --capitalization VM -p wire -t -o peer.go schema/peer.json
//go:generate go tool go-jsonschema --only-models --min-sized-ints --tags json --capitalization ID --capitalization VM -p wire -t -o upstream.go schema/upstream.json
//go:generate go tool go-jsonschema --only-models --min-sized-ints --tags json --capitalization ID --capitalization VM -p wire -t -o state.go schema/state.json
//go:generate go tool go-jsonschema --only-models --min-sized-ints --tags json --capitalization ID --capitalization VM -p wire -t -o cell.go schema/cell.json
//go:generate go tool go-jsonschema --only-models --min-sized-ints --tags json --capitalization ID --capitalization VM -p wire -t -o rollout.go schema/rollout.json
//go:generate go tool go-jsonschema --only-models --min-sized-ints --tags json --capitalization ID --capitalization VM -p wire -t -o raft.go schema/raft.json
//go:generate go tool go-jsonschema --only-models --min-sized-ints --tags json --capitalization ID --capitalization VM -p wire -t -o traffic.go schema/traffic.json
