// Package replica runs the replicated state on a node and gives the rest of the
// node its view of it.
package replica

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/pkg/state"
	"github.com/jaystage/jaystage/pkg/wire"
)

// Single is the state of a node that is the only voter and keeps nothing on
// disk.
type Single struct {
	mu    sync.Mutex
	space *state.Space
	view  *config.View
}

// NewSingle returns an empty store.
func NewSingle() *Single {
	view, _ := config.NewView(0, nil)
	return &Single{space: state.NewSpace(), view: view}
}

// Change runs one change of the key space.
func (s *Single) Change(_ context.Context, c wire.Change) (wire.Changed, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := s.space.Apply(c)
	view, err := config.NewView(s.space.Version, maps.Clone(s.space.Items))
	if err != nil {
		return result, err
	}
	s.view = view
	return result, nil
}

// View returns the present view. It is false once the node's session lease has
// run out; a single voter's lease never does.
func (s *Single) View(time.Time) (*config.View, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view, true
}
