package configuration

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
)

// MaxBytes is the largest size of an encoded version: the store accepts values up
// to 1 MB.
const MaxBytes = 1_000_000

// document is the stored JSON form of a version. Durations are in milliseconds.
type document struct {
	Version   uint64            `json:"version"`
	Limits    limitsDocument    `json:"limits"`
	Admission admissionDocument `json:"admission"`
	Tokens    []tokenDocument   `json:"tokens,omitempty"`
	Workers   []workerDocument  `json:"workers,omitempty"`
	Drained   []string          `json:"drained,omitempty"`
	Teams     []teamDocument    `json:"teams"`
}

type limitsDocument struct {
	MaxTasks    int   `json:"max_tasks"`
	RetentionMS int64 `json:"retention_ms"`
	Regions     int   `json:"regions"`
}

type admissionDocument struct {
	ReservedSlots int     `json:"reserved_slots"`
	LongShare     float64 `json:"long_share"`
	RetryBudget   float64 `json:"retry_budget"`
	MaxWaiting    int     `json:"max_waiting"`
}

type workerDocument struct {
	Name         string `json:"name"`
	MilliCores   int64  `json:"milli_cores"`
	MemoryBytes  int64  `json:"memory_bytes"`
	Accelerators int64  `json:"accelerators"`
}

type teamDocument struct {
	Name       string          `json:"name"`
	Share      float64         `json:"share"`
	HomeRegion int             `json:"home_region"`
	Tokens     []tokenDocument `json:"tokens,omitempty"`
	Kinds      kindsDocument   `json:"kinds"`
}

type tokenDocument struct {
	Access string `json:"access"`
	SHA256 string `json:"sha256"`
}

// Encode returns the stored form of a version. Equal values give equal bytes. It
// fails if the form exceeds MaxBytes.
func Encode(c *Configuration) ([]byte, error) {
	d := document{
		Version: c.version,
		Limits: limitsDocument{
			MaxTasks:    c.limits.maxTasks,
			RetentionMS: c.limits.retention.Milliseconds(),
			Regions:     c.limits.regions,
		},
		Admission: admissionDocument{
			ReservedSlots: c.limits.admission.reservedSlots,
			LongShare:     c.limits.admission.longShare,
			RetryBudget:   c.limits.admission.retryBudget,
			MaxWaiting:    c.limits.admission.maxWaiting,
		},
		Tokens:  encodeTokens(c.tokens),
		Drained: c.drained,
	}
	for _, w := range c.workers {
		d.Workers = append(d.Workers, workerDocument{
			Name:         w.name,
			MilliCores:   w.resources.milliCores,
			MemoryBytes:  w.resources.memoryBytes,
			Accelerators: w.resources.accelerators,
		})
	}
	kinds := map[string][]Kind{}
	for _, k := range c.Kinds() {
		kinds[k.team] = append(kinds[k.team], k)
	}
	for _, t := range c.Teams() {
		d.Teams = append(d.Teams, teamDocument{
			Name:       t.name,
			Share:      t.share,
			HomeRegion: t.homeRegion,
			Tokens:     encodeTokens(t.tokenHashes),
			Kinds:      encodeKinds(kinds[t.name]),
		})
	}
	data, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	if len(data) > MaxBytes {
		return nil, errors.Errorf("configuration has %d bytes, want at most %d, the bound of a store value", len(data), MaxBytes)
	}
	return data, nil
}

func encodeTokens(hashes []TokenHash) []tokenDocument {
	var ds []tokenDocument
	for _, h := range hashes {
		ds = append(ds, tokenDocument{
			Access: h.access,
			SHA256: hex.EncodeToString(h.sum[:]),
		})
	}
	return ds
}

// decodeStrict decodes one JSON value into v. It fails on unknown fields and on
// data after the value.
func decodeStrict(data []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return errors.WithStack(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("there is data behind the value")
	}
	return nil
}

// Decode returns the version that data encodes. Its error lists all invalid values;
// Check reports contradictions between valid ones.
func Decode(data []byte) (*Configuration, error) {
	if len(data) > MaxBytes {
		return nil, errors.Errorf("configuration has %d bytes, at most %d are allowed", len(data), MaxBytes)
	}
	var d document
	if err := decodeStrict(data, &d); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	b := &builder{}
	limits := b.limits(d)
	tokens := b.tokens("configuration", d.Tokens)
	var workers []WorkerClass
	for _, wd := range d.Workers {
		r, err := NewResources(wd.MilliCores, wd.MemoryBytes, wd.Accelerators)
		b.addError("worker "+wd.Name, err)
		w, err := NewWorkerClass(wd.Name, r)
		b.addError("worker "+wd.Name, err)
		workers = append(workers, w)
	}
	var teams []Team
	var kinds []Kind
	for _, td := range d.Teams {
		t, err := NewTeam(td.Name, td.Share, td.HomeRegion)
		b.addError("team "+td.Name, err)
		teams = append(teams, t.WithTokens(b.tokens("team "+td.Name, td.Tokens)))
		kinds = append(kinds, b.kinds(td.Name, td.Kinds)...)
	}
	if err := b.problems.Err(); err != nil {
		return nil, err
	}
	c, err := New(d.Version, limits, teams, kinds)
	if err != nil {
		return nil, err
	}
	return c.WithWorkers(workers).WithTokens(tokens).WithDrained(d.Drained), nil
}

// builder converts the parts of a document and collects their problems.
type builder struct {
	problems Problems
}

func (b *builder) addError(place string, err error) {
	if err != nil {
		b.problems = append(b.problems, NewProblem(place, "value", err.Error(), "see docs/configuration.md"))
	}
}

func (b *builder) limits(d document) Limits {
	l, err := NewLimits(d.Limits.MaxTasks, time.Duration(d.Limits.RetentionMS)*time.Millisecond)
	b.addError("limits", err)
	if d.Limits.Regions < 1 {
		b.addError("limits", errors.Errorf("regions is %d, allowed is at least 1", d.Limits.Regions))
	}
	a, err := NewAdmission(d.Admission.ReservedSlots, d.Admission.LongShare, d.Admission.RetryBudget, d.Admission.MaxWaiting)
	b.addError("admission", err)
	return l.WithRegions(d.Limits.Regions).WithAdmission(a)
}

func (b *builder) tokens(place string, ds []tokenDocument) []TokenHash {
	var hashes []TokenHash
	for _, d := range ds {
		h, err := ParseTokenHash(d.Access, d.SHA256)
		b.addError(place, err)
		hashes = append(hashes, h)
	}
	return hashes
}

// ParseTokenHash returns the hash of a token from its access and its SHA-256 in
// hexadecimal.
func ParseTokenHash(access, sum string) (TokenHash, error) {
	raw, err := hex.DecodeString(sum)
	if err != nil || len(raw) != 32 {
		return TokenHash{}, errors.New("sha256 of a token is not 32 bytes in hexadecimal")
	}
	return NewTokenHash(access, [32]byte(raw))
}
