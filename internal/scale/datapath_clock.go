package scale

import (
	"runtime"
	"slices"
	"syscall"
	"time"
)

// rusageThread asks Getrusage for the calling thread alone (getrusage(2), Linux).
const rusageThread = 1

// usedBy is the processor time, user and system, that a process or thread has used.
func usedBy(who int) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(who, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// onThread runs work on a thread of its own and gives the processor time of that thread. Other load on the machine stretches
// the time on the wall and not this one, but for caches that are shared.
func onThread(work func()) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	began := usedBy(rusageThread)
	work()
	return usedBy(rusageThread) - began
}

// medianCosts gives, for each of several pieces of work, the median over rounds of the processor time of one of its operations in
// microseconds. Each round runs all of them in turn, so that what else the machine does meets all alike. A piece of work is to
// take some milliseconds: the kernel counts processor time in steps.
func medianCosts(rounds int, pieces []piece) []float64 {
	costs := make([][]float64, len(pieces))
	for range rounds {
		for k, p := range pieces {
			costs[k] = append(costs[k], onThread(p.work).Seconds()*1e6/float64(p.operations))
		}
	}
	medians := make([]float64, len(pieces))
	for k := range costs {
		slices.Sort(costs[k])
		medians[k] = costs[k][rounds/2]
	}
	return medians
}

// piece is work that does so many operations.
type piece struct {
	operations int
	work       func()
}
