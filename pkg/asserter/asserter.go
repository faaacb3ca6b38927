// Package asserter checks the program's invariants while it runs. A broken
// invariant is counted by name and logged; in tests it is fatal.
package asserter

import (
	"maps"
	"sync"
)

// Asserter counts broken invariants. It is safe for concurrent use.
type Asserter struct {
	// OnBroken is called for each broken invariant with its name and
	// key/value pairs. Tests fail in it, processes log in it.
	OnBroken func(name string, pairs ...any)

	mu     sync.Mutex
	broken map[string]int64
}

// New returns an Asserter that reports each broken invariant to onBroken.
func New(onBroken func(name string, pairs ...any)) *Asserter {
	return &Asserter{
		OnBroken: onBroken,
		broken:   map[string]int64{},
	}
}

// Check counts the invariant as broken and reports it when ok is false.
func (a *Asserter) Check(ok bool, name string, pairs ...any) {
	if ok {
		return
	}
	a.mu.Lock()
	a.broken[name]++
	a.mu.Unlock()
	a.OnBroken(name, pairs...)
}

// Holds is like Check, and returns ok so that callers can skip the work that
// depends on a broken invariant.
func (a *Asserter) Holds(ok bool, name string, pairs ...any) bool {
	a.Check(ok, name, pairs...)
	return ok
}

// Broken returns the number of violations by invariant name.
func (a *Asserter) Broken() map[string]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.broken)
}

// Total returns the number of violations of all invariants.
func (a *Asserter) Total() int64 {
	var n int64
	for _, count := range a.Broken() {
		n += count
	}
	return n
}
