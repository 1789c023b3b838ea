package burdockcapacitylab

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// heapOf returns what build keeps alive on the heap.
func heapOf[T any](build func() T) (T, int64) {
	before := heap()
	kept := build()
	held := heap() - before
	return kept, held
}

func heap() int64 {
	runtime.GC()
	runtime.GC() // what the first one finalised
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// atLeast is the processor time over which an operation is repeated.
const atLeast = 300 * time.Millisecond

// processorTime returns what one call of operation costs in processor time of
// the whole process, collection of garbage included. Others' load on the
// machine shows in it far less than in time on the wall.
func processorTime(operation func()) time.Duration {
	operation()
	runtime.GC()
	for n := 1; ; n *= 2 {
		before := used()
		for range n {
			operation()
		}
		if spent := used() - before; spent >= atLeast {
			return spent / time.Duration(n)
		}
	}
}

func used() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		panic(err) // it fails only for a wrong argument
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
