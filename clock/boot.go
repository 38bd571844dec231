// Package clock reads the boot clock of the VM. It never goes back within one boot, and
// all processes of the VM read the same clock, so that two readings tell which of two
// events on the VM came first.
package clock

import (
	"os"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

const (
	bootIDPath = "/proc/sys/kernel/random/boot_id"
	// timeNamespacePath names the time namespace. Another namespace may shift the clock.
	timeNamespacePath = "/proc/self/ns/time"
)

// Boot returns a number that identifies the boot of the VM, and the time namespace if
// the kernel has them; 0 if the boot can't be identified.
func Boot() uint64 {
	id, err := os.ReadFile(bootIDPath)
	if err != nil || len(id) == 0 {
		return 0
	}
	// Kernels before 5.6 have no time namespaces.
	namespace, _ := os.Readlink(timeNamespacePath)
	return xxhash.Sum64String(string(id) + namespace)
}

// ReadingNS returns the reading of the boot clock in nanoseconds, or 0 if it can't be
// read.
func ReadingNS() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return t.Nano()
}
