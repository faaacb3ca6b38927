// Command stand runs one case of the review: it starts the project's processes and
// stand-ins for the platform's store, the runners, the operator and the clients on
// loopback addresses, plays the case and checks its rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case on a system that is not started yet.
type scenario struct {
	entries int
	runners int
	behave  func(task string, run int) behaviour
	cpuOf   func(task string) int
	// maxHoldMs is the bound MaxHoldMs; 0 is the default.
	maxHoldMs int64
	play      func(s *system, trouble bool)
}

func main() {
	name := flag.String("case", "", "the case to play")
	recordPath := flag.String("record", "record.txt", "the file for the record")
	keep := flag.Bool("keep", false, "keep the folder with the settings and logs of the processes")
	flag.Parse()
	os.Exit(run(*name, *recordPath, os.Getenv("TROUBLE") != "0", *keep))
}

func run(name, recordPath string, trouble, keep bool) int {
	sc, ok := scenarios()[name]
	if !ok {
		fmt.Printf("no case is called %q\n", name)
		return exitNotRun
	}
	file, err := os.Create(recordPath)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	if keep {
		fmt.Println("settings and logs:", dir)
	} else {
		defer os.RemoveAll(dir)
	}
	rec := &record{w: file, began: time.Now()}
	rec.add("case %s, trouble %v", name, trouble)
	s := newSystem(rec, dir, sc)
	defer s.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		fail("interrupted")
	}()
	sc.play(s, trouble)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) > 0 {
		fmt.Printf("broken, %d times; the first: %s\n", len(s.faults), s.faults[0])
		return exitBroken
	}
	rec.add("the rule held")
	fmt.Println("held")
	return exitHeld
}
