package state

import "github.com/jaystage/jaystage/pkg/wire"

// Verbs of order leases.
const (
	VerbAcquire = "acquire"
	VerbRenew   = "renew"
	VerbRelease = "release"
)

// applyOrder runs one step of an order lease. An order lease belongs to a session and
// ends with it, so it needs no expiry time of its own. The holder may send orders only
// while its session lease is valid.
//
// Fencing tokens of all names come from one counter. They therefore increase for every
// name, and nothing needs to be stored for a released name.
func (m *Machine) applyOrder(node string, incarnation uint64, o wire.Order) wire.Ordered {
	lease, exists := m.leases[o.Name]
	isHolder := exists && lease.Node == node && lease.Incarnation == incarnation
	switch {
	case o.Verb == VerbAcquire && !exists:
		if !m.mutations.reuseToken {
			m.lastToken++
		}
		lease = wire.Lease{Name: o.Name, Token: m.lastToken, Node: node, Incarnation: incarnation}
		m.leases[o.Name] = lease
		return wire.Ordered{Held: true, Token: lease.Token, Node: node}
	case o.Verb == VerbAcquire:
		return wire.Ordered{Held: isHolder, Token: lease.Token, Node: lease.Node}
	case o.Verb == VerbRelease && isHolder && lease.Token == o.Token:
		delete(m.leases, o.Name)
		return wire.Ordered{Token: lease.Token}
	}
	return wire.Ordered{Held: isHolder && lease.Token == o.Token, Token: lease.Token, Node: lease.Node}
}
