package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// result of a case, as its exit code.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// cases are the cases by name. A case gets whether its disruption takes place.
var cases = map[string]func(w *world, trouble bool) (int, error){
	"spoiled-header": spoiledHeader, "smuggled": smuggled, "encoded-slash": encodedSlash, "gone": gone, "drill": drill, "roll": roll, "replaced": replaced,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD")
		os.Exit(cannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// longestRun is the time after which a case is ended.
const longestRun = 110 * time.Second

func play(name, record string) int {
	w, err := newWorld(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	go func() {
		ended := make(chan os.Signal, 1)
		signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-ended:
		case <-time.After(longestRun):
		}
		w.close()
		os.Exit(cannotRun)
	}()
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, trouble %t, entries run %s", name, trouble, strings.Join(w.command, " "))
	code, err := cases[name](w, trouble)
	if err != nil {
		w.note("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	w.note("exit %d", code)
	return code
}
