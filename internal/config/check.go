package config

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
)

// reportFunc records a problem with the value at a key.
type reportFunc func(key, format string, args ...any)

// tokenHashBytes is the length of a SHA-256 sum.
const tokenHashBytes = 32

// check reports every invalid value.
func (s Site) check(report reportFunc) {
	if s.Name == "" {
		report("name", "is missing; name the site, such as name = \"lahore\"")
	}
	tokens := make(map[string]string)
	for _, a := range s.Accounts {
		key := fmt.Sprintf("account[%s]", a.Name)
		a.check(key, s, report)
		if other, taken := tokens[a.TokenHash]; taken {
			report(key+".token", "is also the token of account %q; each account needs its own", other)
		}
		tokens[a.TokenHash] = a.Name
	}
	for _, d := range s.Domains {
		key := fmt.Sprintf("domain[%s]", d.Name)
		checkName(key, d.Name, report)
		if d.Delay < 0 {
			report(key+".delay", "must not be negative")
		}
	}
	models := make(map[string]string)
	for _, service := range s.Services {
		key := fmt.Sprintf("service[%s]", service.Name)
		service.check(key, report)
		for _, m := range service.Models {
			if other, taken := models[m]; taken {
				report(key+".models", "the model %q also belongs to service %q; a model name must belong to only one service", m, other)
			}
			models[m] = service.Name
		}
	}
}

func checkName(key, name string, report reportFunc) {
	if name == "" {
		report(key+".name", "is missing")
	}
	if strings.ContainsAny(name, "/ \t\n?#%") {
		report(key+".name", "%q contains a character that is not allowed in names (space, /, ?, #, %%)", name)
	}
}

func (a Account) check(key string, s Site, report reportFunc) {
	checkName(key, a.Name, report)
	if sum, err := hex.DecodeString(a.TokenHash); err != nil || len(sum) != tokenHashBytes {
		report(key+".token", "must be the SHA-256 of the bearer token, 64 hexadecimal digits: printf %%s TOKEN | sha256sum")
	}
	if a.Weight <= 0 {
		report(key+".weight", "must be above 0; 1 is usual")
	}
	if a.Concurrency < 0 {
		report(key+".concurrency", "must not be negative; 0 means no limit")
	}
	if a.Class != "" && !slices.ContainsFunc(s.Services, func(service Service) bool { _, ok := service.Class(a.Class); return ok }) {
		report(key+".class", "no service has the class %q", a.Class)
	}
}

func (s Service) check(key string, report reportFunc) {
	checkName(key, s.Name, report)
	switch s.Kind {
	case KindModel:
		if len(s.Models) == 0 {
			report(key+".models", "is missing; list the model names by which callers address the service")
		}
		if len(s.Routes) > 0 {
			report(key+".route", "a model service has no routes")
		}
	case KindPlain:
		if len(s.Routes) == 0 {
			report(key+".route", "is missing; a plain service needs at least one route")
		}
		if len(s.Models) > 0 {
			report(key+".models", "a plain service has no models")
		}
	default:
		report(key+".kind", "%q is unknown; use %q or %q", s.Kind, KindModel, KindPlain)
	}
	if s.Version == "" {
		report(key+".version", "is missing; name the version that serves the traffic")
	}
	if s.InitialConcurrency < 1 {
		report(key+".start", "must be 1 or more: the number of concurrent requests that a newly started upstream gets")
	}
	if s.StatusPath != "" && !strings.Contains(s.StatusPath, "{key}") {
		report(key+".status", "must contain {key} in place of the idempotency key")
	}
	s.checkClasses(key, report)
	for i, r := range s.Routes {
		r.check(fmt.Sprintf("%s.route[%d]", key, i), s, report)
	}
	s.Rollout.check(key+".rollout", report)
}

func (s Service) checkClasses(key string, report reportFunc) {
	if len(s.Classes) == 0 {
		report(key+".class", "is missing; a service needs at least one class")
	}
	for _, c := range s.Classes {
		classKey := fmt.Sprintf("%s.class[%s]", key, c.Name)
		checkName(classKey, c.Name, report)
		if c.CompletionTarget <= 0 {
			report(classKey+".complete", "must be above 0: the deadline of the whole response")
		}
		if c.FirstTokenTarget <= 0 || c.FirstTokenTarget > c.CompletionTarget {
			report(classKey+".first", "must be above 0 and no longer than complete")
		}
		if c.ProgressTimeout <= 0 || c.ProgressTimeout > c.CompletionTarget {
			report(classKey+".progress", "must be above 0 and no longer than complete")
		}
		if c.InterTokenTarget < 0 {
			report(classKey+".between", "must not be negative")
		}
	}
}

func (r Route) check(key string, s Service, report reportFunc) {
	if !strings.HasPrefix(r.Path, "/") {
		report(key+".path", "%q must start with /", r.Path)
	}
	if _, ok := s.Class(r.Class); !ok {
		report(key+".class", "the service has no class %q", r.Class)
	}
	if r.KeyOptional && !r.AtMostOnce {
		report(key+".keyless", "requires once = true")
	}
	for _, m := range r.Methods {
		if m != strings.ToUpper(m) || m == "" {
			report(key+".methods", "%q is not a method; write it in capitals", m)
		}
	}
}

func (r Rollout) check(key string, report reportFunc) {
	if !slices.IsSorted(r.Steps) {
		report(key+".steps", "must increase")
	}
	for _, share := range r.Steps {
		if share <= 0 || share > 1 {
			report(key+".steps", "%g is not a share; use numbers above 0 and up to 1", share)
		}
	}
	if n := len(r.Steps); n > 0 && r.Steps[n-1] != 1 {
		report(key+".steps", "must end with 1, all traffic")
	}
	if r.Canary < 0 || r.Canary > 1 {
		report(key+".canary", "%g is not a share; use a number from 0 to 1", r.Canary)
	}
	if r.RollbackReserve < 0 {
		report(key+".undo", "must not be negative")
	}
	if r.Soak < 0 {
		report(key+".soak", "must not be negative")
	}
}
