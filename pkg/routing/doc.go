// Package routing chooses the upstream that runs a request and limits the number
// of concurrent requests of each upstream. It is deterministic: the current time is
// an argument.
//
// A node runs one Owner, one Holder and one Directory. Its runner
//
//   - calls Owner.Renew and Holder.Renew with each reply to a session renewal,
//     with the cell's membership as View; View.Version changes only with the
//     membership;
//   - passes each upstream's announcement to Directory.ApplyAnnouncement, and to
//     Owner.HandleHeartbeat if this node owns the upstream (Owner.Owns); otherwise
//     it forwards the announcement to the node that View.Owner returns;
//   - calls Holder.Demands every few milliseconds and Owner.Tick every 100 ms;
//   - sends each Demand to the upstream's View.Owner and each Grant to Grant.To;
//     either may be the node itself. Messages may be lost, duplicated and
//     reordered.
//
// For each request the runner calls Choose, takes a Ticket with Holder.Take, reports
// the first token with Holder.RecordFirstToken and releases the Ticket with
// Holder.Return.
package routing
