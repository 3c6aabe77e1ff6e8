package capacity

import (
	"fmt"
	"strings"
)

// Plan holds all tables for one size.
type Plan struct {
	Size    Size    `json:"size"`
	Slopes  []Fit   `json:"slopes"`
	Roles   []Role  `json:"roles"`
	Control Control `json:"control"`
	Hours   []Hour  `json:"hours"`
}

// Fit is a slope with its line.
type Fit struct {
	Name string  `json:"name"`
	Unit string  `json:"unit"`
	Per  string  `json:"per"`
	Step float64 `json:"step"`
	Base float64 `json:"base"`
	// Ratio is Step in units of the reference operation; zero unless a time.
	Ratio   float64 `json:"ratio"`
	Command string  `json:"command"`
}

// reference is the slope that times are compared with.
const reference = "reference.cpu"

// Make works out the tables for a size. The error lists the slopes that are missing.
func Make(s Slopes, z Size) (Plan, error) {
	m := newModel(s, z)
	p := Plan{Size: z, Control: m.control(), Hours: m.hours()}
	node := Role{Name: "Entry node and owner together", Budget: &NodeBudget}
	entry, owner := m.entry(), m.owner()
	for _, r := range []Role{entry, owner} {
		total := r.Total()
		total.Mechanism = r.Name
		node.Rows = append(node.Rows, total)
	}
	p.Roles = []Role{entry, owner, node, m.reduced(), m.leader(), m.follower(), m.controller(), m.operators(), m.data()}
	unit := m.per(reference)
	for _, slope := range s.Slopes {
		step, base := slope.Fit()
		f := Fit{Name: slope.Name, Unit: slope.Unit, Per: slope.Per, Step: step, Base: base, Command: slope.Command}
		if slope.Unit == "ns" {
			f.Ratio = step / unit
		}
		p.Slopes = append(p.Slopes, f)
	}
	return p, m.err()
}

// Markdown returns the tables one by one, each under its heading. The slopes and their
// commands, which do not depend on the size, come first and only at the full size.
func (p Plan) Markdown() []string {
	var out []string
	if p.Size.Name == FullSize.Name {
		out = append(out, p.slopeTable(), p.commandTable())
	}
	for _, r := range p.Roles {
		out = append(out, r.table(p.Size.Name))
	}
	return append(out, p.controlTable(), p.hourTable())
}

func table(title string, header []string, rows [][]string) string {
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
			ratio = number(f.Ratio)
		}
		rows = append(rows, []string{f.Name, number(f.Step) + " " + f.Unit, number(f.Base) + " " + f.Unit, ratio, f.Per})
	}
	return table("Slopes", []string{"slope", "one step", "at zero", "ratio to reference.cpu", "step"}, rows)
}

// commandTable names the command that repeats each slope.
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
	return table("Commands that repeat the slopes", []string{"slopes", "command, from the root of the repository"}, rows)
}

func (r Role) table(size string) string {
	var rows [][]string
	for _, row := range append(r.Rows[:len(r.Rows):len(r.Rows)], r.Total()) {
		rows = append(rows, []string{
			row.Mechanism, row.Sum, bytes(row.State), number(row.Messages), bytes(row.In), bytes(row.Out), percent(row.Core), strings.Join(row.Slopes, ", "),
		})
	}
	if b := r.Budget; b != nil {
		t := r.Total()
		rows = append(rows, []string{"budget", "", bytes(b.Memory), "", bytes(b.Network), bytes(b.Network), percent(b.Core), ""})
		rows = append(rows, []string{"against the budget", "", against(t.State, b.Memory), "", against(t.In, b.Network), against(t.Out, b.Network), against(t.Core, b.Core), ""})
	}
	return table(r.Name+" ("+size+" size)", []string{"mechanism", "arithmetic", "state", "messages/s", "in/s", "out/s", "of a core", "slopes"}, rows)
}

func (p Plan) controlTable() string {
	c := p.Control
	return table("VMs set aside for control ("+p.Size.Name+" size)", []string{"what", "value"}, [][]string{
		{"cores, all voters and the fleet controller", number(c.Core)},
		{"groups that keep each leader under half a core", number(c.Groups)},
		{"VMs of 4 cores, half used", number(c.VMs)},
		{"VMs allowed", number(c.Allowed) + ", " + against(c.VMs, c.Allowed)},
		{"memory of all voters", bytes(c.Memory)},
		{"memory of each when all VMs allowed share it", bytes(c.MemoryPerVM)},
		{"log saves under load, 16 commands each", number(c.Saves) + "/s, " + percent(c.SaveTime) + " of the time"},
		{"log written by one voter in a day", bytes(c.Disk)},
	})
}

func (p Plan) hourTable() string {
	var rows [][]string
	for _, h := range p.Hours {
		rows = append(rows, []string{h.Event, h.What, h.Sum, bytes(h.Bytes), number(h.Link) + " s", number(h.Core) + " s", strings.Join(h.Slopes, ", ")})
	}
	return table("Worst hours ("+p.Size.Name+" size)", []string{"event", "what", "arithmetic", "bytes", "on 1 Gbit/s", "processor time", "slopes"}, rows)
}

// against compares a value with its budget.
func against(value, budget float64) string {
	if value > budget {
		return "**over, × " + number(value/budget) + "**"
	}
	return "within, " + percent(value/budget)
}

func percent(share float64) string { return number(100*share) + "%" }

// number prints three significant digits.
func number(v float64) string {
	switch {
	case v == 0:
		return "0"
	case v >= 1000 || v <= -1000:
		return fmt.Sprintf("%.0f", v)
	default:
		return fmt.Sprintf("%.3g", v)
	}
}

// bytes prints an amount with its unit.
func bytes(v float64) string {
	units := []string{"B", "KB", "MB", "GB", "TB"}
	i := 0
	for v >= 1000 && i < len(units)-1 {
		v /= 1000
		i++
	}
	return number(v) + " " + units[i]
}
