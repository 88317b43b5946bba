package job

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/identity"
)

const (
	// MaxOrderBytes bounds the total size of the tasks of one submission. A
	// submission is one frame of a link, and a frame has at most 16 MB.
	MaxOrderBytes = 8 << 20
	// taskOverheadBytes is added for each task to its payload. On links a task
	// takes up to 6 bytes more than its payload.
	taskOverheadBytes = 8
)

// Order is the content of one submission: its kind, deadline and payloads.
type Order struct {
	submission identity.Submission
	kind       string
	deadline   time.Time
	payloads   [][]byte
	digest     [sha256.Size]byte
}

// NewOrder returns an order with its digest, which detects the reuse of a key for
// other content. It fails if there is no task or no kind.
func NewOrder(s identity.Submission, kind string, deadline time.Time, payloads [][]byte) (Order, error) {
	if len(payloads) == 0 {
		return Order{}, errors.Errorf("submission %s has no tasks", s)
	}
	if kind == "" {
		return Order{}, errors.Errorf("submission %s has no kind", s)
	}
	return Order{
		submission: s,
		kind:       kind,
		deadline:   deadline,
		payloads:   payloads,
		digest:     computeDigest(kind, deadline, payloads),
	}, nil
}

func computeDigest(kind string, deadline time.Time, payloads [][]byte) [sha256.Size]byte {
	h := sha256.New()
	var n [8]byte
	write := func(p []byte) {
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		h.Write(n[:])
		h.Write(p)
	}
	write([]byte(kind))
	binary.BigEndian.PutUint64(n[:], uint64(deadline.UnixMilli()))
	h.Write(n[:])
	for _, p := range payloads {
		write(p)
	}
	return [sha256.Size]byte(h.Sum(nil))
}

// Submission returns the key of the submission.
func (o Order) Submission() identity.Submission {
	return o.submission
}

// Kind returns the name of the request kind.
func (o Order) Kind() string {
	return o.kind
}

// Deadline returns the time after which the caller has no use for the answer. It
// is zero if there is none.
func (o Order) Deadline() time.Time {
	return o.deadline
}

// Payloads returns the payload of each task, in the order of the tasks.
func (o Order) Payloads() [][]byte {
	return o.payloads
}

// Digest returns the SHA-256 of the kind, the deadline and the payloads.
func (o Order) Digest() [sha256.Size]byte {
	return o.digest
}

// Bytes returns the total size of the payloads.
func (o Order) Bytes() int {
	n := 0
	for _, p := range o.payloads {
		n += len(p)
	}
	return n
}

// TooLarge reports whether the order exceeds MaxOrderBytes and may not fit into a
// frame.
func (o Order) TooLarge() bool {
	return o.Bytes()+taskOverheadBytes*len(o.payloads) > MaxOrderBytes
}
