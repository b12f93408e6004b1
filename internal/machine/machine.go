// Package machine tells what this process may use of its machine.
package machine

import (
	"math"
	"syscall"

	"golang.org/x/sys/unix"
)

// Memory returns the memory in bytes that this process may use: mib MiB, or all memory of the machine if mib is 0.
func Memory(mib int) int64 {
	if mib > 0 {
		return int64(mib) << 20
	}
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return math.MaxInt32 // the call fails only for an invalid address
	}
	return int64(uint64(info.Totalram) * uint64(info.Unit))
}

// Descriptors returns how many descriptors this process may have open: limit, or what the kernel allows if that is less or limit is 0.
func Descriptors(limit int) int {
	var allowed syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &allowed) != nil || allowed.Cur > math.MaxInt32 {
		allowed.Cur = math.MaxInt32
	}
	if limit > 0 {
		return min(limit, int(allowed.Cur))
	}
	return int(allowed.Cur)
}
