// Package main plays the platform, its runners and its clients around the system's own
// processes on loopback addresses, for the cases of a review.
package main

import (
	"fmt"
	"os"
	"time"
)

// The exit codes of a scenario: the rule held, it was broken, or the case couldn't run.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// longestRun is the longest time that a case may take.
const longestRun = 118 * time.Second

// scenarios are the cases, and the search for others. Without trouble, a scenario does the
// same without the disruption.
var scenarios = map[string]func(w *world, trouble bool) int{
	"blocked":  blocked,
	"added":    added,
	"blamed":   blamed,
	"reserved": reserved,
	"soak":     soak,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Println("usage: review-fleet3 blocked|added|blamed|reserved|soak RECORD")
		os.Exit(exitNoRun)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNoRun)
	}
	if os.Args[1] != "soak" {
		time.AfterFunc(longestRun, func() {
			w.record.add("could not run: it takes too long")
			w.close()
			os.Exit(exitNoRun)
		})
	}
	code := scenarios[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	w.close()
	if w.fatal != "" {
		w.record.add("could not run: %s", w.fatal)
		code = exitNoRun
	}
	w.record.add("exit %d", code)
	fmt.Println("exit", code)
	os.Exit(code)
}
