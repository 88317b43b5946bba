// Package guarantee tests the guarantees that no role can give alone: a task starts
// at most once, a complete answer has exactly the results of the tasks of its job,
// and no task runs after a refusal that says that none ran.
//
// The tests simulate a cluster of entries, owners and agents on a virtual clock.
// The state machines of the roles are the real ones. The network delays messages
// and loses links, processes pause and are killed, and a model of the directory
// grants leases and moves shards. An oracle that shares no code with the product
// checks the calls that reach targets against the answers that reach callers.
package guarantee
