package scale

import (
	"runtime"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// threadTime returns the processor time that the calling thread has used. Unlike getrusage(2) it is not rounded to the kernel's tick.
func threadTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}

// measureThreadTime runs work on a locked thread and returns the processor time of that thread. Unlike wall-clock time it is not
// stretched by other load on the machine, except through shared caches and cores.
func measureThreadTime(work func()) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	start := threadTime()
	work()
	return threadTime() - start
}

// workItem is work that consists of the given number of operations.
type workItem struct {
	operations int
	work       func()
}

// medianCosts returns, for each item, the median over rounds of the processor time per operation, in microseconds. Each round runs all
// items in turn, so that other load on the machine affects all of them alike.
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
