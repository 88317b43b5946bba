package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// The payloads as they stand in the body of a request: the second ends in the first half of
// a character, as a text does that was cut after a number of UTF-16 units.
const (
	wholeCharacter = `"1000/50 tegning \ud83d\ude00"`
	halfCharacter  = `"1000/50 tegning \ud83d"`
)

// halfOfCharacter sends a job whose payload ends in half of a character.
var halfOfCharacter = scenario{
	size: size{
		entries:  1,
		agents:   2,
		memoryMB: 284,
		timeout:  deadline,
		relays:   true,
	},
	play: func(in *installation, trouble bool) (bool, error) {
		const job = "5c0e7a21d94b36f8"
		sent := wholeCharacter
		if trouble {
			sent = halfCharacter
		}
		body := fmt.Sprintf(`{"spec":%s,"bestEffort":true,"steps":[{"count":1,"cpu":1000,"estimateMs":50}]}`, sent)
		in.rec.note("client sends POST of job %s with spec %s", job, sent)
		a := in.entries[0].post(job, body, deadline)
		in.rec.note("POST is answered: %v", a)
		starts := in.late.startsOf(job)
		in.rec.note("%d starts of the job reached targets", len(starts))
		other := 0
		for _, b := range starts {
			var start struct {
				Spec json.RawMessage `json:"spec"`
			}
			if err := json.Unmarshal(b, &start); err != nil {
				return false, err
			}
			want, got := units(sent), units(string(start.Spec))
			in.rec.note("sent %x", want)
			in.rec.note("told %x", got)
			if string(utf16Text(want)) != string(utf16Text(got)) {
				other++
			}
		}
		in.rec.note("%d starts have another spec than the client sent", other)
		if !trouble && len(starts) == 0 {
			return false, fmt.Errorf("no start reached a target")
		}
		return other > 0, nil
	},
}

// utf16Text returns the units of a text as bytes.
func utf16Text(list []uint16) []byte {
	var b []byte
	for _, u := range list {
		b = append(b, byte(u>>8), byte(u))
	}
	return b
}

// units returns the UTF-16 units of a JSON text, halves of characters too.
func units(literal string) []uint16 {
	var list []uint16
	for s := literal[1 : len(literal)-1]; len(s) > 0; {
		if s[0] != '\\' {
			r, n := utf8.DecodeRuneInString(s)
			list = append(list, utf16.Encode([]rune{r})...)
			s = s[n:]
			continue
		}
		if s[1] != 'u' {
			list = append(list, uint16(s[1]))
			s = s[2:]
			continue
		}
		u, err := strconv.ParseUint(s[2:6], 16, 16)
		if err != nil {
			return nil
		}
		list = append(list, uint16(u))
		s = s[6:]
	}
	return list
}
