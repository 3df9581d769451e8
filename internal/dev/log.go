package dev

import (
	"bytes"
	"io"
)

// withoutDecisions drops the lines of the decision log, which don't follow the log level.
type withoutDecisions struct{ out io.Writer }

// Write implements io.Writer. The writer of log lines passes whole lines.
func (w withoutDecisions) Write(p []byte) (int, error) {
	var kept []byte
	for line := range bytes.Lines(p) {
		if !bytes.Contains(line, []byte(" message=decision ")) {
			kept = append(kept, line...)
		}
	}
	if len(kept) == 0 {
		return len(p), nil
	}
	if _, err := w.out.Write(kept); err != nil {
		return 0, err
	}
	return len(p), nil
}
