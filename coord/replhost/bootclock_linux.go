package replhost

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock keeps running while the operating system as a whole is suspended.
//
// Without it, the monotonic clock of a suspended leader stands still, and after the
// resume it answers reads on a lease that ended long ago while another leader has
// committed more.
type BootClock struct{ SystemClock }

// Now returns the time since the machine booted, suspensions included, as a time
// without a date.
func (BootClock) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has this clock since 2.6.39. Falling back to a clock of another origin
		// could make time go backwards, which the core takes as no time passing.
		panic("replhost: no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
