package main

import (
	"math/rand/v2"
	"os/exec"
	"runtime"
	"sync/atomic"
	"syscall"
	"unsafe"
)

// cpuSet has a bit for each processor.
type cpuSet [16]uint64

// nextCore is the processor of the next process. Runs at the same time begin at different ones.
var nextCore atomic.Int64

func init() { nextCore.Store(rand.Int64N(64)) }

// startOnOneCore starts a process that sees one processor, as the processes of the deployments do.
// The affinity concerns that process only.
func startOnOneCore(cmd *exec.Cmd) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var old, one cpuSet
	if _, _, e := syscall.RawSyscall(syscall.SYS_SCHED_GETAFFINITY, 0, unsafe.Sizeof(old), uintptr(unsafe.Pointer(&old))); e != 0 {
		return e
	}
	var usable []int
	for i := range len(old) * 64 {
		if old[i/64]&(1<<(i%64)) != 0 {
			usable = append(usable, i)
		}
	}
	k := usable[int(nextCore.Add(1))%len(usable)]
	one[k/64] = 1 << (k % 64)
	if _, _, e := syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, unsafe.Sizeof(one), uintptr(unsafe.Pointer(&one))); e != 0 {
		return e
	}
	err := cmd.Start()
	_, _, _ = syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, unsafe.Sizeof(old), uintptr(unsafe.Pointer(&old)))
	return err
}
