package cell

import (
	"time"

	"github.com/jaystage/jaystage/pkg/routing"
	"github.com/jaystage/jaystage/pkg/wire"
)

func demandToWire(d routing.Demand) wire.SlotDemand {
	return wire.SlotDemand{
		Upstream: d.Upstream, Node: d.Node, Incarnation: d.Incarnation, Sequence: d.Sequence, Epoch: d.Epoch,
		Running: uint64(d.Running), Low: uint64(d.Low), Want: uint64(d.Want), Prefill: uint64(d.Prefill), Alone: d.Alone,
		Start: d.Start, Applied: d.Applied, Echo: uint64(d.Echo),
		Generation: d.Evidence.Generation, Good: uint64(d.Evidence.Good), Slow: uint64(d.Evidence.Slow), Cold: d.Evidence.Cold,
		Hint: wire.SlotHint{
			Epoch: d.Hint.Epoch, Number: d.Hint.Number, Incarnation: d.Hint.Incarnation, Limit: uint64(d.Hint.Limit), Cold: d.Hint.Cold,
		},
	}
}

func demandFromWire(d wire.SlotDemand) routing.Demand {
	return routing.Demand{
		Upstream: d.Upstream, Node: d.Node, Incarnation: d.Incarnation, Sequence: d.Sequence, Epoch: d.Epoch,
		Running: int(d.Running), Low: int(d.Low), Want: int(d.Want), Prefill: int(d.Prefill), Alone: d.Alone,
		Start: d.Start, Applied: d.Applied, Echo: time.Duration(d.Echo),
		Evidence: routing.Evidence{Generation: d.Generation, Good: int(d.Good), Slow: int(d.Slow), Cold: d.Cold},
		Hint: routing.Hint{
			Epoch: d.Hint.Epoch, Number: d.Hint.Number, Incarnation: d.Hint.Incarnation, Limit: int(d.Hint.Limit), Cold: d.Hint.Cold,
		},
	}
}

func grantToWire(g routing.Grant) wire.SlotGrant {
	return wire.SlotGrant{
		Upstream: g.Upstream, To: g.To, Owner: g.Owner, Start: g.Start, Epoch: g.Epoch, Number: g.Number,
		Sequence: g.Sequence, Life: uint64(g.TTL), Slots: uint64(g.Slots), Alone: g.Alone, Stamp: uint64(g.Stamp), Ask: g.Ask,
		Incarnation: g.Incarnation, Limit: uint64(g.Limit), Generation: g.Generation, Prefill: uint64(g.Prefill),
	}
}

func grantFromWire(g wire.SlotGrant) routing.Grant {
	return routing.Grant{
		Upstream: g.Upstream, To: g.To, Owner: g.Owner, Start: g.Start, Epoch: g.Epoch, Number: g.Number,
		Sequence: g.Sequence, TTL: time.Duration(g.Life), Slots: int(g.Slots), Alone: g.Alone, Stamp: time.Duration(g.Stamp), Ask: g.Ask,
		Incarnation: g.Incarnation, Limit: int(g.Limit), Generation: g.Generation, Prefill: int(g.Prefill),
	}
}

func suspectToWire(s routing.Suspect) wire.Suspect {
	crashed := make([]wire.Crash, 0, len(s.Crashed))
	for _, c := range s.Crashed {
		crashed = append(crashed, wire.Crash{Upstream: c.Upstream, Incarnation: c.Incarnation, Alone: c.Alone})
	}
	return wire.Suspect{Fingerprint: uint64(s.Fingerprint), Crashed: crashed, Age: uint64(s.Age)}
}

func suspectFromWire(s wire.Suspect) routing.Suspect {
	crashed := make([]routing.Crash, 0, len(s.Crashed))
	for _, c := range s.Crashed {
		crashed = append(crashed, routing.Crash{Upstream: c.Upstream, Incarnation: c.Incarnation, Alone: c.Alone})
	}
	return routing.Suspect{Fingerprint: routing.Fingerprint(s.Fingerprint), Crashed: crashed, Age: time.Duration(s.Age)}
}
