package config

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/jaystage/jaystage/pkg/poison"
	"github.com/jaystage/jaystage/pkg/traffic"
	"github.com/jaystage/jaystage/pkg/wire"
)

// Keys and key prefixes of the traffic plan and the state that belongs to it.
const (
	// KeyPlan is the key of the current traffic plan.
	KeyPlan = "traffic/plan"
	// PrefixUsage is the prefix of the keys of Usage entries.
	PrefixUsage = "usage/"
	// PrefixMove is the prefix of the keys of Move entries.
	PrefixMove = "move/"
	// PrefixFleet is the prefix of the keys of Fleet entries.
	PrefixFleet = "fleet/"
	// PrefixPart is the prefix of the keys of BlockedPart entries. The rest of the key is
	// the part's identifier in hexadecimal.
	PrefixPart = "part/"
)

// BlockedPart is a part of prompts that crashes upstreams. Requests with it are refused.
type BlockedPart struct {
	// Name is the part's identifier in the clients' requests.
	Name string `json:"name"`
	// Since is when it was blocked, Unix time in milliseconds.
	Since int64 `json:"since"`
	// With lists further parts that a prompt must have for the block to apply; see
	// poison.Block.
	With []poison.Part `json:"with,omitempty"`
}

// PartKey returns the key of a part's entry.
func PartKey(p poison.Part) string { return PrefixPart + strconv.FormatUint(uint64(p), 16) }

func (v *View) readBlockedPart(item wire.Item) error {
	id, err := strconv.ParseUint(strings.TrimPrefix(item.Key, PrefixPart), 16, 64)
	if err != nil {
		return err
	}
	var blocked BlockedPart
	if err := json.Unmarshal(item.Value, &blocked); err != nil {
		return err
	}
	v.BlockedParts[poison.Part(id)] = blocked
	return nil
}

// readPlan decodes the plan, or reuses that of the previous view if the entry has not
// changed: other entries change often and a plan may be large.
func (v *View) readPlan(item wire.Item, previous *View) error {
	if previous != nil && previous.Plan != nil && previous.planEntryVersion == item.Version {
		v.Plan, v.planEntryVersion = previous.Plan, item.Version
		return nil
	}
	plan, err := traffic.Decode(item.Value)
	if err != nil {
		return err
	}
	v.Plan, v.planEntryVersion = plan, item.Version
	return nil
}
