package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/jaystage/jaystage/pkg/wire"
)

const simStep = 10 * time.Millisecond

var simStart = time.Unix(0, 0)

// fault is one injected fault. The kinds cutLeader and cutPeers partition a node from
// the leader or from the other nodes, and reborn restarts the upstream. Partitions
// and cold phases end at Until.
type fault struct {
	At, Until time.Duration
	Kind      string // kill, restart, cutLeader, cutPeers, leave, drain, reborn, cold
	Node      int
}

// scenario is the input of a simulation.
type scenario struct {
	Seed                uint64
	Nodes               int
	Start               int // initial limit of the upstream
	Limit               int
	Capacity            int     // concurrent requests that the upstream can handle when warm
	Load                float64 // offered load as a multiple of Capacity
	Loss                float64
	Duplication         float64
	Delayed             float64 // share of messages that are delayed by up to 3 s
	Faults              []fault
	Variant             string // name of a faulty design, or empty
	Duration            time.Duration
	MeanRequestDuration time.Duration
	AdaptiveLimit       bool
	Mode                string        // grants (default), quota, split (equal parts per node), forward (through the owner)
	SteadyAt            time.Duration // when the measurement of the usage starts
}

type simRequest struct {
	node         *simNode
	ticket       Ticket
	endsAt       time.Duration
	firstTokenAt time.Duration // 0 once the first token has arrived
	late         bool
	failed       bool
	// forwarder is the node through which the request runs in mode forward,
	// otherwise node.
	forwarder *simNode
}

type simNode struct {
	name              string
	incarnation       uint64
	clockRate         float64
	owner             *Owner
	holder            *Holder
	leaseExpires      time.Time
	view              View
	alive             bool
	leaderPartitioned bool
	peersPartitioned  bool
	lastRenewal       time.Time
	running           int
	started           int
	queue             int
	lastStart         time.Duration // when the node last started a request
}

// simulation simulates a cell of nodes with one upstream, a leader and a faulty
// network.
type simulation struct {
	scenario
	rng             *rand.Rand
	now             time.Duration
	nodes           []*simNode
	view            View
	lastRenewals    map[string]time.Duration
	announcement    wire.Announce
	currentCapacity int
	open            []*simRequest
	orphans         []time.Duration // ends of requests whose node was killed
	loadHistory     []int
	inbox           []simMessage
	nextHeartbeat   time.Duration
	turnedColdAt    time.Duration // when the upstream last turned cold
	drainedAt       time.Duration // when the upstream started to leave or was drained, or 0
	worstExcess     int           // largest excess over the capacity at which the upstream failed a request
	started         int
	openSum         int // sum of open requests over measuredSteps
	measuredSteps   int
	messages        int
	interrupted     int                 // requests of live nodes whose forwarder was killed
	limits          map[string]*limiter // by node name, for modes split and forward
	openPerStep     []int               // open requests in each step
}

type simMessage struct {
	at      time.Duration
	deliver func()
}

func newSimulation(s scenario) *simulation {
	sim := &simulation{scenario: s, rng: rand.New(rand.NewPCG(s.Seed, 1)), lastRenewals: map[string]time.Duration{}, currentCapacity: s.Capacity, limits: map[string]*limiter{}}
	sim.announcement = wire.Announce{ID: "u", Incarnation: 1, Limit: uint64(s.Limit), Ready: true}
	for i := range s.Nodes {
		n := &simNode{name: "n" + strconv.Itoa(i), clockRate: 1 + 0.048*sim.rng.Float64(), alive: true}
		sim.nodes = append(sim.nodes, n)
		sim.boot(n)
	}
	return sim
}

func (sim *simulation) boot(n *simNode) {
	n.incarnation++
	n.alive, n.view, n.leaseExpires, n.running, n.queue = true, View{}, time.Time{}, 0, 0
	self := Node{n.name, n.incarnation}
	n.owner = NewOwner(sim.localTime(n), self, DefaultPolicy())
	n.holder = NewHolder(self)
	if sim.drainedAt > 0 {
		n.owner.SetDrained(sim.localTime(n), []string{"u"})
	}
}

// localTime returns the time on the node's clock. Clock rates differ by at most
// 4.8%.
func (sim *simulation) localTime(n *simNode) time.Time {
	return simStart.Add(time.Duration(float64(sim.now) * n.clockRate))
}

