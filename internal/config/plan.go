package config

import (
	"github.com/jaystage/jaystage/pkg/traffic"
	"github.com/jaystage/jaystage/pkg/wire"
)

// Keys of the traffic plan and of what belongs to it.
const (
	// KeyPlan holds the traffic plan in force.
	KeyPlan = "traffic/plan"
	// PrefixUsage begins the keys of the settled counts of usage windows.
	PrefixUsage = "usage/"
	// PrefixMove begins the keys of the moves of a service's traffic to a version.
	PrefixMove = "move/"
	// PrefixFleet begins the keys of the sizes of fleets.
	PrefixFleet = "fleet/"
)

// readPlan decodes the plan, unless an earlier view holds the same version of the
// entry: other entries change often and a plan may be large.
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
