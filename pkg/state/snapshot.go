package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/jaystage/jaystage/pkg/wire"
)

const snapshotFormat = 1

// Snapshot returns the encoded state. Equal states have identical snapshots.
func (m *Machine) Snapshot() ([]byte, error) {
	image := wire.Image{
		Format: snapshotFormat, Version: m.Space.Version, Floor: m.Space.Floor, Time: m.latestTime, Token: m.lastToken,
		Items: m.Space.Since(0), History: m.Space.History,
	}
	for _, id := range m.Space.ResultIDs {
		changed := m.Space.Results[id]
		image.Results = append(image.Results, wire.Result{ID: id, Changed: &changed})
	}
	for _, name := range slices.Sorted(maps.Keys(m.sessions)) {
		image.Clients = append(image.Clients, m.sessions[name].toWire())
	}
	for _, intent := range m.intents {
		image.Intents = append(image.Intents, *intent)
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

func (s *nodeSession) toWire() wire.Client {
	image := wire.Client{Node: s.node, Incarnation: s.incarnation, Live: s.live, Floor: s.floor}
	for _, seq := range slices.Sorted(maps.Keys(s.outcomes)) {
		outcome := s.outcomes[seq]
		image.Outcomes = append(image.Outcomes, wire.Settled{Seq: seq, Outcome: &outcome})
	}
	return image
}

// Restore replaces the state with the contents of a snapshot. The machine is unchanged
// if Restore returns an error.
func (m *Machine) Restore(data []byte) error {
	var image wire.Image
	if err := wire.UnmarshalLarge(data, &image); err != nil {
		return fmt.Errorf("decode state snapshot: %w", err)
	}
	if image.Format != snapshotFormat {
		return fmt.Errorf("state snapshot has format %d, but this program reads format %d", image.Format, snapshotFormat)
	}
	if err := validateImage(image); err != nil {
		return err
	}
	next := New()
	next.mutations = m.mutations
	next.loadImage(image)
	*m = *next
	return nil
}

// validateImage checks that every change result and outcome in the snapshot has content.
// Snapshot always writes it, so a missing one means that the data is damaged.
func validateImage(image wire.Image) error {
	for _, r := range image.Results {
		if r.Changed == nil {
			return fmt.Errorf("state snapshot has no result for change %q", r.ID)
		}
	}
	for _, c := range image.Clients {
		for _, s := range c.Outcomes {
			if s.Outcome == nil {
				return fmt.Errorf("state snapshot has no outcome for sequence number %d of node %q", s.Seq, c.Node)
			}
		}
	}
	return nil
}

func (m *Machine) loadImage(image wire.Image) {
	m.latestTime, m.lastToken = image.Time, image.Token
	m.Space.Version, m.Space.Floor, m.Space.History = image.Version, image.Floor, image.History
	for _, item := range image.Items {
		m.Space.Items[item.Key] = item
	}
	m.Space.countDeleted()
	for _, r := range image.Results {
		m.Space.ResultIDs = append(m.Space.ResultIDs, r.ID)
		m.Space.Results[r.ID] = *r.Changed
	}
	for _, c := range image.Clients {
		session := newNodeSession(c.Node, c.Incarnation)
		session.live, session.floor = c.Live, c.Floor
		for _, s := range c.Outcomes {
			session.outcomes[s.Seq] = *s.Outcome
		}
		m.sessions[c.Node] = session
	}
	for _, intent := range image.Intents {
		key := intentKey{intent.Account, intent.Service, intent.Key}
		m.intents[key] = &intent
		u := m.accountUsage(intent.Account)
		u.records++
		u.bytes += answerBytes(intent.Answer)
		if session := m.sessions[intent.Node]; intent.State == StateRunning && session != nil && session.live && session.incarnation == intent.Incarnation {
			session.runningBookings[key] = true
		}
	}
	for _, t := range image.Tombstones {
		m.tombstones[tombstoneKey{t.Account, t.Hash}] = t.Expires
		m.accountUsage(t.Account).tombstones++
	}
	for _, l := range image.Leases {
		m.leases[l.Name] = l
	}
}
