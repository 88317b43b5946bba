package configuration

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// kindsDocument contains the kinds of one team by column. With the field names
// repeated for each kind, 260 teams with 20 kinds would exceed the largest store
// value.
type kindsDocument struct {
	Name         []string  `json:"name,omitempty"`
	RunsOn       []string  `json:"runs_on,omitempty"`
	Service      []string  `json:"service,omitempty"`
	Urgency      []string  `json:"urgency,omitempty"`
	CommitmentMS []int64   `json:"commitment_ms,omitempty"`
	RunTimeMS    []int64   `json:"run_time_ms,omitempty"`
	Spread       []float64 `json:"spread,omitempty"`
	Harm         []int     `json:"harm,omitempty"`
	MaxStarts    []int     `json:"max_starts,omitempty"`
	PayloadBytes []int     `json:"payload_bytes,omitempty"`
	Repeatable   []bool    `json:"repeatable,omitempty"`
	Long         []bool    `json:"long,omitempty"`
	MilliCores   []int64   `json:"milli_cores,omitempty"`
	MemoryBytes  []int64   `json:"memory_bytes,omitempty"`
	Accelerators []int64   `json:"accelerators,omitempty"`
	Preemption   []int     `json:"preemption,omitempty"`
}

func encodeKinds(kinds []Kind) kindsDocument {
	var d kindsDocument
	for _, k := range kinds {
		d.Name = append(d.Name, k.name)
		d.RunsOn = append(d.RunsOn, k.backEnd.String())
		d.Service = append(d.Service, k.service)
		d.Urgency = append(d.Urgency, k.urgency.String())
		d.CommitmentMS = append(d.CommitmentMS, k.commitment.Milliseconds())
		d.RunTimeMS = append(d.RunTimeMS, k.runTime.Milliseconds())
		d.Spread = append(d.Spread, k.spread)
		d.Harm = append(d.Harm, k.harm)
		d.MaxStarts = append(d.MaxStarts, k.maxStarts)
		d.PayloadBytes = append(d.PayloadBytes, k.payloadBytes)
		d.Repeatable = append(d.Repeatable, k.repeatable)
		d.Long = append(d.Long, k.long)
		d.MilliCores = append(d.MilliCores, k.resources.milliCores)
		d.MemoryBytes = append(d.MemoryBytes, k.resources.memoryBytes)
		d.Accelerators = append(d.Accelerators, k.resources.accelerators)
		d.Preemption = append(d.Preemption, int(k.preemption))
	}
	return d
}

// columns returns the length of each column by its JSON name.
func (d kindsDocument) columns() map[string]int {
	return map[string]int{
		"runs_on":       len(d.RunsOn),
		"service":       len(d.Service),
		"urgency":       len(d.Urgency),
		"commitment_ms": len(d.CommitmentMS),
		"run_time_ms":   len(d.RunTimeMS),
		"spread":        len(d.Spread),
		"harm":          len(d.Harm),
		"max_starts":    len(d.MaxStarts),
		"payload_bytes": len(d.PayloadBytes),
		"repeatable":    len(d.Repeatable),
		"long":          len(d.Long),
		"milli_cores":   len(d.MilliCores),
		"memory_bytes":  len(d.MemoryBytes),
		"accelerators":  len(d.Accelerators),
		"preemption":    len(d.Preemption),
	}
}

func (b *builder) kinds(team string, d kindsDocument) []Kind {
	complete := true
	columns := d.columns()
	for _, name := range slices.Sorted(maps.Keys(columns)) {
		if n := columns[name]; n != len(d.Name) {
			complete = false
			b.problems = append(b.problems, NewProblem("team "+team, "kinds."+name, strconv.Itoa(n)+" values", strconv.Itoa(len(d.Name))+" values, one for each name"))
		}
	}
	if !complete {
		return nil
	}
	kinds := make([]Kind, 0, len(d.Name))
	for i := range d.Name {
		k, err := d.kind(team, i)
		b.addError("kind "+team+"/"+d.Name[i], err)
		kinds = append(kinds, k)
	}
	return kinds
}

func (d kindsDocument) kind(team string, i int) (Kind, error) {
	urgency, err := ParseUrgency(d.Urgency[i])
	if err != nil {
		return Kind{}, err
	}
	k, err := NewKind(team, d.Name[i], d.Service[i], urgency,
		time.Duration(d.CommitmentMS[i])*time.Millisecond, time.Duration(d.RunTimeMS[i])*time.Millisecond)
	if err != nil {
		return Kind{}, err
	}
	if d.MaxStarts[i] < 1 || d.PayloadBytes[i] < 1 {
		return Kind{}, errors.Errorf("max_starts %d and payload_bytes %d must be positive", d.MaxStarts[i], d.PayloadBytes[i])
	}
	if d.Preemption[i] < 0 || d.Preemption[i] > int(MayCheckpoint|MayThrottle|MayStop) {
		return Kind{}, errors.Errorf("preemption is %d, allowed are 0 to 7", d.Preemption[i])
	}
	k = k.WithHarm(d.Harm[i]).WithMaxStarts(d.MaxStarts[i]).WithPayloadBytes(d.PayloadBytes[i]).
		WithLong(d.Long[i]).WithSpread(d.Spread[i]).WithRepeatable(d.Repeatable[i])
	r, err := NewResources(d.MilliCores[i], d.MemoryBytes[i], d.Accelerators[i])
	if err != nil {
		return Kind{}, err
	}
	switch {
	case d.RunsOn[i] == "worker":
		return k.WithWorker(r, Preemption(d.Preemption[i])), nil
	case d.RunsOn[i] != "target":
		return Kind{}, errors.Errorf("runs_on is %q, allowed are target and worker", d.RunsOn[i])
	case r != (Resources{}) || d.Preemption[i] != 0:
		return Kind{}, errors.New("resources and preemption are for kinds that run on workers")
	}
	return k, nil
}
