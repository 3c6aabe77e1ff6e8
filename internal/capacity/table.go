package capacity

import (
	"fmt"
	"strings"
)

// Plan holds all tables for one size.
type Plan struct {
	Size       Size          `json:"size"`
	Slopes     []FittedSlope `json:"slopes"`
	Roles      []Role        `json:"roles"`
	Control    Control       `json:"control"`
	EventCosts []EventCost   `json:"hours"`
}

// FittedSlope is a slope with its fitted line.
type FittedSlope struct {
	Name string  `json:"name"`
	Unit string  `json:"unit"`
	Per  string  `json:"per"`
	Step float64 `json:"step"`
	Base float64 `json:"base"`
	// Ratio is Step divided by the Step of the slope reference.cpu; zero if the unit is
	// not ns.
	Ratio   float64 `json:"ratio"`
	Command string  `json:"command"`
}

// referenceSlope is the slope of BenchmarkReference, which times are compared with.
const referenceSlope = "reference.cpu"

// NewPlan calculates the tables for a size. It returns an error that lists the missing
// slopes if there are any.
func NewPlan(s Slopes, z Size) (Plan, error) {
	m := newModel(s, z)
	p := Plan{Size: z, Control: m.controlVMs(), EventCosts: m.eventCosts()}
	node := Role{Name: "Entry node and owner together", Budget: &NodeBudget}
	entry, owner := m.entryNode(), m.owner()
	for _, r := range []Role{entry, owner} {
		total := r.Total()
		total.Mechanism = r.Name
		node.Rows = append(node.Rows, total)
	}
	p.Roles = []Role{entry, owner, node, m.optimizedNode(), m.leader(), m.follower(), m.fleetController(), m.operatorsAPI(), m.dataPath()}
	referenceTime := m.costPerStep(referenceSlope)
	for _, slope := range s.Slopes {
		step, base := slope.Fit()
		f := FittedSlope{Name: slope.Name, Unit: slope.Unit, Per: slope.Per, Step: step, Base: base, Command: slope.Command}
		if slope.Unit == "ns" {
			f.Ratio = step / referenceTime
		}
		p.Slopes = append(p.Slopes, f)
	}
	return p, m.err()
}

// Markdown returns the tables in order, each with its heading. The slopes and their
// commands do not depend on the size; they come first and only for the full size.
func (p Plan) Markdown() []string {
	var out []string
	if p.Size.Name == FullSize.Name {
		out = append(out, p.slopeTable(), p.commandTable())
	}
	for _, r := range p.Roles {
		out = append(out, r.table(p.Size.Name))
	}
	return append(out, p.controlTable(), p.eventCostTable())
}

func markdownTable(title string, header []string, rows [][]string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "**%s**\n\n| %s |\n|%s\n", title, strings.Join(header, " | "), strings.Repeat(" --- |", len(header)))
	for _, row := range rows {
		fmt.Fprintf(&b, "| %s |\n", strings.Join(row, " | "))
	}
	return b.String()
}

func (p Plan) slopeTable() string {
	var rows [][]string
	for _, f := range p.Slopes {
		ratio := ""
		if f.Ratio > 0 {
			ratio = formatNumber(f.Ratio)
		}
		rows = append(rows, []string{f.Name, formatNumber(f.Step) + " " + f.Unit, formatNumber(f.Base) + " " + f.Unit, ratio, f.Per})
	}
	return markdownTable("Slopes", []string{"slope", "one step", "at zero", "ratio to reference.cpu", "step"}, rows)
}

// commandTable lists the command that repeats the measurement of each slope.
func (p Plan) commandTable() string {
	var rows [][]string
	for _, f := range p.Slopes {
		command := "`" + f.Command + "`"
		if last := len(rows) - 1; last >= 0 && rows[last][1] == command {
			rows[last][0] += ", " + f.Name
			continue
		}
		rows = append(rows, []string{f.Name, command})
	}
	return markdownTable("Commands that repeat the slopes", []string{"slopes", "command, from the root of the repository"}, rows)
}

func (r Role) table(size string) string {
	var rows [][]string
	for _, row := range append(r.Rows[:len(r.Rows):len(r.Rows)], r.Total()) {
		rows = append(rows, []string{
			row.Mechanism, row.Arithmetic, formatBytes(row.State), formatNumber(row.Messages), formatBytes(row.In), formatBytes(row.Out), formatPercent(row.Core), strings.Join(row.Slopes, ", "),
		})
	}
	if b := r.Budget; b != nil {
		t := r.Total()
		rows = append(rows, []string{"budget", "", formatBytes(b.Memory), "", formatBytes(b.Network), formatBytes(b.Network), formatPercent(b.Core), ""})
		rows = append(rows, []string{"against the budget", "", compareToBudget(t.State, b.Memory), "", compareToBudget(t.In, b.Network), compareToBudget(t.Out, b.Network), compareToBudget(t.Core, b.Core), ""})
	}
	return markdownTable(r.Name+" ("+size+" size)", []string{"mechanism", "arithmetic", "state", "messages/s", "in/s", "out/s", "of a core", "slopes"}, rows)
}

func (p Plan) controlTable() string {
	c := p.Control
	return markdownTable("VMs set aside for control ("+p.Size.Name+" size)", []string{"what", "value"}, [][]string{
		{"cores, all voters and the fleet controller", formatNumber(c.Core)},
		{"groups that keep each leader under half a core", formatNumber(c.ConsensusGroups)},
		{"VMs of 4 cores, half used", formatNumber(c.VMs)},
		{"VMs allowed", formatNumber(c.AllowedVMs) + ", " + compareToBudget(c.VMs, c.AllowedVMs)},
		{"memory of all voters", formatBytes(c.Memory)},
		{"memory of each when all VMs allowed share it", formatBytes(c.MemoryPerVM)},
		{"log saves under load, 16 commands each", formatNumber(c.LogSaves) + "/s, " + formatPercent(c.LogSaveTime) + " of the time"},
		{"log written by one voter in a day", formatBytes(c.DiskPerDay)},
	})
}

func (p Plan) eventCostTable() string {
	var rows [][]string
	for _, c := range p.EventCosts {
		rows = append(rows, []string{c.Event, c.Work, c.Arithmetic, formatBytes(c.Bytes), formatNumber(c.LinkTime) + " s", formatNumber(c.ProcessorTime) + " s", strings.Join(c.Slopes, ", ")})
	}
	return markdownTable("Worst hours ("+p.Size.Name+" size)", []string{"event", "what", "arithmetic", "bytes", "on 1 Gbit/s", "processor time", "slopes"}, rows)
}

// compareToBudget describes a value relative to its budget.
func compareToBudget(value, budget float64) string {
	if value > budget {
		return "**over, × " + formatNumber(value/budget) + "**"
	}
	return "within, " + formatPercent(value/budget)
}

func formatPercent(share float64) string { return formatNumber(100*share) + "%" }

// formatNumber formats a number with three significant digits.
func formatNumber(v float64) string {
	switch {
	case v == 0:
		return "0"
	case v >= 1000 || v <= -1000:
		return fmt.Sprintf("%.0f", v)
	default:
		return fmt.Sprintf("%.3g", v)
	}
}

// formatBytes formats a number of bytes with a decimal unit.
func formatBytes(v float64) string {
	units := []string{"B", "KB", "MB", "GB", "TB"}
	i := 0
	for v >= 1000 && i < len(units)-1 {
		v /= 1000
		i++
	}
	return formatNumber(v) + " " + units[i]
}
