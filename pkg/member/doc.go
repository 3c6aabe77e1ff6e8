// Package member tells slow, dead and partitioned nodes apart. It is
// deterministic: the present time is an argument and messages are values.
//
// A node runs one Detector. Its runner calls Step with each message, with each
// change of the membership and every 50 ms, sends what Action.Send holds and acts
// on Action.Change. Nothing is removed here: sessions with the leader decide on
// membership. The states serve to avoid nodes and to inform operators.
package member
