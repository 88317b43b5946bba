// Package fleet tests the guarantees and time limits of the design page with real
// processes.
//
// The simulations of the roles share one address space and one clock. They cannot
// show the effect of a signal on a process, its sockets and its peers. The tests of
// this package build both programs, run a small cluster on loopback, and submit
// jobs while they kill, stop or terminate processes. The tests compare the answers
// with the starts that the targets recorded.
package fleet
