// Package keyspace defines the calls of the key-value store of the users' platform.
//
// The store has revisions, leases and atomic conditional writes of several keys. The
// processes of the command platform use it. The commands agent, entry and config use
// another service, which has sessions that hold keys and changes one key in a write;
// package store is its client. An adapter implements the calls as function fields,
// and tests replace them. A write without a response may have been done, so callers
// read the keys back.
package keyspace

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// The errors of a call.
var (
	// ErrUnavailable reports a call that was not done.
	ErrUnavailable = errors.New("store is not available")
	// ErrUnknown reports a write that may have been done, or may still be done later.
	ErrUnknown = errors.New("store did not respond to a write")
	// ErrConflict reports a write whose condition does not hold.
	ErrConflict = errors.New("condition of the write does not hold")
	// ErrNoLease reports a lease that has ended.
	ErrNoLease = errors.New("lease has ended")
	// ErrCompacted reports a watch from a revision that the store has compacted.
	ErrCompacted = errors.New("history is no longer available")
)

// Item is a key with its value and the revision of its last change.
type Item struct {
	key      string
	value    []byte
	revision int64
	invalid  error
}

func NewItem(key string, value []byte, revision int64) Item {
	return Item{
		key:      key,
		value:    value,
		revision: revision,
	}
}

// NewInvalidItem returns an item that the store listed in a form that can't be read,
// with the cause. The key is empty if it can't be read either.
func NewInvalidItem(key string, cause error) Item {
	return Item{
		key:     key,
		invalid: cause,
	}
}

// Invalid returns the cause for which the item can't be used, nil for a usable one.
func (i Item) Invalid() error {
	return i.invalid
}

func (i Item) Key() string {
	return i.key
}

func (i Item) Value() []byte {
	return i.value
}

// Revision returns the store revision of the item's last change.
func (i Item) Revision() int64 {
	return i.revision
}

// Change is a write or a deletion of one item.
type Change struct {
	item    Item
	deleted bool
}

func NewChange(i Item, deleted bool) Change {
	return Change{
		item:    i,
		deleted: deleted,
	}
}

// Item returns the item after the change.
func (c Change) Item() Item {
	return c.item
}

// Deleted reports whether the change is a deletion.
func (c Change) Deleted() bool {
	return c.deleted
}

// Write is an atomic conditional change of several keys.
type Write struct {
	expected map[string]int64
	puts     []Item
	removes  []string
	lease    int64
}

// NewWrite returns a write that is done only if each key has the expected
// revision; 0 means that the key does not exist.
func NewWrite(expected map[string]int64, puts []Item, removes []string) Write {
	return Write{
		expected: expected,
		puts:     puts,
		removes:  removes,
	}
}

// WithLease returns the write with its puts attached to a lease: they are deleted
// when the lease ends.
func (w Write) WithLease(lease int64) Write {
	w.lease = lease
	return w
}

// Expected maps keys to their required revisions.
func (w Write) Expected() map[string]int64 {
	return w.expected
}

func (w Write) Puts() []Item {
	return w.puts
}

// Removes returns the keys to delete.
func (w Write) Removes() []string {
	return w.removes
}

// Lease returns the lease of the puts, or 0 for none.
func (w Write) Lease() int64 {
	return w.lease
}

// Store is the set of calls.
type Store struct {
	// Get returns the item of a key; found is false if the key does not exist.
	Get func(ctx context.Context, key string) (i Item, found bool, err error)
	// List returns all items below a prefix, and a revision from which a watch misses
	// no change.
	List func(ctx context.Context, prefix string) (items []Item, revision int64, err error)
	// Watch waits for changes below a prefix after a revision, and returns the
	// revision from which to continue.
	Watch func(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []Change, revision int64, err error)
	// Apply executes a write.
	Apply func(ctx context.Context, w Write) error
	// Grant creates a lease.
	Grant func(ctx context.Context, life time.Duration) (lease int64, err error)
	Renew func(ctx context.Context, lease int64) error
	// Revoke ends a lease and deletes its keys.
	Revoke func(ctx context.Context, lease int64) error
}
