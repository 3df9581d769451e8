package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotRun says that a case couldn't run.
var errNotRun = errors.New("the case couldn't run")

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(rec *recorder, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, path string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	rec, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, trouble %t", name, trouble)
	broken, err := play(rec, trouble)
	code := exitHeld
	switch {
	case err != nil:
		rec.say("%v: %v", errNotRun, err)
		code = exitNotRun
	case broken:
		rec.say("the rule was broken")
		code = exitBroken
	default:
		rec.say("the rule held")
	}
	if err := rec.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return code
}
