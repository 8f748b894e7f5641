package scale

import (
	"runtime"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// threadTime is the processor time that the calling thread has used. Unlike getrusage(2) it is not rounded to the kernel's tick.
func threadTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}

// measureThreadTime runs work on a thread of its own and gives the processor time of that thread. Other load on the machine stretches
// the time on the wall and not this one, but for caches and cores that are shared.
func measureThreadTime(work func()) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	start := threadTime()
	work()
	return threadTime() - start
}

// workItem is work that does so many operations.
type workItem struct {
	operations int
	work       func()
}

// medianCosts gives, for each of several pieces of work, the median over rounds of the processor time of one of its operations in
// microseconds. Each round runs all of them in turn, so that what else the machine does meets all alike.
func medianCosts(rounds int, items []workItem) []float64 {
	costs := make([][]float64, len(items))
	for range rounds {
		for k, item := range items {
			costs[k] = append(costs[k], measureThreadTime(item.work).Seconds()*1e6/float64(item.operations))
		}
	}
	medians := make([]float64, len(items))
	for k := range costs {
		slices.Sort(costs[k])
		medians[k] = costs[k][rounds/2]
	}
	return medians
}
