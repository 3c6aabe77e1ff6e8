// Package event defines the numbered log events. Every event has an entry in
// docs/events.md with its fields, its meaning and what to do.
package event

import "github.com/sirupsen/logrus"

// ID is the number of an event. Numbers are never reused.
type ID int

// Events of a node. 1xxx node, 2xxx callers, 3xxx upstreams, 4xxx replicated
// state, 5xxx links between nodes, 6xxx rollouts, 7xxx fleet, 8xxx operators.
const (
	NodeStarted      ID = 1001
	NodeStopping     ID = 1002
	NodeStopped      ID = 1003
	RequestRefused   ID = 2001
	RequestContinued ID = 2003
	AttemptFailed    ID = 2004
	CrashRefused     ID = 2005
	StreamMoved      ID = 2006
	RequestsEnded    ID = 2007
	UpstreamJoined   ID = 3001
	UpstreamLeaving  ID = 3002
	UpstreamExpired  ID = 3003
	AnnounceRefused  ID = 3004
	UpstreamStalled  ID = 3005
	ConnectionSilent ID = 3006
	UpstreamCrashed  ID = 3007
	ConfigApplied    ID = 4001
	LeaseLost        ID = 4002
	LeaseGained      ID = 4003
	SessionStarted   ID = 4004
	SessionEnded     ID = 4005
	LeaderChanged    ID = 4006
	VoterFailed      ID = 4007
	VoterChanged     ID = 4008
	VoterJoining     ID = 4009
	PauseNoticed     ID = 4010
	SnapshotSaved    ID = 4011
	ViewFailed       ID = 4012
	BookingUnsettled ID = 4013
	LinkUp           ID = 5001
	LinkDown         ID = 5002
	LinkRefused      ID = 5003
	LinkFailed       ID = 5004
	UpdateDropped    ID = 5005
	RolloutChanged   ID = 6001
	RolloutStalled   ID = 6002
	OperatorRefused  ID = 8001
)

// Field is the log field that holds an event's number.
const Field = "event"

// With returns an entry for the event on the logger.
func With(log logrus.FieldLogger, id ID) *logrus.Entry {
	return log.WithField(Field, int(id))
}
