// Package clock reads the boot clock of the VM. It never goes back within one boot, and
// all processes of the VM read the same clock, so that two readings tell which of two
// events on the VM came first.
package clock

import (
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

const (
	bootIDPath = "/proc/sys/kernel/random/boot_id"
	// timeNamespacePath names the time namespace. Another namespace may shift the clock.
	timeNamespacePath = "/proc/self/ns/time"
)

// Boot is a boot of the VM, with one reading of its clock.
type Boot struct {
	// ID identifies the boot; 0 if it isn't known.
	ID uint64
	// ReadingNS is the reading of the clock in nanoseconds, at the time At or before.
	ReadingNS int64
	At        time.Time
}

// ReadBoot reads the boot clock. The ID of the result is 0 if the clock can't be read or
// its boot can't be identified.
func ReadBoot() Boot {
	id, err := os.ReadFile(bootIDPath)
	if err != nil || len(id) == 0 {
		return Boot{}
	}
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return Boot{}
	}
	// Kernels before 5.6 have no time namespaces.
	namespace, _ := os.Readlink(timeNamespacePath)
	return Boot{ID: xxhash.Sum64String(string(id) + namespace), ReadingNS: t.Nano(), At: time.Now()}
}

// ReadingAt returns a reading of the clock that it had reached at a time, in nanoseconds.
// It falls behind the clock while the VM is suspended.
func (b Boot) ReadingAt(t time.Time) int64 { return b.ReadingNS + t.Sub(b.At).Nanoseconds() }
