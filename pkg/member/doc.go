// Package member detects failures among nodes with a protocol like SWIM. It
// distinguishes slow, partitioned, suspect and dead nodes. It is deterministic: the
// current time is an argument, and messages are values.
//
// A node runs one Detector. The caller calls Step with each received message, with each
// change of the membership and every 50 ms. It sends the messages in Action.Send and
// handles the state changes in Action.Change. The detector never removes a member:
// sessions with the leader decide on membership. Callers use the states to avoid nodes
// and to inform operators.
package member
