package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"
)

// Store keys of the head and of the versions.
const (
	HeadKey       = "config/head"
	VersionPrefix = "config/version/"
)

// Bounds of a stored head.
const (
	maxHeadBytes = 4096
	// maxPrior is the number of previous writes that a head names. A writer whose
	// response was lost finds its change key among them, unless more than maxPrior
	// versions were applied before it could read the head again.
	maxPrior          = 16
	maxChangeKeyBytes = 64
)

// Head names the active version, the change that wrote it and the latest previous
// writes. The zero value is the head before the first version.
type Head struct {
	version   uint64
	digest    [sha256.Size]byte
	changeKey string
	prior     []HeadWrite
}

// HeadWrite is one write of the head: a version and the change that applied it.
type HeadWrite struct {
	version   uint64
	changeKey string
}

func (w HeadWrite) Version() uint64 {
	return w.version
}

// ChangeKey is the idempotency key of the change.
func (w HeadWrite) ChangeKey() string {
	return w.changeKey
}

type headDocument struct {
	Version   uint64 `json:"version"`
	SHA256    string `json:"sha256"`
	ChangeKey string `json:"mark"`

	Prior []headWriteDocument `json:"prior,omitempty"`
}

type headWriteDocument struct {
	Version   uint64 `json:"version"`
	ChangeKey string `json:"mark"`
}

// ValidChangeKey reports whether a key has 1 to 64 bytes of printable ASCII
// without spaces and without the characters that JSON escapes, so that its stored
// form is bounded.
func ValidChangeKey(changeKey string) bool {
	if changeKey == "" || len(changeKey) > maxChangeKeyBytes {
		return false
	}
	for i := range len(changeKey) {
		if c := changeKey[i]; c <= ' ' || c >= 0x7f || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			return false
		}
	}
	return true
}

// NewHead returns the head of a version with the stored body. changeKey is the
// idempotency key of the change, by which a writer recognizes its own write after a
// lost response.
func NewHead(version uint64, body []byte, changeKey string) (Head, error) {
	if version == 0 || !ValidChangeKey(changeKey) {
		return Head{}, errors.Errorf("head has version %d and change key %q, want a version above 0 and a valid key", version, changeKey)
	}
	return Head{
		version:   version,
		digest:    sha256.Sum256(body),
		changeKey: changeKey,
	}, nil
}

// WithPrevious returns a copy of h that names the write of the previous head and
// the writes that the previous head named, bounded to the latest 16.
func (h Head) WithPrevious(previous Head) Head {
	if previous.version == 0 {
		return h
	}
	h.prior = append([]HeadWrite{{
		version:   previous.version,
		changeKey: previous.changeKey,
	}}, previous.prior...)
	h.prior = h.prior[:min(len(h.prior), maxPrior)]
	return h
}

// Prior returns the previous writes, the latest first.
func (h Head) Prior() []HeadWrite {
	return h.prior
}

// Find returns the version that the change with the key wrote.
func (h Head) Find(changeKey string) (uint64, bool) {
	if h.changeKey == changeKey {
		return h.version, true
	}
	for _, w := range h.prior {
		if w.changeKey == changeKey {
			return w.version, true
		}
	}
	return 0, false
}

// Covers reports whether h names the writes of all versions after the given one, so
// that Find cannot miss one of them.
func (h Head) Covers(version uint64) bool {
	if h.version <= version || len(h.prior) < maxPrior {
		return true
	}
	return h.prior[len(h.prior)-1].version <= version
}

// Version is the number of the active version, 0 before the first.
func (h Head) Version() uint64 {
	return h.version
}

// Digest is the SHA-256 of the version's stored body.
func (h Head) Digest() [sha256.Size]byte {
	return h.digest
}

// ChangeKey is the idempotency key of the change that wrote the head.
func (h Head) ChangeKey() string {
	return h.changeKey
}

// Key is the store key of the active version's body.
func (h Head) Key() string {
	return VersionKey(h.version)
}

// Check returns an error if the digest of body differs from that of the head.
func (h Head) Check(body []byte) error {
	if sum := sha256.Sum256(body); sum != h.digest {
		return errors.Errorf("body of version %d has SHA-256 %x, want %x from the head", h.version, sum, h.digest)
	}
	return nil
}

// VersionKey is the store key of a version's body.
func VersionKey(version uint64) string {
	return VersionPrefix + strconv.FormatUint(version, 10)
}

// EncodeHead returns the stored JSON form of a head.
func EncodeHead(h Head) ([]byte, error) {
	d := headDocument{
		Version:   h.version,
		SHA256:    hex.EncodeToString(h.digest[:]),
		ChangeKey: h.changeKey,
	}
	for _, w := range h.prior {
		d.Prior = append(d.Prior, headWriteDocument{
			Version:   w.version,
			ChangeKey: w.changeKey,
		})
	}
	data, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "encode head")
	}
	if len(data) > maxHeadBytes {
		return nil, errors.Errorf("head has %d bytes, want at most %d", len(data), maxHeadBytes)
	}
	return data, nil
}

// DecodeHead returns the head that data encodes.
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
		version:   d.Version,
		digest:    [sha256.Size]byte(sum),
		changeKey: d.ChangeKey,
	}
	if len(d.Prior) > maxPrior {
		return Head{}, errors.Errorf("head names %d former writers, at most %d are allowed", len(d.Prior), maxPrior)
	}
	for _, w := range append(d.Prior, headWriteDocument{
		Version:   d.Version,
		ChangeKey: d.ChangeKey,
	}) {
		if w.Version == 0 || !ValidChangeKey(w.ChangeKey) {
			return Head{}, errors.Errorf("head names version %d with mark %q: version 0 and such marks are not allowed", w.Version, w.ChangeKey)
		}
	}
	for _, w := range d.Prior {
		h.prior = append(h.prior, HeadWrite{
			version:   w.Version,
			changeKey: w.ChangeKey,
		})
	}
	return h, nil
}
