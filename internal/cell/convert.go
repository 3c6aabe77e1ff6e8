package cell

import (
	"time"

	"github.com/jaystage/jaystage/pkg/routing"
	"github.com/jaystage/jaystage/pkg/wire"
)

func demandToWire(d routing.Demand) wire.SlotDemand {
	return wire.SlotDemand{
		Upstream: d.Upstream, Node: d.Node, Incarnation: d.Incarnation, Sequence: d.Sequence, Epoch: d.Epoch,
		Running: uint64(d.Running), Low: uint64(d.MinRunning), Want: uint64(d.RequestedSlots), Prefill: uint64(d.PrefillTokens), Alone: d.Isolated,
		Start: d.OwnerIncarnation, Applied: d.Applied, Echo: uint64(d.Echo),
		Generation: d.Evidence.Generation, Good: uint64(d.Evidence.Good), Slow: uint64(d.Evidence.Slow), Cold: d.Evidence.Cold,
		Hint: wire.SlotHint{
			Epoch: d.Hint.Epoch, Number: d.Hint.Number, Incarnation: d.Hint.Incarnation, Limit: uint64(d.Hint.Limit), Cold: d.Hint.Cold,
		},
	}
}

func demandFromWire(d wire.SlotDemand) routing.Demand {
	return routing.Demand{
		Upstream: d.Upstream, Node: d.Node, Incarnation: d.Incarnation, Sequence: d.Sequence, Epoch: d.Epoch,
		Running: int(d.Running), MinRunning: int(d.Low), RequestedSlots: int(d.Want), PrefillTokens: int(d.Prefill), Isolated: d.Alone,
		OwnerIncarnation: d.Start, Applied: d.Applied, Echo: time.Duration(d.Echo),
		Evidence: routing.Evidence{Generation: d.Generation, Good: int(d.Good), Slow: int(d.Slow), Cold: d.Cold},
		Hint: routing.Hint{
			Epoch: d.Hint.Epoch, Number: d.Hint.Number, Incarnation: d.Hint.Incarnation, Limit: int(d.Hint.Limit), Cold: d.Hint.Cold,
		},
	}
}

func grantToWire(g routing.Grant) wire.SlotGrant {
	return wire.SlotGrant{
		Upstream: g.Upstream, To: g.To, Owner: g.Owner, Start: g.OwnerIncarnation, Epoch: g.Epoch, Number: g.Number,
		Sequence: g.Sequence, Life: uint64(g.TTL), Slots: uint64(g.Slots), Alone: g.Isolated, Stamp: uint64(g.Stamp), Ask: g.RequestReport,
		Incarnation: g.Incarnation, Limit: uint64(g.Limit), Generation: g.Generation, Prefill: uint64(g.PrefillTokens),
	}
}

func grantFromWire(g wire.SlotGrant) routing.Grant {
	return routing.Grant{
		Upstream: g.Upstream, To: g.To, Owner: g.Owner, OwnerIncarnation: g.Start, Epoch: g.Epoch, Number: g.Number,
		Sequence: g.Sequence, TTL: time.Duration(g.Life), Slots: int(g.Slots), Isolated: g.Alone, Stamp: time.Duration(g.Stamp), RequestReport: g.Ask,
		Incarnation: g.Incarnation, Limit: int(g.Limit), Generation: g.Generation, PrefillTokens: int(g.Prefill),
	}
}

func suspectToWire(s routing.Suspect) wire.Suspect {
	crashed := make([]wire.Crash, 0, len(s.Crashes))
	for _, c := range s.Crashes {
		crashed = append(crashed, wire.Crash{Upstream: c.Upstream, Incarnation: c.Incarnation, Alone: c.Isolated})
	}
	return wire.Suspect{Fingerprint: uint64(s.Fingerprint), Crashed: crashed, Age: uint64(s.Age)}
}

func suspectFromWire(s wire.Suspect) routing.Suspect {
	crashed := make([]routing.Crash, 0, len(s.Crashed))
	for _, c := range s.Crashed {
		crashed = append(crashed, routing.Crash{Upstream: c.Upstream, Incarnation: c.Incarnation, Isolated: c.Alone})
	}
	return routing.Suspect{Fingerprint: routing.Fingerprint(s.Fingerprint), Crashes: crashed, Age: time.Duration(s.Age)}
}
