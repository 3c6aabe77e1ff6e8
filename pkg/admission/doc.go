// Package admission decides whether and when a request is accepted. It is
// deterministic: it reads no clock, and each decision takes the current time as an
// argument.
//
// A node runs one Controller for each service. Its caller sets the capacity to the
// slots that the node may use on the service's upstreams and passes each request to
// Admit. After each event, and every few milliseconds, it calls Next repeatedly until
// Next returns false. A started request ends with Done, or returns to the queue with
// Requeue if no upstream had a free slot. Each class has one RetryBudget for the
// retries and hedges of its requests.
package admission
