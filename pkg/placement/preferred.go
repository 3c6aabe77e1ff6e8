package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// preferredUpstreams are the upstreams that most likely have the prompt prefix of a
// session cached.
type preferredUpstreams struct{ first, second *Upstream }

// cachedShare returns the share of the shared prefix that a choice expects the upstream to have
// cached. It is not the one by the answers so far: preferred upstreams get the requests of a
// session also before they have its prefix.
func (p preferredUpstreams) cachedShare(u *Upstream, o Options) float64 {
	rank := p.rank(u)
	if rank == secondPreferred && o.Engine == nil {
		return secondCachedShare
	}
	return priorCached[rank]
}

// Ranks of an upstream for a session.
const (
	firstPreferred = iota
	secondPreferred
	notPreferred
)

func (p preferredUpstreams) rank(u *Upstream) int {
	switch u {
	case p.first:
		return firstPreferred
	case p.second:
		return secondPreferred
	}
	return notPreferred
}

// preferred returns the preferred upstreams of the request's session. It uses rendezvous
// hashing, so that all nodes agree on them without communication.
func (r Request) preferred(now time.Time, o Options, candidates []*Upstream) preferredUpstreams {
	_, session := r.SharedPrefix()
	if session == "" {
		return preferredUpstreams{}
	}
	var p preferredUpstreams
	var firstRank, secondRank uint64
	key := xxhash.Sum64String(session)
	for _, u := range candidates {
		if !u.Usable(now) {
			continue
		}
		switch rank := fmix64(key ^ u.hash()); {
		case p.first == nil || rank > firstRank:
			p.first, p.second, firstRank, secondRank = u, p.first, rank, firstRank
		case p.second == nil || rank > secondRank:
			p.second, secondRank = u, rank
		}
	}
	if o.SinglePreferred {
		p.second = nil
	}
	return p
}
