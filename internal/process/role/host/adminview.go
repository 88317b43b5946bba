package host

import (
	"encoding/hex"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/role/publisher"
	"greengagedoor.example/greengagedoor/internal/version/configuration"
)

type teamView struct {
	Team       string      `json:"team"`
	Share      float64     `json:"share"`
	HomeRegion int         `json:"home_region"`
	Tokens     []tokenView `json:"tokens"`
}

// tokenView identifies a token by the prefix of its hash.
type tokenView struct {
	Access string `json:"access"`
	Hash   string `json:"hash_prefix"`
}

type quotaView struct {
	Team  string  `json:"team"`
	Share float64 `json:"share"`
}

type kindView struct {
	Team         string  `json:"team"`
	Kind         string  `json:"kind"`
	RunsOn       string  `json:"runs_on"`
	Service      string  `json:"service"`
	Urgency      string  `json:"urgency"`
	CommitmentMS int64   `json:"commitment_ms"`
	RunTimeMS    int64   `json:"run_time_ms"`
	Spread       float64 `json:"spread"`
	Harm         int     `json:"harm"`
	Repeatable   bool    `json:"repeatable"`
	MaxStarts    int     `json:"max_starts"`
	PayloadBytes int     `json:"payload_bytes"`
	Long         bool    `json:"long"`
	MilliCores   int64   `json:"milli_cores"`
	MemoryBytes  int64   `json:"memory_bytes"`
	Accelerators int64   `json:"accelerators"`
	Preemption   string  `json:"preemption"`
}

type commitmentView struct {
	Team         string `json:"team"`
	Kind         string `json:"kind"`
	Urgency      string `json:"urgency"`
	CommitmentMS int64  `json:"commitment_ms"`
}

type statusView struct {
	Stored  uint64       `json:"version_stored"`
	Local   uint64       `json:"version_here"`
	Drained []string     `json:"drained,omitempty"`
	Rollout *rolloutView `json:"spread,omitempty"`
}

type rolloutView struct {
	Version uint64 `json:"version"`
	InForce uint32 `json:"processes_in_force"`
	Members uint32 `json:"processes"`
}

type versionView struct {
	Version uint64 `json:"version"`
	Key     string `json:"key"`
}

type recordView struct {
	Operator string `json:"who"`
	EndedAt  string `json:"when"`
	Key      string `json:"key"`
	Base     uint64 `json:"base"`
	Version  uint64 `json:"version,omitempty"`
	Result   string `json:"result"`
}

type changeView struct {
	Place  string `json:"place"`
	Field  string `json:"field,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
	Effect string `json:"effect"`
}

type problemView struct {
	Place   string `json:"place"`
	Field   string `json:"field"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

func viewTeam(t configuration.Team) teamView {
	v := teamView{
		Team:       t.Name(),
		Share:      t.Share(),
		HomeRegion: t.HomeRegion(),
		Tokens:     []tokenView{},
	}
	for _, h := range t.TokenHashes() {
		sum := h.Sum()
		v.Tokens = append(v.Tokens, tokenView{
			Access: h.Access(),
			Hash:   hex.EncodeToString(sum[:4]),
		})
	}
	return v
}

func viewKind(k configuration.Kind) kindView {
	return kindView{
		Team:         k.Team(),
		Kind:         k.Name(),
		RunsOn:       k.BackEnd().String(),
		Service:      k.Service(),
		Urgency:      k.Urgency().String(),
		CommitmentMS: k.Commitment().Milliseconds(),
		RunTimeMS:    k.RunTime().Milliseconds(),
		Spread:       k.Spread(),
		Harm:         k.Harm(),
		Repeatable:   k.Repeatable(),
		MaxStarts:    k.MaxStarts(),
		PayloadBytes: k.PayloadBytes(),
		Long:         k.Long(),
		MilliCores:   k.Resources().MilliCores(),
		MemoryBytes:  k.Resources().MemoryBytes(),
		Accelerators: k.Resources().Accelerators(),
		Preemption:   k.Preemption().String(),
	}
}

func viewRecord(r publisher.Record) recordView {
	return recordView{
		Operator: r.Operator(),
		EndedAt:  r.EndedAt().UTC().Format(time.RFC3339Nano),
		Key:      r.Key(),
		Base:     r.Base(),
		Version:  r.Version(),
		Result:   r.State().String(),
	}
}

func viewChanges(changes []configuration.Change) []changeView {
	list := []changeView{}
	for _, c := range changes {
		list = append(list, changeView{
			Place:  c.Place(),
			Field:  c.Field(),
			Before: c.Before(),
			After:  c.After(),
			Effect: c.Effect(),
		})
	}
	return list
}

func viewProblems(ps configuration.Problems) []problemView {
	var list []problemView
	for _, p := range ps {
		list = append(list, problemView{
			Place:   p.Place(),
			Field:   p.Field(),
			Value:   p.Value(),
			Allowed: p.Allowed(),
		})
	}
	return list
}
