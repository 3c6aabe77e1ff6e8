package state

import "github.com/jaystage/jaystage/pkg/wire"

// Verbs of order leases.
const (
	VerbAcquire = "acquire"
	VerbRenew   = "renew"
	VerbRelease = "release"
)

// order runs a step of an order lease. A lease belongs to a session and ends with
// it, so that it depends on no clock but the session's lease. Its holder may send
// orders only while its session lease is valid.
//
// Tokens come from one counter for all names: they rise for each name, and a
// released name needs no memory.
func (m *Machine) order(node string, incarnation uint64, o wire.Order) wire.Ordered {
	lease, taken := m.leases[o.Name]
	own := taken && lease.Node == node && lease.Incarnation == incarnation
	switch {
	case o.Verb == VerbAcquire && !taken:
		if !m.hooks.reuseToken {
			m.token++
		}
		lease = wire.Lease{Name: o.Name, Token: m.token, Node: node, Incarnation: incarnation}
		m.leases[o.Name] = lease
		return wire.Ordered{Held: true, Token: lease.Token, Node: node}
	case o.Verb == VerbAcquire:
		return wire.Ordered{Held: own, Token: lease.Token, Node: lease.Node}
	case o.Verb == VerbRelease && own && lease.Token == o.Token:
		delete(m.leases, o.Name)
		return wire.Ordered{Token: lease.Token}
	}
	return wire.Ordered{Held: own && lease.Token == o.Token, Token: lease.Token, Node: lease.Node}
}
