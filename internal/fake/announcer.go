// Package fake provides stand-ins for the external systems that jaystage talks to:
// model engines, a booking service and the cloud platform. Tests, the demo and the
// load measurements use them.
package fake

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jaystage/jaystage/pkg/wire"
)

const (
	announceTimeout    = time.Second
	announceRetryDelay = 500 * time.Millisecond
)

// Announcer announces one upstream to the nodes until its context is done, then
// sends a final announcement that the upstream is leaving.
type Announcer struct {
	// Nodes holds the addresses of the nodes' upstream listeners. The announcer
	// switches to the owner named in a reply, and to the next address of the list
	// when an announcement fails.
	Nodes []string
	// Token is the bearer token for announcements.
	Token string
	HTTP  *http.Client
	// State returns the announcement to send; the announcer sets its sequence number.
	State func() wire.Announce
}

// Run starts announcing in the background until ctx is done. The returned channel is
// closed after the final announcement.
func (a *Announcer) Run(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		var sequence uint64
		node, next := a.Nodes[0], 1
		for ctx.Err() == nil {
			sequence++
			wait := announceRetryDelay
			if reply, err := a.send(ctx, node, sequence, false); err == nil {
				wait = time.Duration(reply.Interval) * time.Millisecond
				node = cmp.Or(reply.Owner, node)
			} else {
				node = a.Nodes[next%len(a.Nodes)]
				next++
			}
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
		}
		lastCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), announceTimeout)
		defer cancel()
		_, _ = a.send(lastCtx, node, sequence+1, true)
	}()
	return done
}

func (a *Announcer) send(ctx context.Context, node string, sequence uint64, leaving bool) (wire.Announced, error) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	state := a.State()
	state.Sequence = sequence
	state.Leaving = state.Leaving || leaving
	var reply wire.Announced
	body, err := json.Marshal(state)
	if err != nil {
		return reply, eris.Wrap(err, "encode announcement")
	}
	url := "http://" + node + "/v1/announce"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return reply, eris.Wrap(err, "announce")
	}
	req.Header.Set("Authorization", "Bearer "+a.Token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.HTTP.Do(req)
	if err != nil {
		return reply, eris.Wrap(err, "announce")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return reply, eris.Errorf("node returned %s to the announcement", resp.Status)
	}
	return reply, eris.Wrap(json.NewDecoder(resp.Body).Decode(&reply), "decode reply")
}
