// Package admission decides whether and when a request is accepted. It is
// deterministic: it reads no clock, and each decision takes the current time as an
// argument.
//
// A node runs one Controller for each service. Its caller sets the capacity to the
// slots that the node may use on the service's upstreams and passes each request to
// Admit. It calls Next until it returns false, after each event and every few
// milliseconds. A started request ends with Done, or returns to the queue with
// Requeue if no upstream had a free slot. Each class has one RetryBudget for the
// retries and hedges of its requests.
package admission
