package traffic

import "strings"

// Warnings returns the entries of the plan that have no effect and the limits that contradict each
// other. A server accepts a plan with warnings.
func (p *Plan) Warnings() (list []Finding) {
	report := findings{&list, Finding{Severity: Doubtful}}
	used := make(map[string]bool)
	for i, r := range p.Routes {
		f := report.in(InRoutes, i, r.Name)
		r.warnUnmatched(f)
		r.warnAttempts(f)
		r.warnTargets(f)
		for _, w := range r.Split {
			if w.Weight == 0 {
				f.add("Split", "remove the entry, or give it a weight above 0", "service %q gets no requests of the route, as its weight is 0", w.Service)
			}
			used[w.Service] = used[w.Service] || w.Weight > 0
		}
	}
	for i, s := range p.Services {
		s.warn(used[s.Name], report.in(InServices, i, s.Name))
	}
	names := make(map[string]bool)
	for i, a := range p.Accounts {
		f := report.in(InAccounts, i, a.Name)
		if names[a.Name] && a.Name != "" {
			f.add("Name", "merge the accounts, or rename one of them", "an account before has the same name, so that they share one limit")
		}
		names[a.Name] = true
		a.warn(f)
	}
	if l := p.Limits; l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		report.in(InLimits, 0, "").add("HeaderTimeout", "lower it, or raise the timeout of idle connections",
			"a request's headers may take %v, longer than the %v after which a connection is idle", l.HeaderTimeout, l.IdleTimeout)
	}
	return list
}

// warnUnmatched reports a route that no request matches. Match removes the port of the host that
// a client sends, and compares the prefix with the path alone.
func (r Route) warnUnmatched(f findings) {
	if i := strings.LastIndexByte(r.Host, ':'); i >= 0 && !strings.Contains(r.Host[i:], "]") || strings.ContainsAny(r.Host, "/ ") {
		f.add("Host", "write the host alone, without scheme, port and path", "no request matches the host %q", r.Host)
	}
	if strings.ContainsAny(r.Prefix, "?# ") {
		f.add("Prefix", "write the path alone", "no request matches the prefix %q, as a path holds no query", r.Prefix)
	}
}

func (r Route) warnAttempts(f findings) {
	switch {
	case r.MaxAttempts > 1 && !r.Repeatable():
		f.add("MaxAttempts", "set it to 1 if no further attempt is wanted",
			"requests of the kind %s may not run twice, so a further attempt follows only one that has not run", r.Kind)
	case r.MaxAttempts == 1 && r.Kind == Stream && r.Resumable:
		f.add("MaxAttempts", "raise it to 2 or more", "streams may continue on another upstream, but one attempt leaves none for it")
	}
	if r.Resumable && r.Kind != Stream {
		f.add("Resumable", "remove it, or make the route one of streams", "it has no effect on requests of the kind %s", r.Kind)
	}
}

func (r Route) warnTargets(f findings) {
	if r.Timeout > 0 && r.TargetLatency > r.Timeout {
		f.add("Timeout", "raise the timeout, or lower the target", "requests end after %v, before their target latency of %v", r.Timeout, r.TargetLatency)
	}
	if r.Timeout > 0 && r.TargetGap > r.Timeout {
		f.add("TargetGap", "lower the target, or raise the timeout", "the target of %v between events is longer than the timeout of %v", r.TargetGap, r.Timeout)
	}
	if r.TargetGap > 0 && r.Kind != Stream {
		f.add("TargetGap", "remove it, or make the route one of streams", "it has no effect on requests of the kind %s", r.Kind)
	}
}

func (s Service) warn(used bool, f findings) {
	if !used {
		f.add("", "remove the service, or name it in a route", "no route sends requests to the service")
	}
	if c := s.Scaling; c != nil && c.Min > c.Max {
		f.add("Scaling", "raise the maximum, or lower the minimum", "at least %d upstreams are wanted, but at most %d allowed", c.Min, c.Max)
	}
	if e := s.Engine; e != nil && s.MaxConnections > 0 && e.Slots > s.MaxConnections {
		f.add("MaxConnections", "allow a connection for each slot", "%d connections cannot use %d slots", s.MaxConnections, e.Slots)
	}
	if s.MaxColdRate > 0 && s.ColdDuration <= 0 {
		f.add("MaxColdRate", "set how long an upstream is cold, or remove the rate", "it has no effect, as the service has no cold start")
	}
}

func (a Account) warn(f findings) {
	cost := 1.0
	if a.Tokens {
		cost = a.DefaultCost
	}
	if len(a.Keys) == 0 {
		f.add("Keys", "add a key, or remove the account", "nobody can use the account, as it has no key")
	}
	switch {
	case a.Rate > 0 && a.Burst == 0:
		f.add("Burst", "set a burst of at least one request's cost", "no request of the account is admitted, as its burst is 0")
	case a.Rate > 0 && a.Burst < cost:
		f.add("Burst", "raise it to at least the cost of one request", "a burst of %v is below the cost %v of one request", a.Burst, cost)
	case a.Rate == 0 && a.Burst > 0:
		f.add("Rate", "set a rate, or remove the burst", "the burst of %v has no effect, as an account without a rate has no limit", a.Burst)
	}
	if a.DefaultCost > 0 && !a.Tokens {
		f.add("DefaultCost", "count the account's limit in tokens, or remove it", "it has no effect, as the account's limit is counted in requests")
	}
}
