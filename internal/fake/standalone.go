package fake

import (
	"fmt"
	"sync"
)

// Standalone implements T for programs that use the fakes outside of tests. RunCleanups runs the registered cleanups,
// last first.
type Standalone struct {
	mu       sync.Mutex
	cleanups []func()
}

// Helper does nothing, since there is no test log with line numbers.
func (d *Standalone) Helper() {}

// Fatal panics with its arguments as text.
func (d *Standalone) Fatal(args ...any) { panic(fmt.Sprint(args...)) }

// Cleanup registers a function that RunCleanups calls.
func (d *Standalone) Cleanup(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cleanups = append(d.cleanups, f)
}

// RunCleanups runs all cleanups, the last registered first.
func (d *Standalone) RunCleanups() {
	d.mu.Lock()
	cleanups := d.cleanups
	d.cleanups = nil
	d.mu.Unlock()
	for k := len(cleanups) - 1; k >= 0; k-- {
		cleanups[k]()
	}
}
