package config

import (
	"github.com/jaystage/jaystage/internal/tomlfile"
)

// Load reads a base file and the overlays of a site, merges them and checks the result.
// The error is a tomlfile.Problems that lists all problems.
func Load(base string, overlays ...string) (Site, error) {
	var site Site
	d := tomlfile.Load(append([]string{base}, overlays...)...)
	if d.Decode(&site) {
		site.check(d.Report)
	}
	if err := d.Err(); err != nil {
		return Site{}, err
	}
	return site, nil
}