func (sim *simulation) send(deliver func()) {
	sim.messages++
	if sim.rng.Float64() < sim.Loss {
		return
	}
	copies := 1
	if sim.rng.Float64() < sim.Duplication {
		copies = 2
	}
	for range copies {
		delay := time.Millisecond + time.Duration(sim.rng.Int64N(int64(4*time.Millisecond)))
		if sim.rng.Float64() < sim.Delayed {
			delay += time.Duration(sim.rng.Int64N(int64(3 * time.Second)))
		}
		sim.inbox = append(sim.inbox, simMessage{sim.now + delay, deliver})
	}
}

func (sim *simulation) deliver() {
	due := sim.inbox
	sim.inbox = nil
	slices.SortStableFunc(due, func(a, b simMessage) int { return int(a.at - b.at) })
	for _, m := range due {
		if m.at <= sim.now {
			m.deliver()
		} else {
			sim.inbox = append(sim.inbox, m)
		}
	}
}

func (sim *simulation) node(name string) *simNode {
	for _, n := range sim.nodes {
		if n.name == name && n.alive {
			return n
		}
	}
	return nil
}

// renewSession renews the node's session with the leader every 500 ms.
func (sim *simulation) renewSession(n *simNode) {
	at := sim.localTime(n)
	if at.Sub(n.lastRenewal) < 500*time.Millisecond {
		return
	}
	n.lastRenewal = at
	incarnation := n.incarnation
	if n.leaderPartitioned {
		return
	}
	sim.send(func() {
		if n.leaderPartitioned || n.incarnation != incarnation {
			return
		}
		sim.lastRenewals[n.name] = sim.now
		sim.addMember(Node{n.name, incarnation})
		v := sim.view
		sim.send(func() {
			if n.leaderPartitioned || n.incarnation != incarnation || !n.alive {
				return
			}
			if end := at.Add(SessionTTL); end.After(n.leaseExpires) {
				n.leaseExpires = end
			}
			if v.Version > n.view.Version {
				n.view = v
			}
			n.holder.Renew(sim.localTime(n), v, n.leaseExpires)
			sim.sendGrants(n, n.owner.Renew(sim.localTime(n), v, n.leaseExpires))
			sim.applyVariant(n)
		})
	})
}

func (sim *simulation) addMember(n Node) {
	if sim.view.HasProcess(n) {
		return
	}
	nodes := slices.DeleteFunc(slices.Clone(sim.view.Nodes), func(o Node) bool { return o.Name == n.Name })
	sim.view = View{sim.view.Version + 1, append(nodes, n)}
}

// expireSessions removes the nodes whose session has expired on the leader's clock,
// which runs at rate 1.
func (sim *simulation) expireSessions() {
	for _, n := range sim.view.Nodes {
		if sim.now-sim.lastRenewals[n.Name] >= 2100*time.Millisecond {
			nodes := slices.DeleteFunc(slices.Clone(sim.view.Nodes), func(o Node) bool { return o.Name == n.Name })
			sim.view = View{sim.view.Version + 1, nodes}
		}
	}
}

// sendHeartbeat sends a heartbeat with a load report that lags by up to 900 ms.
func (sim *simulation) sendHeartbeat() {
	sim.announcement.Sequence++
	lag := sim.rng.IntN(90)
	sim.announcement.Load.Running = uint64(sim.loadHistory[max(0, len(sim.loadHistory)-1-lag)])
	a, start := sim.announcement, sim.Start
	if sim.Variant == "starts at the announced limit" {
		start = sim.Limit
	}
	// Upstreams try all nodes, and repeat the announcement after 100 ms if no owner
	// has answered.
	for _, i := range sim.rng.Perm(len(sim.nodes)) {
		via := sim.nodes[i]
		to := sim.node(via.view.Owner("u"))
		if !via.alive || to == nil || via.peersPartitioned && via != to || to.peersPartitioned && via != to || !to.owner.Owns("u") {
			continue
		}
		if sim.Mode == "quota" {
			sim.nextHeartbeat = sim.now + time.Second
			sim.sendGrants(to, to.owner.SetQuota(sim.localTime(to), "u", sim.Limit, 2*sim.MeanRequestDuration))
			return
		}
		interval, gs := to.owner.HandleHeartbeat(sim.localTime(to), a, start)
		sim.nextHeartbeat = sim.now + interval
		sim.sendGrants(to, gs)
		sim.applyVariant(to)
		return
	}
	sim.nextHeartbeat = sim.now + 100*time.Millisecond
}

