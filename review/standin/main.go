package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// caseFunc plays a case and reports whether the rule was broken.
type caseFunc func(w *world) (ruleBroken bool, err error)

var cases = map[string]caseFunc{
	"late-stop": lateStop,
	"silence":   silence,
	"path":      path,
	"pipeline":  pipeline,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: world CASE REPOSITORY RECORD")
		return cannotRun
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "unknown case or folder:", err)
		return cannotRun
	}
	w, err := newWorld(root, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		_ = w.close(os.Args[3])
		os.Exit(cannotRun)
	}()
	w.note("case %s, trouble %v", os.Args[1], w.trouble)
	ruleBroken, err := cases[os.Args[1]](w)
	code := held
	switch {
	case err != nil:
		code = cannotRun
		w.note("the case couldn't run: %v", err)
	case ruleBroken:
		code = broken
		w.note("the rule was broken")
	default:
		w.note("the rule held")
	}
	if err := w.close(os.Args[3]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	return code
}
