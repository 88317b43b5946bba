// Package fleet checks the promises of the design page on real processes.
//
// The simulations of the roles share one address space and one clock, so they
// cannot show what a signal does to a process, its sockets and its peers. The
// tests of this package build both programs, run a small installation on
// loopback, submit jobs all the time and kill, stop or end processes meanwhile.
// The targets' own lists of starts are the evidence.
package fleet
