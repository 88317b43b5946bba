package configuration

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// MaxBytes is the largest encoded version: the store holds values up to 1 MB.
const MaxBytes = 1_000_000

// document and its parts are the stored form of a version. Durations are in
// milliseconds.
type document struct {
	Version     uint64         `json:"version"`
	MaxTasks    int            `json:"max_tasks"`
	RetentionMS int64          `json:"retention_ms"`
	Teams       []teamDocument `json:"teams"`
}

type teamDocument struct {
	Name       string          `json:"name"`
	Share      float64         `json:"share"`
	HomeRegion int             `json:"home_region"`
	Tokens     []tokenDocument `json:"tokens,omitempty"`
	Kinds      []kindDocument  `json:"kinds"`
}

type tokenDocument struct {
	Access string `json:"access"`
	SHA256 string `json:"sha256"`
}

type kindDocument struct {
	Name         string `json:"name"`
	RunsOn       string `json:"runs_on"`
	Service      string `json:"service"`
	Urgency      string `json:"urgency"`
	CommitmentMS int64  `json:"commitment_ms"`
	RunTimeMS    int64  `json:"run_time_ms"`
	Harm         int    `json:"harm"`
	MaxStarts    int    `json:"max_starts"`
	PayloadBytes int    `json:"payload_bytes"`
	Long         bool   `json:"long,omitempty"`
	MilliCores   int64  `json:"milli_cores,omitempty"`
	MemoryBytes  int64  `json:"memory_bytes,omitempty"`
	Accelerators int64  `json:"accelerators,omitempty"`
	Preemption   uint8  `json:"preemption,omitempty"`
}

// Encode returns the stored form of a version, the same bytes for equal values.
func Encode(c *Configuration) ([]byte, error) {
	d := document{
		Version:     c.version,
		MaxTasks:    c.limits.maxTasks,
		RetentionMS: c.limits.retention.Milliseconds(),
	}
	kinds := map[string][]kindDocument{}
	for _, k := range c.Kinds() {
		kinds[k.team] = append(kinds[k.team], encodeKind(k))
	}
	for _, t := range c.Teams() {
		d.Teams = append(d.Teams, encodeTeam(t, kinds[t.name]))
	}
	data, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	if len(data) > MaxBytes {
		return nil, errors.Errorf("configuration has %d bytes, at most %d fit the store", len(data), MaxBytes)
	}
	return data, nil
}

func encodeTeam(t Team, kinds []kindDocument) teamDocument {
	d := teamDocument{
		Name:       t.name,
		Share:      t.share,
		HomeRegion: t.homeRegion,
		Kinds:      kinds,
	}
	for _, h := range t.tokenHashes {
		d.Tokens = append(d.Tokens, tokenDocument{
			Access: h.access,
			SHA256: hex.EncodeToString(h.sum[:]),
		})
	}
	return d
}

func encodeKind(k Kind) kindDocument {
	return kindDocument{
		Name:         k.name,
		RunsOn:       k.backEnd.String(),
		Service:      k.service,
		Urgency:      k.urgency.String(),
		CommitmentMS: k.commitment.Milliseconds(),
		RunTimeMS:    k.runTime.Milliseconds(),
		Harm:         k.harm,
		MaxStarts:    k.maxStarts,
		PayloadBytes: k.payloadBytes,
		Long:         k.long,
		MilliCores:   k.resources.milliCores,
		MemoryBytes:  k.resources.memoryBytes,
		Accelerators: k.resources.accelerators,
		Preemption:   uint8(k.preemption),
	}
}

// Decode checks and rebuilds a stored version.
func Decode(data []byte) (*Configuration, error) {
	if len(data) > MaxBytes {
		return nil, errors.Errorf("configuration has %d bytes, at most %d are allowed", len(data), MaxBytes)
	}
	var d document
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	limits, err := NewLimits(d.MaxTasks, time.Duration(d.RetentionMS)*time.Millisecond)
	if err != nil {
		return nil, err
	}
	var teams []Team
	var kinds []Kind
	for _, td := range d.Teams {
		t, ks, err := decodeTeam(td)
		if err != nil {
			return nil, err
		}
		teams = append(teams, t)
		kinds = append(kinds, ks...)
	}
	return New(d.Version, limits, teams, kinds)
}

func decodeTeam(d teamDocument) (Team, []Kind, error) {
	t, err := NewTeam(d.Name, d.Share, d.HomeRegion)
	if err != nil {
		return Team{}, nil, err
	}
	var hashes []TokenHash
	for _, td := range d.Tokens {
		sum, err := hex.DecodeString(td.SHA256)
		if err != nil || len(sum) != 32 {
			return Team{}, nil, errors.Errorf("team %s: sha256 of a token is not 32 bytes in hexadecimal", d.Name)
		}
		h, err := NewTokenHash(td.Access, [32]byte(sum))
		if err != nil {
			return Team{}, nil, errors.Wrapf(err, "team %s", d.Name)
		}
		hashes = append(hashes, h)
	}
	var kinds []Kind
	for _, kd := range d.Kinds {
		k, err := decodeKind(d.Name, kd)
		if err != nil {
			return Team{}, nil, err
		}
		kinds = append(kinds, k)
	}
	return t.WithTokens(hashes), kinds, nil
}

func decodeKind(team string, d kindDocument) (Kind, error) {
	urgency, err := ParseUrgency(d.Urgency)
	if err != nil {
		return Kind{}, errors.Wrapf(err, "kind %s of team %s", d.Name, team)
	}
	k, err := NewKind(team, d.Name, d.Service, urgency,
		time.Duration(d.CommitmentMS)*time.Millisecond, time.Duration(d.RunTimeMS)*time.Millisecond)
	if err != nil {
		return Kind{}, err
	}
	if d.MaxStarts < 1 || d.PayloadBytes < 1 {
		return Kind{}, errors.Errorf("kind %s of team %s: max_starts %d and payload_bytes %d must be positive", d.Name, team, d.MaxStarts, d.PayloadBytes)
	}
	k = k.WithHarm(d.Harm).WithMaxStarts(d.MaxStarts).WithPayloadBytes(d.PayloadBytes).WithLong(d.Long)
	switch d.RunsOn {
	case "target":
		return k, nil
	case "worker":
		r, err := NewResources(d.MilliCores, d.MemoryBytes, d.Accelerators)
		if err != nil {
			return Kind{}, errors.Wrapf(err, "kind %s of team %s", d.Name, team)
		}
		return k.WithWorker(r, Preemption(d.Preemption)), nil
	}
	return Kind{}, errors.Errorf("kind %s of team %s: runs_on is %q, allowed are target and worker", d.Name, team, d.RunsOn)
}
