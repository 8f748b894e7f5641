package hollow

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Peak is the highest resource usage observed for the fleet's processes.
type Peak struct {
	CPU                  float64 // cores used by the busiest coordinator, over a second
	CoordinatorBytesPerS float64 // bytes per second, in and out, of the busiest coordinator
	MemoryMB             float64 // of all processes together, including this one
	CoordinatorMemoryMB  float64 // memory in MB of the largest coordinator
	Descriptors          int     // open descriptors of the coordinator with the most
	Processes            int
}

// sampler reads the resource usage of all processes once a second.
type sampler struct {
	fleet *Fleet
	stop  chan struct{}
	ended chan struct{}

	mu       sync.Mutex
	peak     Peak
	limitErr error // set once a limit of the machine was exceeded
}

const sampleInterval = time.Second

func newSampler(f *Fleet) *sampler {
	s := &sampler{fleet: f, stop: make(chan struct{}), ended: make(chan struct{})}
	go s.run()
	return s
}

func (s *sampler) run() {
	defer close(s.ended)
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	last := map[int]Usage{}
	at := time.Now()
	for {
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
		elapsed := time.Since(at).Seconds()
		at = time.Now()
		last = s.sample(last, elapsed)
	}
}

// sample reads the usage of all processes once. previous is the coordinators' usage at the last sample, by process id.
func (s *sampler) sample(previous map[int]Usage, elapsed float64) map[int]Usage {
	now := map[int]Usage{}
	total := Peak{Processes: 1}
	add := func(pid int) (Usage, bool) {
		u, err := usageOf(pid)
		if err != nil {
			return u, false // the process has just ended
		}
		total.MemoryMB += u.MemoryMB
		total.Processes++
		return u, true
	}
	if u, err := usageOf(os.Getpid()); err == nil {
		total.MemoryMB += u.MemoryMB
	}
	for _, w := range s.fleet.workers {
		add(w.cmd.Process.Pid)
	}
	for _, pid := range s.fleet.coordinatorPIDs() {
		u, ok := add(pid)
		if !ok {
			continue
		}
		now[pid] = u
		total.CoordinatorMemoryMB = max(total.CoordinatorMemoryMB, u.MemoryMB)
		total.Descriptors = max(total.Descriptors, u.Descriptors)
		if before, ok := previous[pid]; ok {
			total.CPU = max(total.CPU, (u.CPU-before.CPU)/elapsed)
			total.CoordinatorBytesPerS = max(total.CoordinatorBytesPerS, (u.TransferredBytes-before.TransferredBytes)/elapsed)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peak.RaiseTo(total)
	if total.MemoryMB > MaxMemoryMB || total.Processes > MaxProcesses {
		s.limitErr = fmt.Errorf("%d processes use %.0f MB: the limits are %d processes and %d MB", total.Processes, total.MemoryMB, MaxProcesses, MaxMemoryMB)
	}
	return now
}

// RaiseTo sets each figure to the larger one of p and o.
func (p *Peak) RaiseTo(o Peak) {
	p.CPU, p.CoordinatorBytesPerS = max(p.CPU, o.CPU), max(p.CoordinatorBytesPerS, o.CoordinatorBytesPerS)
	p.MemoryMB, p.CoordinatorMemoryMB = max(p.MemoryMB, o.MemoryMB), max(p.CoordinatorMemoryMB, o.CoordinatorMemoryMB)
	p.Descriptors, p.Processes = max(p.Descriptors, o.Descriptors), max(p.Processes, o.Processes)
}

// err returns an error if a limit of the machine was exceeded. It works on a nil sampler.
func (s *sampler) err() error {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limitErr
}

func (s *sampler) close() {
	close(s.stop)
	<-s.ended
}

// TakePeak returns the peak since the last call and resets it.
func (f *Fleet) TakePeak() Peak {
	f.sampler.mu.Lock()
	defer f.sampler.mu.Unlock()
	p := f.sampler.peak
	f.sampler.peak = Peak{}
	return p
}
