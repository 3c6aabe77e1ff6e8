package plan

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jaystage/jaystage/internal/config"
	"github.com/jaystage/jaystage/internal/tomlfile"
	"github.com/jaystage/jaystage/pkg/fleet"
)

// sampleInterval is the time between two load samples of a pool in an inputs file.
const sampleInterval = time.Minute

// inputsFile is the TOML structure of an inputs file.
type inputsFile struct {
	Rules   rules    `toml:"rules"`
	Prices  []price  `toml:"price"`
	Pools   []pool   `toml:"pool"`
	VMs     []vm     `toml:"vm"`
	Drained []string `toml:"drained"`
}

type rules struct {
	Headroom       float64         `toml:"headroom"`
	ForecastMargin float64         `toml:"margin"`
	OnDemandShare  float64         `toml:"on_demand"`
	ScaleInWindow  config.Duration `toml:"hold"`
	MinAge         config.Duration `toml:"min_age"`
	StoreRate      float64         `toml:"store_rate"`
}

type price struct {
	Class       string `toml:"class"`
	Domain      string `toml:"domain"`
	Reclaimable bool   `toml:"reclaimable"`
	// PerHour is the price per hour, ReclaimRate the expected number of reclaims per VM
	// and hour.
	PerHour     float64 `toml:"hour"`
	ReclaimRate float64 `toml:"reclaims"`
}

type pool struct {
	Name    string `toml:"name"`
	Service string `toml:"service"`
	Version string `toml:"version"`
	// Load holds samples one minute apart, the oldest first.
	Load []float64 `toml:"load"`
	// Capacity is the load that one VM of each class can serve.
	Capacity    []capacity      `toml:"capacity"`
	ColdStart   config.Duration `toml:"cold_start"`
	WeightBytes float64         `toml:"weights"`
}

type capacity struct {
	Class string  `toml:"class"`
	Load  float64 `toml:"load"`
}

type vm struct {
	Name         string  `toml:"name"`
	Pool         string  `toml:"pool"`
	Class        string  `toml:"class"`
	Domain       string  `toml:"domain"`
	Reclaimable  bool    `toml:"reclaimable"`
	State        string  `toml:"state"`
	PricePerHour float64 `toml:"hour"`
	// TimeToReclaim is the time until the VM is reclaimed; zero without a notice.
	TimeToReclaim config.Duration `toml:"reclaim"`
}

// loadInputs reads an inputs file and returns the inputs of a plan made at now.
func loadInputs(path string, now time.Time) (fleet.Inputs, error) {
	var f inputsFile
	d := tomlfile.Load(path)
	if d.Decode(&f) {
		f.check(d)
	}
	if err := d.Err(); err != nil {
		return fleet.Inputs{}, err
	}
	in := fleet.Inputs{
		Rules: fleet.Rules{
			Headroom: f.Rules.Headroom, ForecastMargin: f.Rules.ForecastMargin, OnDemandShare: f.Rules.OnDemandShare,
			ScaleInWindow: f.Rules.ScaleInWindow.Std(), MinAge: f.Rules.MinAge.Std(), StoreRate: f.Rules.StoreRate,
		},
		Drained: make(map[string]bool),
		// fleet.Plan makes orders only under a valid lease. The command prints the orders
		// and submits none.
		Lease: &fleet.Lease{Token: 1, Expires: now.Add(time.Hour)},
		Rand:  rand.New(rand.NewPCG(1, 1)),
	}
	for _, p := range f.Prices {
		in.Prices = append(in.Prices, fleet.Price{Offer: fleet.Offer{Class: p.Class, Domain: p.Domain, Reclaimable: p.Reclaimable}, PerHour: p.PerHour, ReclaimRate: p.ReclaimRate})
	}
	for _, p := range f.Pools {
		in.Pools = append(in.Pools, p.toFleet(now))
	}
	for _, v := range f.VMs {
		in.VMs = append(in.VMs, v.toFleet(now))
	}
	for _, name := range f.Drained {
		in.Drained[name] = true
	}
	return in, nil
}

func (f inputsFile) check(d *tomlfile.Document) {
	if len(f.Prices) == 0 {
		d.Report("price", "is missing; list the VM classes that the platform offers")
	}
	if len(f.Pools) == 0 {
		d.Report("pool", "is missing; list the pools to plan")
	}
	for i, p := range f.Prices {
		if p.PerHour <= 0 {
			d.Report(fmt.Sprintf("price[%d].hour", i), "must be above 0")
		}
	}
	for _, p := range f.Pools {
		if len(p.Load) == 0 || len(p.Capacity) == 0 {
			d.Report(fmt.Sprintf("pool[%s]", p.Name), "needs load samples and the capacity of at least one class")
		}
	}
}

func (p pool) toFleet(now time.Time) fleet.Pool {
	out := fleet.Pool{
		Name: p.Name, Service: p.Service, Version: p.Version, Capacity: make(map[string]float64),
		ColdStart: p.ColdStart.Std(), WeightBytes: p.WeightBytes,
	}
	for i, l := range p.Load {
		out.Samples = append(out.Samples, fleet.Sample{Time: now.Add(-time.Duration(len(p.Load)-1-i) * sampleInterval), Load: l})
	}
	for _, c := range p.Capacity {
		out.Capacity[c.Class] = c.Load
	}
	return out
}

// toFleet converts a VM of the inputs file. The file has no start times, so every VM
// counts as started one hour ago.
func (v vm) toFleet(now time.Time) fleet.VM {
	out := fleet.VM{
		ID: v.Name, Pool: v.Pool, Offer: fleet.Offer{Class: v.Class, Domain: v.Domain, Reclaimable: v.Reclaimable},
		State: fleet.State(v.State), Since: now.Add(-time.Hour), PricePerHour: v.PricePerHour,
	}
	if v.TimeToReclaim > 0 {
		out.ReclaimAt = now.Add(v.TimeToReclaim.Std())
	}
	return out
}
