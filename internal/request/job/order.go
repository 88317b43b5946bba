package job

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/pkg/errors"

	"greengagedoor.example/greengagedoor/internal/process/identity"
)

const (
	// MaxOrderBytes bounds the tasks of one submission, which is one frame of a
	// link, of at most 16 MB.
	MaxOrderBytes = 8 << 20
	// taskBytes is counted for each task beside its payload; on links a task takes
	// up to 6 bytes more than its payload.
	taskOverheadBytes = 8
)

// Order is what a caller submitted: the content of one submission.
type Order struct {
	submission identity.Submission
	kind       string
	deadline   time.Time
	payloads   [][]byte
	digest     [sha256.Size]byte
}

// NewOrder checks that there is at least one task and computes the digest, by
// which the reuse of a key for another content is found.
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

// Submission names the order.
func (o Order) Submission() identity.Submission {
	return o.submission
}

// Kind is the name of the request kind.
func (o Order) Kind() string {
	return o.kind
}

// Deadline is the time after which the caller has no use for the answer; zero
// if it has none.
func (o Order) Deadline() time.Time {
	return o.deadline
}

// Payloads has the payload of each task.
func (o Order) Payloads() [][]byte {
	return o.payloads
}

// Digest tells two orders under one key apart.
func (o Order) Digest() [sha256.Size]byte {
	return o.digest
}

// Bytes is the size of all payloads.
func (o Order) Bytes() int {
	n := 0
	for _, p := range o.payloads {
		n += len(p)
	}
	return n
}

// TooLarge tells whether the order exceeds MaxOrderBytes and so may not fit a
// frame.
func (o Order) TooLarge() bool {
	return o.Bytes()+taskOverheadBytes*len(o.payloads) > MaxOrderBytes
}
