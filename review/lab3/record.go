package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the time since its start in seconds.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	w     *bufio.Writer
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, w: bufio.NewWriter(f), start: time.Now()}, nil
}

func (r *recorder) note(format string, args ...any) {
	at := time.Since(r.start).Seconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%9.4f %s\n", at, fmt.Sprintf(format, args...)) // close reports errors
}

// say writes a line to the record and to the standard output.
func (r *recorder) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *recorder) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.w.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}

// seconds formats a moment as in the record.
func (r *recorder) seconds(t time.Time) string {
	return fmt.Sprintf("%.3f s", t.Sub(r.start).Seconds())
}
