// The stand-ins and the scripts of the second review: a store, runners and clients that
// follow the users' pages, around processes of the system on loopback addresses.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitUnrun  = 2
)

// scripts maps the name of a case to its script.
var scripts = map[string]func(c *scene) error{
	"timed":       timed,
	"restarted":   restarted,
	"saved":       saved,
	"soak":        soak,
	"crowd":       crowd,
	"foreign":     foreign,
	"heartbeat":   heartbeat,
	"reservation": reservation,
}

// scene is what a script gets.
type scene struct {
	w       *world
	binary  string
	trouble bool
}

func main() {
	if len(os.Args) != 4 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: players CASE BINARY RECORD")
		os.Exit(exitUnrun)
	}
	w, err := newWorld(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUnrun)
	}
	c := &scene{w: w, binary: os.Args[2], trouble: os.Getenv("TROUBLE") != "0"}
	err = scripts[os.Args[1]](c)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.note("not run", "error", err)
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUnrun)
	}
	w.judge()
	if len(w.broken) > 0 {
		fmt.Println("broken:", w.broken)
		os.Exit(exitBroken)
	}
	fmt.Println("held")
	os.Exit(exitHeld)
}
