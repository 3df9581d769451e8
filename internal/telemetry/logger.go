package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// timeFormat has a fixed width, so that lines align.
const timeFormat = "2006-01-02T15:04:05.000Z"

// NewLogger returns a logger that writes key=value lines to out, from the level on. Level is debug, info, warn or
// error. now gives the time of each line. The logger is safe for concurrent use; each line is one Write on out.
func NewLogger(out io.Writer, level string, now func() time.Time) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		return zerolog.Nop(), fmt.Errorf("log level %q is not debug, info, warn or error", level)
	}
	return zerolog.New(&keyValueWriter{out: out, now: now}).Level(l), nil
}

// keyValueWriter turns the flat JSON objects that zerolog writes into key=value lines.
type keyValueWriter struct {
	mu  sync.Mutex
	out io.Writer
	now func() time.Time
	buf []byte
}

// Write converts and writes one event.
func (w *keyValueWriter) Write(event []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.buf = append(w.buf[:0], "time="...)
	w.buf = w.now().UTC().AppendFormat(w.buf, timeFormat)
	w.buf = appendPairs(w.buf, event)
	w.buf = append(w.buf, '\n')
	if _, err := w.out.Write(w.buf); err != nil {
		return 0, fmt.Errorf("write log line: %w", err)
	}
	return len(event), nil
}

// appendPairs appends the members of a JSON object as " key=value". Text after a fault of the JSON is left out.
func appendPairs(line, object []byte) []byte {
	i := 0
	for i < len(object) {
		if object[i] != '"' {
			i++
			continue
		}
		keyEnd := endOfString(object, i)
		if keyEnd >= len(object) || object[keyEnd] != ':' {
			return line
		}
		valueEnd := endOfValue(object, keyEnd+1)
		line = append(line, ' ')
		line = appendKey(line, object[i+1:keyEnd-1])
		line = append(line, '=')
		line = appendValue(line, object[keyEnd+1:valueEnd])
		i = valueEnd
	}
	return line
}

// endOfString returns the index after the JSON string that starts at i.
func endOfString(data []byte, i int) int {
	for i++; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(data)
}

// endOfValue returns the index after the JSON value that starts at i.
func endOfValue(data []byte, i int) int {
	depth := 0
	for i < len(data) {
		switch data[i] {
		case '"':
			i = endOfString(data, i)
			if depth == 0 {
				return i
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return i
			}
			depth--
		case ',':
			if depth == 0 {
				return i
			}
		}
		i++
	}
	return i
}

// plain reports whether c needs no quoting in a value.
func plain(c byte) bool {
	return c > ' ' && c < 0x7f && c != '"' && c != '=' && c != '\\'
}

func appendKey(line, key []byte) []byte {
	for _, c := range key {
		if !plain(c) {
			c = '_'
		}
		line = append(line, c)
	}
	return line
}

// appendValue appends a JSON value: a string without quotes when it needs none, a list or object as a quoted text.
func appendValue(line, value []byte) []byte {
	if len(value) >= 2 && value[0] == '"' {
		if inner := value[1 : len(value)-1]; len(inner) > 0 && allPlain(inner) {
			return append(line, inner...)
		}
		return append(line, value...)
	}
	if allPlain(value) {
		return append(line, value...)
	}
	return appendQuoted(line, string(value))
}

func allPlain[T string | []byte](text T) bool {
	for i := range len(text) {
		if !plain(text[i]) {
			return false
		}
	}
	return true
}

// appendText appends a text, quoted when it needs quotes.
func appendText(line []byte, text string) []byte {
	if text != "" && allPlain(text) {
		return append(line, text...)
	}
	return appendQuoted(line, text)
}
