package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/jaystage/jaystage/pkg/wire"
)

const imageFormat = 1

// Snapshot returns the whole state, encoded. Equal states have equal snapshots.
func (m *Machine) Snapshot() ([]byte, error) {
	image := wire.Image{
		Format: imageFormat, Version: m.Space.Version, Floor: m.Space.Floor, Time: m.now, Token: m.token,
		Items: m.Space.Since(0), History: m.Space.History,
	}
	for _, id := range m.Space.IDs {
		changed := m.Space.Results[id]
		image.Results = append(image.Results, wire.Result{ID: id, Changed: &changed})
	}
	for _, name := range slices.Sorted(maps.Keys(m.clients)) {
		image.Clients = append(image.Clients, m.clients[name].image())
	}
	for _, in := range m.intents {
		image.Intents = append(image.Intents, *in)
	}
	slices.SortFunc(image.Intents, func(a, b wire.Intent) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Key, b.Key))
	})
	for t, expires := range m.tombstones {
		image.Tombstones = append(image.Tombstones, wire.Tombstone{Account: t.account, Hash: t.hash, Expires: expires})
	}
	slices.SortFunc(image.Tombstones, func(a, b wire.Tombstone) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Hash, b.Hash))
	})
	for _, name := range slices.Sorted(maps.Keys(m.leases)) {
		image.Leases = append(image.Leases, m.leases[name])
	}
	return wire.MarshalLarge(image)
}

func (c *client) image() wire.Client {
	image := wire.Client{Node: c.node, Incarnation: c.incarnation, Live: c.live, Floor: c.floor}
	for _, seq := range slices.Sorted(maps.Keys(c.outcomes)) {
		outcome := c.outcomes[seq]
		image.Outcomes = append(image.Outcomes, wire.Settled{Seq: seq, Outcome: &outcome})
	}
	return image
}

// Restore replaces the whole state with that of a snapshot. On an error the
// machine is unchanged.
func (m *Machine) Restore(data []byte) error {
	var image wire.Image
	if err := wire.UnmarshalLarge(data, &image); err != nil {
		return fmt.Errorf("decode the snapshot of the state: %w", err)
	}
	if image.Format != imageFormat {
		return fmt.Errorf("the snapshot of the state has format %d; this program reads format %d", image.Format, imageFormat)
	}
	if err := whole(image); err != nil {
		return err
	}
	next := New()
	next.hooks = m.hooks
	next.restore(image)
	*m = *next
	return nil
}

// whole checks that a snapshot has no result without its content, which a snapshot of
// this program never has.
func whole(image wire.Image) error {
	for _, r := range image.Results {
		if r.Changed == nil {
			return fmt.Errorf("the snapshot of the state lacks the result of change %q", r.ID)
		}
	}
	for _, c := range image.Clients {
		for _, s := range c.Outcomes {
			if s.Outcome == nil {
				return fmt.Errorf("the snapshot of the state lacks outcome %d of node %q", s.Seq, c.Node)
			}
		}
	}
	return nil
}

func (m *Machine) restore(image wire.Image) {
	m.now, m.token = image.Time, image.Token
	m.Space.Version, m.Space.Floor, m.Space.History = image.Version, image.Floor, image.History
	for _, item := range image.Items {
		m.Space.Items[item.Key] = item
	}
	m.Space.recount()
	for _, r := range image.Results {
		m.Space.IDs = append(m.Space.IDs, r.ID)
		m.Space.Results[r.ID] = *r.Changed
	}
	for _, c := range image.Clients {
		cl := newClient(c.Node, c.Incarnation)
		cl.live, cl.floor = c.Live, c.Floor
		for _, s := range c.Outcomes {
			cl.outcomes[s.Seq] = *s.Outcome
		}
		m.clients[c.Node] = cl
	}
	for _, in := range image.Intents {
		key := intentKey{in.Account, in.Service, in.Key}
		m.intents[key] = &in
		u := m.usage(in.Account)
		u.records++
		u.bytes += answerBytes(in.Answer)
		if cl := m.clients[in.Node]; in.State == StateRunning && cl != nil && cl.live && cl.incarnation == in.Incarnation {
			cl.running[key] = true
		}
	}
	for _, t := range image.Tombstones {
		m.tombstones[tombKey{t.Account, t.Hash}] = t.Expires
		m.usage(t.Account).tombstones++
	}
	for _, l := range image.Leases {
		m.leases[l.Name] = l
	}
}
