package traffic

import (
	"errors"
	"fmt"
	"strings"
)

// Check returns an error that lists every reason why the plan is invalid, or nil.
func (p *Plan) Check() error {
	var problems []error
	report := func(format string, args ...any) { problems = append(problems, fmt.Errorf(format, args...)) }
	services := make(map[string]bool)
	for i, s := range p.Services {
		if s.Name == "" {
			report("service %d has no name", i)
		}
		if services[s.Name] {
			report("two services are named %q", s.Name)
		}
		services[s.Name] = true
	}
	namesByMatch := make(map[string]string)
	for i, r := range p.Routes {
		r.check(i, services, report)
		match := strings.ToLower(r.Host) + r.Prefix
		if other, taken := namesByMatch[match]; taken {
			report("routes %q and %q share the host and prefix %s", other, r.Name, match)
		}
		namesByMatch[match] = r.Name
	}
	accountsByKey := make(map[string]string)
	for i, a := range p.Accounts {
		if a.Name == "" {
			report("account %d has no name", i)
		}
		if a.Rate < 0 || a.Burst < 0 {
			report("account %q has a negative limit", a.Name)
		}
		for _, key := range a.Keys {
			if other, taken := accountsByKey[key]; taken && other != a.Name {
				report("accounts %q and %q share a key", other, a.Name)
			}
			accountsByKey[key] = a.Name
		}
	}
	return errors.Join(problems...)
}

func (r Route) check(i int, services map[string]bool, report func(string, ...any)) {
	name := r.Name
	if name == "" {
		name = fmt.Sprintf("number %d", i)
	}
	if r.Host == "" {
		report("route %s has no host", name)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		report("prefix %q of route %s does not begin and end with a slash", r.Prefix, name)
	}
	if r.Timeout <= 0 {
		report("route %s has no timeout", name)
	}
	if r.Kind != Lookup && r.Kind != Booking && r.Kind != Stream {
		report("route %s has the unknown kind %q", name, r.Kind)
	}
	total := 0
	for _, w := range r.Split {
		if w.Weight < 0 {
			report("route %s gives service %q a negative weight", name, w.Service)
		}
		if !services[w.Service] {
			report("route %s names the unknown service %q", name, w.Service)
		}
		total += w.Weight
	}
	if total <= 0 {
		report("the weights of route %s add up to 0", name)
	}
}
