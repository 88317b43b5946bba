package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"
)

// The keys of the store under which versions are kept.
const (
	HeadKey       = "config/head"
	VersionPrefix = "config/version/"
)

// The bounds of a stored head.
const (
	maxHeadBytes = 4096
	// maxPrior is how many former writers a head names. A writer whose answer was
	// lost finds its mark among them unless more versions than this were applied
	// before it could read the head back.
	maxPrior     = 16
	maxMarkBytes = 64
)

// Head names the version in force.
type Head struct {
	version uint64
	digest  [sha256.Size]byte
	mark    string
	prior   []HeadWrite
}

// HeadWrite names a version with the mark of the attempt that wrote it.
type HeadWrite struct {
	version uint64
	mark    string
}

// Version is the number of the version.
func (w HeadWrite) Version() uint64 {
	return w.version
}

// ChangeKey identifies the attempt.
func (w HeadWrite) ChangeKey() string {
	return w.mark
}

type headDocument struct {
	Version uint64 `json:"version"`
	SHA256  string `json:"sha256"`
	Mark    string `json:"mark"`

	Prior []writtenDocument `json:"prior,omitempty"`
}

type writtenDocument struct {
	Version uint64 `json:"version"`
	Mark    string `json:"mark"`
}

// ValidChangeKey tells whether a mark has 1 to 64 bytes of printable ASCII without
// quotation marks and backslashes, so that its stored form is bounded.
func ValidChangeKey(mark string) bool {
	if mark == "" || len(mark) > maxMarkBytes {
		return false
	}
	for i := range len(mark) {
		if c := mark[i]; c <= ' ' || c >= 0x7f || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			return false
		}
	}
	return true
}

// NewHead returns the head of a version with the stored body. The mark is unique
// to one attempt to move the head, so that the writer can recognize its own
// write after a lost answer.
func NewHead(version uint64, body []byte, mark string) (Head, error) {
	if version == 0 || !ValidChangeKey(mark) {
		return Head{}, errors.Errorf("head of version %d with mark %q: version 0 and such marks are not allowed", version, mark)
	}
	return Head{
		version: version,
		digest:  sha256.Sum256(body),
		mark:    mark,
	}, nil
}

// WithPrevious returns h with the writers that former named, and the writer of former.
func (h Head) WithPrevious(former Head) Head {
	if former.version == 0 {
		return h
	}
	h.prior = append([]HeadWrite{{
		version: former.version,
		mark:    former.mark,
	}}, former.prior...)
	h.prior = h.prior[:min(len(h.prior), maxPrior)]
	return h
}

// Prior lists the former writers, the latest first.
func (h Head) Prior() []HeadWrite {
	return h.prior
}

// Find returns the version that the attempt with the mark wrote.
func (h Head) Find(mark string) (uint64, bool) {
	if h.mark == mark {
		return h.version, true
	}
	for _, w := range h.prior {
		if w.mark == mark {
			return w.version, true
		}
	}
	return 0, false
}

// Covers tells whether Find sees every version that was applied after the given
// one.
func (h Head) Covers(version uint64) bool {
	if h.version <= version || len(h.prior) < maxPrior {
		return true
	}
	return h.prior[len(h.prior)-1].version <= version
}

// Version is the number of the version in force.
func (h Head) Version() uint64 {
	return h.version
}

// Digest is the SHA-256 of the version's stored body.
func (h Head) Digest() [sha256.Size]byte {
	return h.digest
}

// ChangeKey identifies the attempt that wrote the head.
func (h Head) ChangeKey() string {
	return h.mark
}

// Key is the store key of the version's body.
func (h Head) Key() string {
	return VersionKey(h.version)
}

// Check tells whether body is the one that the head names.
func (h Head) Check(body []byte) error {
	if sum := sha256.Sum256(body); sum != h.digest {
		return errors.Errorf("body of version %d has SHA-256 %x, the head names %x", h.version, sum, h.digest)
	}
	return nil
}

// VersionKey is the store key of a version's body.
func VersionKey(version uint64) string {
	return VersionPrefix + strconv.FormatUint(version, 10)
}

// EncodeHead returns the stored form of a head.
func EncodeHead(h Head) ([]byte, error) {
	d := headDocument{
		Version: h.version,
		SHA256:  hex.EncodeToString(h.digest[:]),
		Mark:    h.mark,
	}
	for _, w := range h.prior {
		d.Prior = append(d.Prior, writtenDocument{
			Version: w.version,
			Mark:    w.mark,
		})
	}
	data, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "encode head")
	}
	if len(data) > maxHeadBytes {
		return nil, errors.Errorf("head has %d bytes, at most %d are allowed", len(data), maxHeadBytes)
	}
	return data, nil
}

// DecodeHead rebuilds a stored head.
func DecodeHead(data []byte) (Head, error) {
	if len(data) > maxHeadBytes {
		return Head{}, errors.Errorf("head has %d bytes, at most %d are allowed", len(data), maxHeadBytes)
	}
	var d headDocument
	if err := decodeStrict(data, &d); err != nil {
		return Head{}, errors.Wrap(err, "decode head")
	}
	sum, err := hex.DecodeString(d.SHA256)
	if err != nil || len(sum) != sha256.Size {
		return Head{}, errors.Errorf("sha256 of the head is %q, want 32 bytes in hexadecimal", d.SHA256)
	}
	h := Head{
		version: d.Version,
		digest:  [sha256.Size]byte(sum),
		mark:    d.Mark,
	}
	if len(d.Prior) > maxPrior {
		return Head{}, errors.Errorf("head names %d former writers, at most %d are allowed", len(d.Prior), maxPrior)
	}
	for _, w := range append(d.Prior, writtenDocument{
		Version: d.Version,
		Mark:    d.Mark,
	}) {
		if w.Version == 0 || !ValidChangeKey(w.Mark) {
			return Head{}, errors.Errorf("head names version %d with mark %q: version 0 and such marks are not allowed", w.Version, w.Mark)
		}
	}
	for _, w := range d.Prior {
		h.prior = append(h.prior, HeadWrite{
			version: w.Version,
			mark:    w.Mark,
		})
	}
	return h, nil
}
