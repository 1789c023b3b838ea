package burdockcapacitylab

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// heapOf returns the result of build and the heap bytes that it retains.
func heapOf[T any](build func() T) (T, int64) {
	before := liveHeap()
	kept := build()
	heapBytes := liveHeap() - before
	return kept, heapBytes
}

func liveHeap() int64 {
	runtime.GC()
	runtime.GC() // frees what the first run finalized
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// minMeasuredTime is the minimum processor time for which an operation is repeated.
const minMeasuredTime = 300 * time.Millisecond

// processorTime returns the processor time of one call of op, measured for the whole
// process and including garbage collection. Other load on the machine affects it far
// less than wall-clock time.
func processorTime(op func()) time.Duration {
	op()
	runtime.GC()
	for n := 1; ; n *= 2 {
		before := processCPUTime()
		for range n {
			op()
		}
		if spent := processCPUTime() - before; spent >= minMeasuredTime {
			return spent / time.Duration(n)
		}
	}
}

func processCPUTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		panic(err) // fails only for an invalid argument
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
