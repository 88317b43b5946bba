package configuration

import (
	"bytes"
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

// maxHeadBytes bounds a stored head: three short fields.
const maxHeadBytes = 512

// Head names the version in force.
type Head struct {
	version uint64
	digest  [sha256.Size]byte
	mark    string
}

type headDocument struct {
	Version uint64 `json:"version"`
	SHA256  string `json:"sha256"`
	Mark    string `json:"mark"`
}

// NewHead returns the head of a version with the stored body. The mark is unique
// to one attempt to move the head, so that the writer can recognize its own
// write after a lost answer.
func NewHead(version uint64, body []byte, mark string) (Head, error) {
	if version == 0 || mark == "" {
		return Head{}, errors.Errorf("head of version %d with mark %q: neither may be empty", version, mark)
	}
	return Head{
		version: version,
		digest:  sha256.Sum256(body),
		mark:    mark,
	}, nil
}

// Version is the number of the version in force.
func (h Head) Version() uint64 {
	return h.version
}

// Digest is the SHA-256 of the version's stored body.
func (h Head) Digest() [sha256.Size]byte {
	return h.digest
}

// Mark identifies the attempt that wrote the head.
func (h Head) Mark() string {
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
	data, err := json.Marshal(headDocument{
		Version: h.version,
		SHA256:  hex.EncodeToString(h.digest[:]),
		Mark:    h.mark,
	})
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
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return Head{}, errors.Wrap(err, "decode head")
	}
	sum, err := hex.DecodeString(d.SHA256)
	if err != nil || len(sum) != sha256.Size {
		return Head{}, errors.Errorf("sha256 of the head is %q, want 32 bytes in hexadecimal", d.SHA256)
	}
	if d.Version == 0 || d.Mark == "" {
		return Head{}, errors.Errorf("head of version %d with mark %q: neither may be empty", d.Version, d.Mark)
	}
	return Head{
		version: d.Version,
		digest:  [sha256.Size]byte(sum),
		mark:    d.Mark,
	}, nil
}
