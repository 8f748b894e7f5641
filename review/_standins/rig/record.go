// Package rig holds the stand-ins that the cases of the review share: a name server, sql engines, clients, and the platform that starts
// routers by the command of the deploy file. All addresses are loopback addresses, all times are the real clock's.
package rig

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Run is one run of a case: its record, its temporary folder, and what has to be ended when it is over.
type Run struct {
	Trouble bool // the disruption takes place
	Dir     string
	root    string
	command string
	start   time.Time
	mu      sync.Mutex
	exit    sync.Mutex
	file    *os.File
	ends    []func()
}

// New begins a run. The folder of the case is the first argument of the program; root and command come from run.sh.
func New() *Run {
	runtime.LockOSThread() // the thread that starts routers lives as long as the program
	folder := os.Args[1]
	r := &Run{Trouble: os.Getenv("TROUBLE") != "0", root: os.Getenv("ROOT"), command: os.Getenv("RUN_COMMAND"), start: time.Now()}
	var err error
	if r.file, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	if r.Dir, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	if r.command == "" || r.root == "" {
		r.Exit(NotRun, "no command of the deploy file")
	}
	r.Logf("case %s, trouble %v, router by %q", filepath.Base(folder), r.Trouble, r.command)
	const longest = 110 * time.Second // a case has 120 s
	time.AfterFunc(longest, func() { r.Exit(NotRun, "the case took longer than %v", longest) })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() { r.Exit(NotRun, "ended by %v", <-signals) }()
	return r
}

// Now returns the seconds since the run began.
func (r *Run) Now() float64 { return time.Since(r.start).Seconds() }

// Logf writes one line to the record.
func (r *Run) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", r.Now(), fmt.Sprintf(format, args...))
}

// OnEnd registers what the end of the run has to do.
func (r *Run) OnEnd(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = append(r.ends, f)
}

// Exit ends all that the run has started, and the program.
func (r *Run) Exit(code int, format string, args ...any) {
	r.exit.Lock() // held until the program ends: a second call waits
	verdict := [...]string{"HELD", "BROKEN", "NOT RUN"}[code]
	r.mu.Lock()
	ends := r.ends
	r.ends = nil
	r.mu.Unlock()
	for k := len(ends) - 1; k >= 0; k-- {
		ends[k]()
	}
	text := strings.TrimSpace(fmt.Sprintf(format, args...))
	r.Logf("%s: %s", verdict, text)
	os.RemoveAll(r.Dir) // before the line below, which ends the program where nobody reads it any more
	fmt.Printf("%s: %s\n", verdict, text)
	os.Exit(code)
}

// Sleep waits for a number of seconds.
func Sleep(seconds float64) { time.Sleep(time.Duration(seconds * 1e9)) }
