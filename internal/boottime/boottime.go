// Package boottime reads the clock that leases are measured with. It is monotonic and, unlike the usual monotonic clock, also advances
// while the machine is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

var start = time.Now()

// Now returns the seconds since the machine was booted.
func Now() float64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 1e6 + time.Since(start).Seconds() // no CLOCK_BOOTTIME: after a suspension of the machine an expired lease may seem valid
	}
	return float64(t.Sec) + float64(t.Nsec)/1e9
}
