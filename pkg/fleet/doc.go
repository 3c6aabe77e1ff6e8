// Package fleet decides how much capacity to order in each failure domain, on
// reclaimable (spot) and on-demand VMs.
//
// Plan plans the individual VMs of several pools from a load forecast. PlanCounts
// plans one pool that is ordered as a number of upstreams per failure domain and kind.
// Both are deterministic: the current time and the source of random numbers are
// arguments, and state between two calls is passed in and out as a value.
package fleet
