package log

import (
	"encoding/json"
	"strconv"
	"time"

	"greengagedoor.example/greengagedoor/internal/process/event"
)

// timeFormat is the format of times in lines.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// appendLine appends the JSON line of a note. An entry writes about a thousand lines
// a second at a load peak, so it is encoded without reflection where possible.
func appendLine(b []byte, at time.Time, process string, n event.Note) []byte {
	b = append(b, `{"time":"`...)
	b = at.AppendFormat(b, timeFormat)
	b = append(b, `","level":"info","process":`...)
	b = appendText(b, process)
	b = append(b, `,"event":`...)
	b = appendText(b, string(n.Name()))
	for _, f := range n.Fields() {
		b = append(b, ',')
		b = appendText(b, f.Key())
		b = append(b, ':')
		b = appendValue(b, f.Value())
	}
	return append(b, "}\n"...)
}

func appendValue(b []byte, v any) []byte {
	switch v := v.(type) {
	case string:
		return appendText(b, shorten(v))
	case int64:
		return strconv.AppendInt(b, v, 10)
	case int:
		return strconv.AppendInt(b, int64(v), 10)
	case uint64:
		return strconv.AppendUint(b, v, 10)
	case bool:
		return strconv.AppendBool(b, v)
	}
	return appendJSON(b, v)
}

// shorten cuts text that another process may have made long.
func shorten(text string) string {
	return text[:min(len(text), maxTextBytes)]
}

func appendText(b []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			return appendJSON(b, s)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

// appendJSON appends null for a value that has no JSON encoding.
func appendJSON(b []byte, v any) []byte {
	x, err := json.Marshal(v)
	if err != nil {
		return append(b, "null"...)
	}
	return append(b, x...)
}
