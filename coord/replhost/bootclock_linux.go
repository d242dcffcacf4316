package replhost

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock goes on while the operating system as a whole is suspended.
//
// What goes wrong without it: a suspended leader wakes, its monotonic clock has
// stood still, and it answers reads on a lease that ended long ago while another
// leader has committed more.
type BootClock struct{ SystemClock }

// Now returns the time since the boot of the machine, suspensions included, as
// a time without a date.
func (BootClock) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has the clock since 2.6.39. A clock of another origin would make
		// times go back, which the core takes as no time passing.
		panic("replhost: no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
