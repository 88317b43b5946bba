// Package publisher decides how a configuration version becomes active.
//
// Operators change the configuration concurrently, and the store's answer to a
// change that took effect may be lost. The publisher writes the body under an
// unused version number, moves the head by compare-and-swap from the base that
// the operator named, and reads the head again if the answer was lost. The head
// lists the change keys of its last writers, so the publisher finds its own key
// even if others have moved the head since. A body is never overwritten: a head
// that points to it would otherwise have the digest of a body that the store no
// longer has.
package publisher
