// Package wire holds the messages between jaystage's processes and the
// announcements of upstreams. The types are generated from the JSON schemas in
// the folder schema; the generated files are committed, so that a build needs no
// generator. Between nodes they are encoded as CBOR, towards upstreams as JSON.
package wire

//go:generate go tool go-jsonschema --only-models --min-sized-ints --tags json --capitalization ID --capitalization VM -p wire -t -o peer.go schema/peer.json
//go:generate go tool go-jsonschema --only-models --min-sized-ints --tags json --capitalization ID --capitalization VM -p wire -t -o upstream.go schema/upstream.json
//go:generate go tool go-jsonschema --only-models --min-sized-ints --tags json --capitalization ID --capitalization VM -p wire -t -o state.go schema/state.json
//go:generate go tool go-jsonschema --only-models --min-sized-ints --tags json --capitalization ID --capitalization VM -p wire -t -o cell.go schema/cell.json
//go:generate go tool go-jsonschema --only-models --min-sized-ints --tags json --capitalization ID --capitalization VM -p wire -t -o rollout.go schema/rollout.json
//go:generate go tool go-jsonschema --only-models --min-sized-ints --tags json --capitalization ID --capitalization VM -p wire -t -o raft.go schema/raft.json
//go:generate go tool go-jsonschema --only-models --min-sized-ints --tags json --capitalization ID --capitalization VM -p wire -t -o traffic.go schema/traffic.json
