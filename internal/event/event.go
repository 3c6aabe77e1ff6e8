// Package event defines the numbered log events. docs/events.md lists every event with
// its fields, its meaning and the recommended action.
package event

import "github.com/sirupsen/logrus"

// ID is the number of an event. Numbers are never reused.
type ID int

// Events, numbered by area: 1xxx node, 2xxx clients, 3xxx upstreams, 4xxx replicated state,
// 5xxx links between nodes, 6xxx rollouts, 7xxx fleet, 8xxx operators.
const (
	NodeStarted       ID = 1001
	NodeStopping      ID = 1002
	NodeStopped       ID = 1003
	NodeServing       ID = 1008
	RequestRefused    ID = 2001
	RequestContinued  ID = 2003
	AttemptFailed     ID = 2004
	CrashRefused      ID = 2005
	StreamMoved       ID = 2006
	RequestsEnded     ID = 2007
	RequestEnded      ID = 2008
	UpstreamFailed    ID = 2009
	RequestRelayed    ID = 2010
	UpstreamJoined    ID = 3001
	UpstreamLeaving   ID = 3002
	UpstreamExpired   ID = 3003
	AnnounceRefused   ID = 3004
	UpstreamStalled   ID = 3005
	ConnectionSilent  ID = 3006
	UpstreamCrashed   ID = 3007
	UpstreamChanged   ID = 3008
	RosterMissing     ID = 3009
	PartBlocked       ID = 3010
	PartReleased      ID = 3011
	UpstreamLimited   ID = 3012
	PathLost          ID = 3013
	PathRegained      ID = 3014
	TunnelOpened      ID = 3015
	UpstreamAdvice    ID = 3016
	UpstreamSilent    ID = 3017
	UpstreamMalformed ID = 3018
	ConfigApplied     ID = 4001
	LeaseLost         ID = 4002
	LeaseGained       ID = 4003
	SessionStarted    ID = 4004
	SessionEnded      ID = 4005
	LeaderChanged     ID = 4006
	VoterFailed       ID = 4007
	VoterChanged      ID = 4008
	VoterJoining      ID = 4009
	PauseNoticed      ID = 4010
	SnapshotSaved     ID = 4011
	ViewFailed        ID = 4012
	BookingUnsettled  ID = 4013
	PlanRecorded      ID = 4014
	PlanUnchanged     ID = 4015
	EntryRecorded     ID = 4016
	DomainResumed     ID = 4017
	UsageSettled      ID = 4018
	UsageReported     ID = 4019
	CountsUnsaved     ID = 4020
	LeaderMissing     ID = 4021
	SettingsReloaded  ID = 1004
	ShutdownCut       ID = 1005
	TaskPanicked      ID = 1006
	ClientsDraining   ID = 1007
	RequestCut        ID = 2011
	StandbyStarted    ID = 2012
	LinkUp            ID = 5001
	LinkDown          ID = 5002
	LinkRefused       ID = 5003
	LinkFailed        ID = 5004
	UpdateDropped     ID = 5005
	RolloutChanged    ID = 6001
	RolloutStalled    ID = 6002
	MoveStep          ID = 6003
	FleetRecorded     ID = 7001
	UpstreamsOrdered  ID = 7002
	FleetSized        ID = 7003
	OperatorRefused   ID = 8001
	CallRefused       ID = 8002
)

// Field is the key of the log field with an event's number.
const Field = "event"

// With returns a log entry with the event's number.
func With(log logrus.FieldLogger, id ID) *logrus.Entry {
	return log.WithField(Field, int(id))
}
