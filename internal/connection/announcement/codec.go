package announcement

import (
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// document is the body of POST /v1/announce.
type document struct {
	Target      string   `json:"target"`
	URL         string   `json:"url"`
	Services    []string `json:"services"`
	Slots       int      `json:"slots"`
	Connections int      `json:"connections"`
	Leaving     bool     `json:"leaving"`
}

// Decode reads an announcement; the error is ErrInvalid if the JSON was
// understood. An unknown field is an error, since it may be a misspelt one.
func Decode(r io.Reader) (Announcement, error) {
	var d document
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return Announcement{}, errors.Wrap(err, "decode announcement")
	}
	return New(d.Target, d.URL, d.Services, d.Slots, d.Connections, d.Leaving)
}

// Encode returns the body that a target sends.
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

// WithLeaving returns the announcement with the mark that the target is leaving.
func (a Announcement) WithLeaving() Announcement {
	a.leaving = true
	return a
}
