package history

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// maxLine bounds a log line; longer ones are findings.
const maxLine = 1 << 20

// Line is one log line.
type Line struct {
	Time   time.Time
	Entry  string // name of the entry that wrote it
	Fields map[string]string
	Text   string // the line without its time, level and leading columns
}

// Read reads the log of one entry, or of several when each line names its entry before its time. Lines that are no log lines are
// findings with their number.
func Read(r io.Reader, name string) (lines []Line, findings []error, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for number := 1; scanner.Scan(); number++ {
		text := scanner.Text()
		if !strings.Contains(text, "time=") {
			continue // columns of other programs, and blank lines
		}
		line, err := parse(text, name)
		if err != nil {
			findings = append(findings, fmt.Errorf("%s:%d: %w", name, number, err))
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return lines, findings, fmt.Errorf("%s: %w", name, err)
	}
	return lines, findings, nil
}

func parse(text, name string) (Line, error) {
	before, rest, _ := strings.Cut(text, "time=")
	if columns := strings.Fields(before); len(columns) > 0 {
		name = columns[len(columns)-1]
	}
	stamp, rest, _ := strings.Cut(rest, " ")
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil {
		return Line{}, fmt.Errorf("time %q: %w", stamp, err)
	}
	line := Line{Time: at, Entry: name, Fields: map[string]string{}, Text: rest}
	if level, after, ok := strings.Cut(rest, " "); ok && level == "level=info" {
		line.Text = after
	}
	for rest != "" {
		var key, value string
		key, value, rest, err = pair(rest)
		if err != nil {
			return Line{}, err
		}
		line.Fields[key] = value
	}
	return line, nil
}

// pair cuts the first "key=value" off a line. A value may be quoted.
func pair(text string) (key, value, rest string, err error) {
	key, after, ok := strings.Cut(strings.TrimLeft(text, " "), "=")
	if !ok {
		return "", "", "", fmt.Errorf("%q is no key=value pair", text)
	}
	if !strings.HasPrefix(after, `"`) {
		value, rest, _ = strings.Cut(after, " ")
		return key, value, rest, nil
	}
	quoted, err := strconv.QuotedPrefix(after)
	if err != nil {
		return "", "", "", fmt.Errorf("value of %s: %w", key, err)
	}
	value, err = strconv.Unquote(quoted)
	return key, value, strings.TrimLeft(after[len(quoted):], " "), err
}
