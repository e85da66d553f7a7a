// Package callerbudget accounts for everything that an instance holds for its callers: connections, heads, bodies and answers that
// were not taken. It refuses what exceeds the machine's memory or descriptors, and says which connections are closed to make room.
package callerbudget

const (
	// ConnectionCost is what an open connection takes in bytes: the goroutine's stack and the buffers of the HTTP server, and a usual
	// head. 1,200 connections with a short request took 20 MB, garbage included.
	ConnectionCost = 16 << 10
	// FreeSize is the size of a body in bytes up to which it may use the reserve, so that small requests are not refused for large
	// ones.
	FreeSize = 64 << 10
	// DefaultMemory applies if the machine's memory is not known, in bytes.
	DefaultMemory = 128 << 20
)

// Shares of the machine's memory.
const (
	// heapFraction is the fraction of the machine's memory that the Go runtime may use before it collects garbage more often. The
	// remainder is for what the program allocates during a collection.
	heapFraction = 0.75
	// processMemory is what the process needs without callers, in bytes: 10 to 15 MB in the tests of platform/callers, and the
	// connections of the readiness and metrics listeners.
	processMemory = 20 << 20
	// garbageFactor leaves 15 % of the heap for garbage, so that the collector does not run continuously when the budget is used up.
	garbageFactor = 1.15
	// answerFraction is the fraction of the machine's memory for the backends' answers that are being read, at most maxAnswers bytes. With
	// 22 MiB instead of 32 at 184 MB, more answers of sound backends were lost beside a backend that floods.
	answerFraction = 0.175
	maxAnswers     = 32 << 20
	// The budget is not below the smaller of minMemory and minFraction of the machine's memory.
	minMemory   = 4 << 20
	minFraction = 0.4
)

// Shares of the machine's descriptors.
const (
	// reservedFiles is the number of descriptors that the platform reserves for files.
	reservedFiles = 200
	// connectionFraction is the fraction of the remaining descriptors for callers, those of connections that are being closed included.
	// The rest is for backends, peers, the store, and the other listeners.
	connectionFraction = 0.75
	// closingFraction is the fraction of the callers' descriptors for connections that are being closed to make room.
	closingFraction = 0.1
)

// Limits are the limits of one instance.
type Limits struct {
	Heap        int64 // memory limit of the Go runtime in bytes, 0 if the machine's memory is not known
	Answers     int64 // limit of the backends' answers that are being read, in bytes
	Memory      int64 // limit of what is held for callers, in bytes
	Connections int   // limit of the callers' connections; 0 means no limit
	Closing     int   // number of connections beyond it that may be in the course of being closed
}

// LimitsFor returns the limits of a machine with the given memory in bytes and number of descriptors; zero means not known.
func LimitsFor(memory int64, descriptors int) Limits {
	l := Limits{Answers: maxAnswers, Memory: DefaultMemory}
	if memory > 0 {
		l.Heap = int64(heapFraction * float64(memory))
		l.Answers = min(int64(answerFraction*float64(memory)), maxAnswers)
		l.Memory = int64(float64(l.Heap-processMemory)/garbageFactor) - l.Answers
		l.Memory = max(l.Memory, min(minMemory, int64(minFraction*float64(memory))))
	}
	if descriptors > 0 {
		callers := connectionFraction * float64(max(descriptors-reservedFiles, descriptors/4))
		l.Closing = max(int(closingFraction*callers), 1)
		l.Connections = max(int(callers)-l.Closing, 1)
	}
	return l
}
