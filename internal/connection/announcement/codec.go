package announcement

import (
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// document is the JSON body of POST /v1/announce.
type document struct {
	Target      string   `json:"target"`
	URL         string   `json:"url"`
	Services    []string `json:"services"`
	Slots       int      `json:"slots"`
	Connections int      `json:"connections"`
	Leaving     bool     `json:"leaving"`
}

// Decode reads an announcement. The error wraps ErrInvalid if the JSON is well
// formed but a value is invalid. An unknown field is an error, because it may be
// a misspelt name.
func Decode(r io.Reader) (Announcement, error) {
	var d document
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return Announcement{}, errors.Wrap(err, "decode announcement")
	}
	return New(d.Target, d.URL, d.Services, d.Slots, d.Connections, d.Leaving)
}

// Encode returns the announcement as JSON.
func (a Announcement) Encode() ([]byte, error) {
	data, err := json.Marshal(document{
		Target:      a.target,
		URL:         a.url,
		Services:    a.services,
		Slots:       a.slots,
		Connections: a.connections,
		Leaving:     a.leaving,
	})
	return data, errors.Wrap(err, "encode announcement")
}

// WithLeaving returns the announcement with the flag that the target is leaving.
func (a Announcement) WithLeaving() Announcement {
	a.leaving = true
	return a
}
