package caller

import (
	"strconv"
	"testing"
	"time"

	"github.com/jaystage/jaystage/internal/upstream"
	"github.com/jaystage/jaystage/pkg/routing"
	"github.com/jaystage/jaystage/pkg/wire"
)

// nodePair is two nodes of a cell; settle delivers the messages between them.
type nodePair struct {
	owner, nonOwner *Slots
	now             time.Time
	messages        []func()
	entry           upstream.Entry
}

// newNodePair returns two nodes and an upstream that the first node owns, with an
// estimated limit of 16.
func newNodePair(t *testing.T) *nodePair {
	t.Helper()
	p := &nodePair{now: time.Now()}
	view := routing.View{Version: 1, Nodes: []routing.Node{{Name: "n1", Incarnation: 1}, {Name: "n2", Incarnation: 1}}}
	policy := routing.DefaultPolicy()
	policy.ReportLag = 0
	p.owner, p.nonOwner = NewSlots(p.now, view.Nodes[0], policy), NewSlots(p.now, view.Nodes[1], policy)
	byName := map[string]*Slots{"n1": p.owner, "n2": p.nonOwner}
	for _, s := range byName {
		s.SendDemand = func(to string, d routing.Demand) {
			p.messages = append(p.messages, func() { byName[to].HandleDemand(p.now, d) })
		}
		s.SendGrant = func(to string, g routing.Grant) {
			p.messages = append(p.messages, func() { byName[to].ApplyGrant(p.now, g) })
		}
	}
	id := "u0"
	for i := 1; view.Owner(id) != "n1"; i++ {
		id = "u" + strconv.Itoa(i)
	}
	p.entry = upstream.Entry{Announce: wire.Announce{ID: id, Incarnation: 1, Sequence: 1, Ready: true, Limit: 16}}
	for _, s := range byName {
		s.Renew(p.now, view, p.now.Add(routing.SessionTTL))
		s.HandleAnnounce(p.now, p.entry, 16)
	}
	p.settle()
	return p
}

// settle simulates one second, during which all messages are delivered.
func (p *nodePair) settle() {
	for range 50 {
		p.now = p.now.Add(20 * time.Millisecond)
		for _, s := range []*Slots{p.owner, p.nonOwner} {
			s.Renew(p.now, s.view, p.now.Add(routing.SessionTTL))
			s.Tick(p.now)
		}
		for len(p.messages) > 0 {
			deliver := p.messages[0]
			p.messages = p.messages[1:]
			deliver()
		}
		p.entry.Sequence++
		p.owner.HandleAnnounce(p.now, p.entry, 16)
	}
}

func TestNonOwnerCapacity(t *testing.T) {
	t.Run("capacity reaches the share of the estimated limit", func(t *testing.T) {
		p := newNodePair(t)
		p.nonOwner.reportQueued(p.now, []upstream.Entry{p.entry}, 1)
		p.settle()
		if got, want := p.nonOwner.capacity(p.now, []upstream.Entry{p.entry}, 2), 8; got < want {
			t.Errorf("capacity: got %d, want at least its share of the estimated limit, %d", got, want)
		}
	})
	t.Run("capacity includes the unused share of an idle node", func(t *testing.T) {
		p := newNodePair(t)
		p.nonOwner.reportQueued(p.now, []upstream.Entry{p.entry}, 16)
		p.settle()
		if got, want := p.nonOwner.capacity(p.now, []upstream.Entry{p.entry}, 2), 16; got != want {
			t.Errorf("capacity with 16 waiting and the other node idle: got %d, want %d", got, want)
		}
	})
}
