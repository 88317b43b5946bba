// Package freshness tells a process how far it is behind the newest configuration.
//
// Each process tells its peers the numbers of the versions that it knows of, so a
// process often learns of a version before it has its content. A Freshness keeps when
// each newer version was confirmed, as far as the process knows, until that version or
// a later one is in force.
package freshness

import (
	"cmp"
	"slices"
	"time"
)

// maxPending bounds the newer versions that are told apart.
const maxPending = 16

// pending is a version that is known of and not in force.
type pending struct {
	number int64
	// confirmed is the latest time at which the version can have been confirmed.
	confirmed time.Duration
	source    string
}

// Freshness compares the version in force with the versions that are known of.
type Freshness struct {
	inForce int64
	// invalid is the highest version that this process can't use.
	invalid int64
	// newest is the highest version that is known of, learned at newestConfirmed.
	newest          int64
	newestConfirmed time.Duration
	// pending lists the versions above inForce, by ascending number and time.
	pending []pending
}

// Heard records that a source knows of a version, which was confirmed at or before a
// time of this process's clock. It reports whether the process is behind from now on
// and was not before.
func (f *Freshness) Heard(number int64, confirmed time.Duration, source string) bool {
	switch {
	case number > f.newest:
		f.newest = number
		f.newestConfirmed = confirmed
	case number == f.newest:
		f.newestConfirmed = min(f.newestConfirmed, confirmed)
	}
	if number <= max(f.inForce, f.invalid) {
		return false
	}
	began := len(f.pending) == 0
	f.add(pending{
		number:    number,
		confirmed: confirmed,
		source:    source,
	})
	return began
}

// add inserts a version. A version was confirmed before all later ones, so its time is
// the earliest of theirs and its own.
func (f *Freshness) add(p pending) {
	i, known := slices.BinarySearchFunc(f.pending, p.number, func(x pending, number int64) int { return cmp.Compare(x.number, number) })
	switch {
	case known && p.confirmed < f.pending[i].confirmed:
		f.pending[i] = p
	case known:
		return
	case len(f.pending) < maxPending:
		f.pending = slices.Insert(f.pending, i, p)
	default:
		// The last one stands for all that follow it, so that the time is not too late.
		f.pending[maxPending-1].number = max(f.pending[maxPending-1].number, p.number)
	}
	for k := len(f.pending) - 2; k >= 0; k-- {
		f.pending[k].confirmed = min(f.pending[k].confirmed, f.pending[k+1].confirmed)
	}
}

// Applied records that a version is in force. It reports whether the process was
// behind before and is not any more.
func (f *Freshness) Applied(number int64) bool {
	f.inForce = max(f.inForce, number)
	return f.forget(f.inForce)
}

// Refuted records that the newest stored version is a lower one than was heard of: the
// result of a read of the store that began after the version was heard of.
func (f *Freshness) Refuted(newest int64, readBegan time.Duration) bool {
	before := len(f.pending)
	f.pending = slices.DeleteFunc(f.pending, func(p pending) bool { return p.number > newest && p.confirmed < readBegan })
	if len(f.pending) == 0 && f.newest > newest && f.newestConfirmed < readBegan {
		f.newest = newest
	}
	return before > 0 && len(f.pending) == 0
}

// Invalid records that this process can't use a version, so that it does not count as
// behind it.
func (f *Freshness) Invalid(number int64) bool {
	f.invalid = max(f.invalid, number)
	return f.forget(f.invalid)
}

func (f *Freshness) forget(number int64) bool {
	before := len(f.pending)
	f.pending = slices.DeleteFunc(f.pending, func(p pending) bool { return p.number <= number })
	return before > 0 && len(f.pending) == 0
}

// Newest returns the highest version that is known of, and how long ago it was
// confirmed at least; 0 for none.
func (f *Freshness) Newest(now time.Duration) (number int64, age time.Duration) {
	if f.newest == 0 {
		return 0, 0
	}
	return f.newest, max(0, now-f.newestConfirmed)
}

// Behind returns for how long a newer version than the one in force has been known of,
// and from whom it was learned; false if there is none.
func (f *Freshness) Behind(now time.Duration) (age time.Duration, source string, behind bool) {
	if len(f.pending) == 0 {
		return 0, "", false
	}
	return max(0, now-f.pending[0].confirmed), f.pending[0].source, true
}
