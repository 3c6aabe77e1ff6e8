package state

import "github.com/jaystage/jaystage/pkg/wire"

// Verbs of order leases.
const (
	VerbAcquire = "acquire"
	VerbRenew   = "renew"
	VerbRelease = "release"
)

// applyOrder runs a step of an order lease. A lease belongs to a session and ends with
// it, so that it depends on no clock but the session's lease. Its holder may send
// orders only while its session lease is valid.
//
// Tokens come from one counter for all names: they rise for each name, and a
// released name needs no memory.
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
