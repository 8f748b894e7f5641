package fake

import (
	"fmt"
	"sync"
)

// Desk is a program that uses stand-ins, in place of a test: what it has begun ends with End, the last first.
type Desk struct {
	mu       sync.Mutex
	cleanups []func()
}

// Helper does nothing: there is no test whose lines could be named.
func (d *Desk) Helper() {}

// Fatal panics with its arguments as text.
func (d *Desk) Fatal(args ...any) { panic(fmt.Sprint(args...)) }

// Cleanup registers a function that End calls.
func (d *Desk) Cleanup(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cleanups = append(d.cleanups, f)
}

// End all.
func (d *Desk) End() {
	d.mu.Lock()
	cleanups := d.cleanups
	d.cleanups = nil
	d.mu.Unlock()
	for k := len(cleanups) - 1; k >= 0; k-- {
		cleanups[k]()
	}
}
