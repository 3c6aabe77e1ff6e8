// Package routing decides which upstream runs a request and how many requests
// each upstream gets. It is deterministic: the present time is an argument.
//
// A node runs one Owner, one Holder and one Directory. Its runner
//
//   - calls Owner.Renew and Holder.Renew with each reply to a session renewal,
//     with the cell's membership as View; View.Version changes only with it;
//   - gives each upstream's announcement to Directory.Heard, and to
//     Owner.Heartbeat if Owner.Owns the upstream, otherwise forwards it to the
//     node that View.Owner names;
//   - calls Holder.Demands every few milliseconds and Owner.Tick every 100 ms;
//   - carries each Demand to View.Owner and each Grant to Grant.To, itself
//     included; messages may be lost, doubled and reordered.
//
// A request takes a Ticket with Holder.Take after Choose, tells of its first token
// with Holder.FirstToken and ends with Holder.Return.
package routing
