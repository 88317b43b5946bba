// Package keyspace describes the store that holds what must last.
//
// The store is the platform's. The product only needs these calls of it; the
// adapter fills them in, and tests replace them by functions. Writes are
// conditional, and one without an answer may have been done: callers read back.
package keyspace

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// The failures of a call.
var (
	// ErrUnavailable reports a call that was not done.
	ErrUnavailable = errors.New("store is not available")
	// ErrUnknown reports a write that may have been done or may be done later.
	ErrUnknown = errors.New("store did not answer a write")
	// ErrConflict reports a write whose condition does not hold.
	ErrConflict = errors.New("condition of the write does not hold")
	// ErrNoLease reports a lease that has ended.
	ErrNoLease = errors.New("lease has ended")
	// ErrCompacted reports a watch on history that the store no longer has.
	ErrCompacted = errors.New("history is no longer available")
)

// Item is one key with its value.
type Item struct {
	key      string
	value    []byte
	revision int64
}

// NewItem returns an item; revision is its last change.
func NewItem(key string, value []byte, revision int64) Item {
	return Item{
		key:      key,
		value:    value,
		revision: revision,
	}
}

// Key is the item's key.
func (i Item) Key() string {
	return i.key
}

// Value is the item's value.
func (i Item) Value() []byte {
	return i.value
}

// Revision is the number of the item's last change.
func (i Item) Revision() int64 {
	return i.revision
}

// Change is one change of a key.
type Change struct {
	item    Item
	deleted bool
}

// NewChange is a write of an item, or its removal.
func NewChange(i Item, deleted bool) Change {
	return Change{
		item:    i,
		deleted: deleted,
	}
}

// Item is the item after the change.
func (c Change) Item() Item {
	return c.item
}

// Deleted tells whether the item was removed.
func (c Change) Deleted() bool {
	return c.deleted
}

// Write is one conditional change of several keys, done whole or not at all.
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

// WithLease returns the write with a lease that its puts end with.
func (w Write) WithLease(lease int64) Write {
	w.lease = lease
	return w
}

// Expected maps keys to the revisions that the write requires.
func (w Write) Expected() map[string]int64 {
	return w.expected
}

// Puts lists the items to write.
func (w Write) Puts() []Item {
	return w.puts
}

// Removes lists the keys to remove.
func (w Write) Removes() []string {
	return w.removes
}

// Lease is the lease of the puts; 0 for none.
func (w Write) Lease() int64 {
	return w.lease
}

// Store has the calls of the store.
type Store struct {
	// Get returns the item of a key, found false if there is none.
	Get func(ctx context.Context, key string) (i Item, found bool, err error)
	// List returns all items below a prefix and a revision from which a watch
	// misses nothing.
	List func(ctx context.Context, prefix string) (items []Item, revision int64, err error)
	// Watch waits for changes below a prefix after a revision, and returns the
	// revision to go on from.
	Watch func(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []Change, revision int64, err error)
	// Apply does a write.
	Apply func(ctx context.Context, w Write) error
	// Grant makes a lease.
	Grant func(ctx context.Context, life time.Duration) (lease int64, err error)
	// Renew extends a lease.
	Renew func(ctx context.Context, lease int64) error
	// Revoke ends a lease with its keys.
	Revoke func(ctx context.Context, lease int64) error
}
