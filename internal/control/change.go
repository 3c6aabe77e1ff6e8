package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/sirupsen/logrus"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/event"
	"github.com/jaystage/jaystage/pkg/wire"
)

// ErrOvertaken is returned for a change whose entry another writer has changed after the
// state that the change was decided on. Nothing was written.
var ErrOvertaken = errors.New("another change came first; send the order again if it still applies")

// authorOperator is the author of changes that an operator orders.
const authorOperator = "operator"

// change records entries that were decided on the given view. It returns ErrOvertaken if one
// of them has changed since: a command may reach the log long after its view was read.
func (c *Control) change(ctx context.Context, view *config.View, author string, items ...wire.Item) error {
	changed, err := c.State.Change(ctx, wire.Change{Base: view.Version, Author: author, Items: items})
	if err != nil {
		return err
	}
	if len(changed.Conflict) > 0 {
		return fmt.Errorf("%w: %s changed in version %d, after %d", ErrOvertaken, changed.Conflict[0].Key, changed.Conflict[0].Version, view.Version)
	}
	for _, item := range items {
		event.With(c.Log, event.EntryRecorded).WithFields(logrus.Fields{"key": item.Key, "version": changed.Version}).Info("entry recorded")
	}
	return nil
}

// put records the value of one entry that was decided on the given view.
func (c *Control) put(ctx context.Context, view *config.View, key string, value any) error {
	item, err := encodeItem(key, value)
	if err != nil {
		return err
	}
	return c.change(ctx, view, c.Self, item)
}

func encodeItem(key string, value any) (wire.Item, error) {
	data, err := json.Marshal(value)
	return wire.Item{Key: key, Value: data}, err
}

// decision returns the entry with which an order takes effect on the view, and false if there
// is nothing to write.
type decision func(view *config.View) (item wire.Item, due bool, err error)

// execute carries out an order, first on the given view. While another writer is first, it
// decides again on a view that contains that change.
func (c *Control) execute(ctx context.Context, view *config.View, author string, decide decision) error {
	for {
		item, due, err := decide(view)
		if err != nil || !due {
			return err
		}
		if err = c.change(ctx, view, author, item); !errors.Is(err, ErrOvertaken) {
			return err
		}
		if view, err = c.State.Current(ctx); err != nil {
			return err
		}
	}
}

// executeOrder carries out an operator's order on the current state.
func (c *Control) executeOrder(ctx context.Context, decide decision) error {
	view, err := c.State.Current(ctx)
	if err != nil {
		return err
	}
	return c.execute(ctx, view, authorOperator, decide)
}
