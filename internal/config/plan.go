package config

import (
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
)

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
