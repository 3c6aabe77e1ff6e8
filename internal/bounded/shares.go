package bounded

const (
	// otherDescriptors are reserved for files that are neither sockets nor data.
	otherDescriptors = 200
	// descriptorShare is the part of the other descriptors for connections of clients. Each may
	// need one to an upstream; the rest is for tunnels, links and files.
	descriptorShare = 0.4
	// connectionBytes is the memory that an open connection takes besides the budgets: its
	// goroutines, the server's reader and writer, and the allowance of its account.
	connectionBytes = 32 << 10
	// connectionShare and unreadShare are the parts of a VM's memory that are meant for open
	// connections and for bytes that the kernel holds for them.
	connectionShare, unreadShare = 3.0 / 16, 1.0 / 10
	// wholeFactor is the number of connections with whole requests for each one that is meant for
	// any client. The bodies and answers of such requests count in budgets of their own.
	wholeFactor = 1.5
	// headShare and bodyShare are those for unfinished request heads and for request bodies;
	// memoryShare is that for answers. Each may take as much again for what was given up.
	headShare, bodyShare = 1.0 / 32, 1.0 / 8
	// tunnelShare is that for tunnels, and tunnelBytes what one takes.
	tunnelShare, tunnelBytes = 1.0 / 24, 30 << 10
	// latencyShare is that for latency histograms.
	latencyShare = 1.0 / 48
	// runtimeShare is the soft limit of the Go runtime, beyond which it collects garbage more
	// often. What the kernel holds and the program itself, programBytes, are not in it.
	runtimeShare = 0.7
	programBytes = 14 << 20

	// defaultConnections and defaultLatencies apply when neither memory nor descriptors are known,
	// defaultTunnels bounds tunnels in any case.
	defaultConnections, defaultLatencies, defaultTunnels = 4000, 26 << 20, 200
	// wideWindow is the receive and send buffer of a socket while few are open, enough for a
	// body of 4 MiB at 30 MB/s over a path of 2 ms. narrowWindow is the least one.
	wideWindow, narrowWindow = 64 << 10, 4 << 10
)

// Shares divides the memory and the descriptors of a VM between all that others make a node
// hold. Their sum, with what was given up and is not freed yet, leaves room for the node's own
// state on VMs of 96 MB and more.
type Shares struct {
	// Runtime is the soft limit of the Go runtime in bytes; zero for none.
	Runtime int64
	// Connections bounds the open connections of all listeners. Beyond it, new ones take the place
	// of others; while all others carry whole requests, up to WholeConnections are kept.
	Connections, WholeConnections int
	// Wide is the number of open connections, of clients or to upstreams, up to which sockets have
	// wide buffers.
	Wide int
	// Narrow is the size of the buffers of further sockets, in bytes.
	Narrow int
	// Heads, Bodies and Answers are limits of budgets, in bytes.
	Heads, Bodies, Answers int
	// Latencies bounds latency histograms, in bytes.
	Latencies int
	// Tunnels bounds the tunnels for other nodes.
	Tunnels int
}

// Divide returns the shares of a VM with this memory in bytes and number of descriptors; zero
// means that it is not known.
func Divide(memory int64, descriptors int) Shares {
	s := Shares{Connections: defaultConnections, Tunnels: defaultTunnels, Latencies: defaultLatencies, Answers: LimitFor(memory)}
	s.Heads, s.Bodies = s.Answers, 2*s.Answers
	if memory > 0 {
		of := func(share float64) int { return int(share * float64(memory)) }
		s.Runtime = min(int64(of(runtimeShare)), max(programBytes, int64(of(1-unreadShare))-programBytes))
		s.Connections = max(1, of(connectionShare)/connectionBytes)
		s.Heads, s.Bodies, s.Latencies = of(headShare), of(bodyShare), of(latencyShare)
		s.Tunnels = min(defaultTunnels, max(1, of(tunnelShare)/tunnelBytes))
	}
	s.WholeConnections = int(wholeFactor * float64(s.Connections))
	if descriptors > otherDescriptors {
		most := max(1, int(descriptorShare*float64(descriptors-otherDescriptors)))
		s.Connections, s.WholeConnections = min(s.Connections, most), min(s.WholeConnections, most)
	}
	unread := defaultLimit
	if memory > 0 {
		unread = int(unreadShare * float64(memory))
	}
	// A quarter each for wide and narrow buffers, of clients and of upstreams.
	s.Wide = min(s.Connections, unread/4/wideWindow)
	s.Narrow = max(narrowWindow, min(wideWindow, unread/4/max(1, s.Connections-s.Wide)))
	return s
}

// WindowFor returns the size of the buffers of a socket that is opened beside others.
func (s Shares) WindowFor(open int) int {
	if open < s.Wide {
		return wideWindow
	}
	return s.Narrow
}

// Total returns the bytes that all shares may take at a time.
func (s Shares) Total() int {
	unread := 2 * (s.Wide*wideWindow + (s.Connections-s.Wide)*s.Narrow)
	return s.Connections*connectionBytes + unread + 2*(s.Heads+s.Bodies+s.Answers) + s.Tunnels*tunnelBytes + s.Latencies
}
