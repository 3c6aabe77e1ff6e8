package traffic

import (
	"errors"
	"fmt"
	"strings"
)

// Severity tells what a finding means for a plan.
type Severity string

// Severities of findings.
const (
	// Invalid findings make the plan invalid; a server rejects it.
	Invalid Severity = "error"
	// Doubtful findings are entries without effect and limits that contradict each other.
	Doubtful Severity = "warning"
)

// Section is a part of a plan.
type Section string

// Sections of a plan.
const (
	InRoutes   Section = "routes"
	InServices Section = "services"
	InAccounts Section = "accounts"
	InLimits   Section = "limits"
)

// Finding is one thing that is wrong with a plan.
type Finding struct {
	Severity Severity
	// Section and Index are the place of the entry, and Name is its name, which may be empty.
	// Index is 0 in InLimits, which has one entry.
	Section Section
	Index   int
	Name    string
	// Field is the field of the entry's struct; empty if the whole entry is concerned.
	Field   string
	Problem string
	Remedy  string
}

// findings collects the findings of one entry.
type findings struct {
	list  *[]Finding
	entry Finding
}

// in returns findings of another entry of the same list.
func (f findings) in(section Section, index int, name string) findings {
	f.entry.Section, f.entry.Index, f.entry.Name = section, index, name
	return f
}

func (f findings) add(field, remedy, format string, args ...any) {
	found := f.entry
	found.Field, found.Remedy, found.Problem = field, remedy, fmt.Sprintf(format, args...)
	*f.list = append(*f.list, found)
}

// Check returns an error that lists every reason why the plan is invalid, or nil.
func (p *Plan) Check() error {
	var problems []error
	for _, f := range p.Errors() {
		problems = append(problems, errors.New(f.Problem))
	}
	return errors.Join(problems...)
}

// Errors returns every reason why the plan is invalid.
func (p *Plan) Errors() (list []Finding) {
	report := findings{&list, Finding{Severity: Invalid}}
	services := make(map[string]bool)
	for i, s := range p.Services {
		f := report.in(InServices, i, s.Name)
		if s.Name == "" {
			f.add("Name", "name the service", "service %d has no name", i)
		}
		if services[s.Name] {
			f.add("Name", "rename one of them", "two services are named %q", s.Name)
		}
		services[s.Name] = true
	}
	namesByMatch := make(map[string]string)
	for i, r := range p.Routes {
		f := report.in(InRoutes, i, r.Name)
		r.check(i, services, f)
		match := strings.ToLower(r.Host) + r.Prefix
		if other, taken := namesByMatch[match]; taken {
			f.add("Prefix", "remove one of them, or change its host or prefix", "routes %q and %q share the host and prefix %s", other, r.Name, match)
		}
		namesByMatch[match] = r.Name
	}
	accountsByKey := make(map[string]string)
	for i, a := range p.Accounts {
		f := report.in(InAccounts, i, a.Name)
		if a.Name == "" {
			f.add("Name", "name the account", "account %d has no name", i)
		}
		if a.Rate < 0 || a.Burst < 0 {
			f.add("Rate", "use 0 for an account without a limit", "account %q has a negative limit", a.Name)
		}
		for _, key := range a.Keys {
			if other, taken := accountsByKey[key]; taken && other != a.Name {
				f.add("Keys", "give each account a key of its own", "accounts %q and %q share a key", other, a.Name)
			}
			accountsByKey[key] = a.Name
		}
	}
	return list
}

func (r Route) check(i int, services map[string]bool, f findings) {
	name := r.Name
	if name == "" {
		name = fmt.Sprintf("number %d", i)
	}
	if r.Host == "" {
		f.add("Host", "name the host that clients send", "route %s has no host", name)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		f.add("Prefix", "write it like /name/", "prefix %q of route %s does not begin and end with a slash", r.Prefix, name)
	}
	if r.Timeout <= 0 {
		f.add("Timeout", "set a timeout above 0", "route %s has no timeout", name)
	}
	if r.Kind != Lookup && r.Kind != Booking && r.Kind != Stream {
		f.add("Kind", "use one of the known kinds", "route %s has the unknown kind %q", name, r.Kind)
	}
	total := 0
	for _, w := range r.Split {
		if w.Weight < 0 {
			f.add("Split", "use a weight of at least 0", "route %s gives service %q a negative weight", name, w.Service)
		}
		if !services[w.Service] {
			f.add("Split", "add the service, or name one that exists", "route %s names the unknown service %q", name, w.Service)
		}
		total += w.Weight
	}
	if total <= 0 {
		f.add("Split", "name a service with a weight above 0", "the weights of route %s add up to 0", name)
	}
}
