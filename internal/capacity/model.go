package capacity

import (
	"fmt"
	"slices"
	"strings"
)

// Row is the cost of one mechanism in one VM.
type Row struct {
	Mechanism string `json:"mechanism"`
	// Arithmetic describes how the rate is calculated.
	Arithmetic string `json:"sum"`
	// State is memory in bytes.
	State float64 `json:"state"`
	// Messages, In and Out are per second; In and Out are bytes on the wire.
	Messages float64 `json:"messages"`
	In       float64 `json:"in"`
	Out      float64 `json:"out"`
	// Core is the fraction of one core that is used.
	Core   float64  `json:"core"`
	Slopes []string `json:"slopes"`
}

// Role is a role of a VM with the costs of its mechanisms.
type Role struct {
	Name string `json:"name"`
	Rows []Row  `json:"rows"`
	// Budget is nil for roles on VMs that are reserved for control, and for the data
	// path.
	Budget *Budget `json:"budget,omitempty"`
}

// Total returns the sum of the rows.
func (r Role) Total() Row {
	total := Row{Mechanism: "sum"}
	for _, row := range r.Rows {
		total.State += row.State
		total.Messages += row.Messages
		total.In += row.In
		total.Out += row.Out
		total.Core += row.Core
	}
	return total
}

// model calculates the costs at one size of the system.
type model struct {
	Size
	slopes Slopes
	// Intervals in seconds. optimizedNode replaces the values that the code uses.
	heartbeatInterval, linkPingInterval, rolloutReportInterval float64
	missingSlopes                                              []string
}

// newModel returns a model with the intervals that the code of the system uses.
func newModel(s Slopes, z Size) *model {
	return &model{Size: z, slopes: s, heartbeatInterval: z.requestedHeartbeatInterval(), linkPingInterval: linkPingInterval, rolloutReportInterval: rolloutReportInterval}
}

// costAt returns the fitted cost at a size of n steps. A negative cost at size zero counts
// as zero.
func (m *model) costAt(name string, n float64) float64 {
	return m.evaluate(name, func(step, base float64) float64 { return max(0, base) + n*step })
}

// costPerStep returns the fitted cost of one step.
func (m *model) costPerStep(name string) float64 {
	return m.evaluate(name, func(step, _ float64) float64 { return step })
}

// coresPerStep returns the cost of one step per second as a fraction of a core.
func (m *model) coresPerStep(name string) float64 { return m.costPerStep(name) / 1e9 }

// evaluate applies f to the fitted line of the named slope. If the slope is missing, it
// records the name for err and returns zero.
func (m *model) evaluate(name string, f func(step, base float64) float64) float64 {
	for _, s := range m.slopes.Slopes {
		if s.Name == name {
			return f(s.Fit())
		}
	}
	if !slices.Contains(m.missingSlopes, name) {
		m.missingSlopes = append(m.missingSlopes, name)
	}
	return 0
}

// err returns an error that lists the missing slopes, or nil if there are none.
func (m *model) err() error {
	if len(m.missingSlopes) == 0 {
		return nil
	}
	return fmt.Errorf("these slopes have not been measured: %s; add them to the file", strings.Join(m.missingSlopes, ", "))
}

// addSentRequests adds a rate of sent requests and their replies to a row. The sender of
// the request also sends a packet that acknowledges the reply.
func (r Row) addSentRequests(rate, replyBytes, requestBytes float64) Row {
	r.Messages += 2 * rate
	r.In += rate * (replyBytes + TLSBytes + PacketBytes)
	r.Out += rate * (requestBytes + TLSBytes + 2*PacketBytes)
	return r
}

// addServedRequests adds a rate of received requests and their replies to a row.
func (r Row) addServedRequests(rate, requestBytes, replyBytes float64) Row {
	r.Messages += 2 * rate
	r.In += rate * (requestBytes + TLSBytes + 2*PacketBytes)
	r.Out += rate * (replyBytes + TLSBytes + PacketBytes)
	return r
}

// addOneWayMessages adds rates of one-way messages in each direction to a row, each with
// an acknowledgement. The two ends of a frame share its processor time equally.
func (m *model) addOneWayMessages(r Row, inRate, inBytes, outRate, outBytes float64) Row {
	r.Messages += inRate + outRate
	r.In += inRate*(inBytes+TLSBytes+PacketBytes) + outRate*PacketBytes
	r.Out += outRate*(outBytes+TLSBytes+PacketBytes) + inRate*PacketBytes
	r.Core += (inRate + outRate) * m.coresPerStep("frame.cpu") / 2
	if !slices.Contains(r.Slopes, "frame.cpu") {
		r.Slopes = append(r.Slopes, "frame.cpu")
	}
	return r
}

// envelopeBytes returns the bytes that a frame of a kind adds to the body of a message.
func envelopeBytes(kind string) float64 { return float64(FrameSize(kind, false, struct{}{}) - 1) }