func (sim *simulation) finishRequests() {
	sim.open = slices.DeleteFunc(sim.open, func(r *simRequest) bool {
		if r.firstTokenAt > 0 && r.firstTokenAt <= sim.now && !r.failed {
			r.firstTokenAt = 0
			// An engine that is overloaded during prefill answers late.
			sim.recordFirstToken(r, r.late || len(sim.open)+len(sim.orphans) > sim.currentCapacity)
		}
		if r.endsAt > sim.now {
			return false
		}
		r.node.running--
		sim.returnSlot(r, r.failed)
		return true
	})
	sim.orphans = slices.DeleteFunc(sim.orphans, func(at time.Duration) bool { return at <= sim.now })
}

func (sim *simulation) startRequests(n *simNode) error {
	arrivals := sim.Load * float64(sim.Capacity) / float64(sim.Nodes) / sim.MeanRequestDuration.Seconds() * simStep.Seconds()
	newRequests := int(arrivals)
	if sim.rng.Float64() < arrivals-float64(newRequests) {
		newRequests++
	}
	n.queue = min(n.queue+newRequests, 100)
	for n.queue > 0 && n.leaseExpires.After(sim.localTime(n)) {
		t, ok := sim.takeSlot(n)
		if !ok {
			break
		}
		n.queue--
		if sim.drainedAt > 0 && sim.now-sim.drainedAt > 2*time.Second {
			return fmt.Errorf("%v: %s started a request %v after the upstream was drained or leaving", sim.now, n.name, sim.now-sim.drainedAt)
		}
		sim.startRequest(n, t)
	}
	n.holder.SetQueued("u", n.queue)
	return nil
}

func (sim *simulation) startRequest(n *simNode, t Ticket) {
	duration := time.Duration((0.5 + sim.rng.Float64()) * float64(sim.MeanRequestDuration))
	r := &simRequest{node: n, ticket: t, endsAt: sim.now + duration, firstTokenAt: sim.now + duration/4, forwarder: sim.forwarderOf(n)}
	sim.open = append(sim.open, r)
	n.running++
	n.started++
	n.lastStart = sim.now
	sim.started++
	over := len(sim.open) + len(sim.orphans) - sim.currentCapacity
	r.late = over > 0
	if over > max(1, sim.currentCapacity/4) {
		r.failed, r.endsAt = true, sim.now+50*time.Millisecond
		if sim.turnedColdAt == 0 || sim.now-sim.turnedColdAt > 2*time.Second {
			sim.worstExcess = max(sim.worstExcess, over)
		}
	}
}

// step simulates one step and checks the sum of the slots and of the requests that
// no slot covers.
func (sim *simulation) step() error {
	sim.now += simStep
	sim.injectFaults()
	sim.finishRequests()
	sim.deliver()
	sim.expireSessions()
	sim.loadHistory = append(sim.loadHistory, len(sim.open)+len(sim.orphans))
	if sim.now >= sim.nextHeartbeat {
		sim.sendHeartbeat()
	}
	sum := len(sim.orphans)
	for _, n := range sim.nodes {
		if !n.alive {
			continue
		}
		sim.renewSession(n)
		sim.sendGrants(n, n.owner.Tick(sim.localTime(n)))
		if err := sim.startRequests(n); err != nil {
			return err
		}
		sim.sendDemands(n)
		free := 0
		if n.leaseExpires.After(sim.localTime(n)) {
			free = n.holder.FreeSlots(sim.localTime(n), "u")
		}
		sum += n.running + free
	}
	running := len(sim.open) + len(sim.orphans)
	sim.openPerStep = append(sim.openPerStep, running)
	if sim.now > sim.SteadyAt {
		sim.openSum += running
		sim.measuredSteps++
	}
	if sim.worstExcess > 0 {
		return fmt.Errorf("%v: upstream got %d requests more than its capacity of %d", sim.now, sim.worstExcess, sim.currentCapacity)
	}
	if !sim.AdaptiveLimit && sum > sim.Limit {
		return fmt.Errorf("%v: slots and open requests sum to %d, the limit is %d", sim.now, sum, sim.Limit)
	}
	return nil
}

func (sim *simulation) run() error {
	for sim.now < sim.Duration {
		if err := sim.step(); err != nil {
			return err
		}
	}
	return nil
}
