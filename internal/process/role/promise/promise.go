// Package promise holds the tests of what must always hold across roles.
//
// A world of entries, owners and agents runs on a virtual clock: the real
// decisions, with a network that delays and cuts, processes that pause and die,
// and a model of the directory that grants leases and moves shards. A small
// oracle sees only the calls that reach targets and the answers that reach
// callers, and shares no code with the product.
package promise
