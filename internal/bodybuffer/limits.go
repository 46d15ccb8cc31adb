package bodybuffer

const (
	// DefaultMemory is the memory of a process, in bytes, if its settings name none.
	DefaultMemory = 384 << 20
	// memoryDivisor divides the memory of a process; the quotient is the budget. The rest is
	// for everything else and for buffers that the garbage collector has not freed yet.
	memoryDivisor = 3
	// ownerShare is the part of the budget that one owner may hold. A half would not suffice for
	// 300 bodies of 72 KB without an announced length in a router of 136 MB.
	ownerShare = 2.0 / 3
	// unfinishedBytes is the part of the budget, in bytes, for each unfinished body. It bounds
	// the number of unfinished bodies, since each also costs a connection: socket buffers, read
	// and write buffers and the stack of a goroutine.
	unfinishedBytes = 32 << 10
	// reservedFDs are the file descriptors that are not for callers, unless these would have
	// less than one in minFDDivisor. Of the others, one in targetFDDivisor is for connections
	// to targets, and one in unfinishedFDDivisor may belong to an unfinished body.
	reservedFDs         = 200
	minFDDivisor        = 4
	targetFDDivisor     = 4
	unfinishedFDDivisor = 2
)

// Limits are the limits on the bodies in a process.
type Limits struct {
	// Bytes bounds the memory of all bodies, in bytes.
	Bytes int64
	// Unfinished bounds the number of bodies that have not arrived completely.
	Unfinished int
	// Connections bounds the number of callers' connections; zero for no limit. It is higher
	// than Unfinished, so that a new request can replace an unfinished one.
	Connections int
}

// LimitsFor returns the limits for a process with an amount of memory, in bytes, and a maximum
// number of file descriptors. Zero means that the process has DefaultMemory, or no maximum.
func LimitsFor(memory int64, maxFDs int) Limits {
	if memory <= 0 {
		memory = DefaultMemory
	}
	l := Limits{Bytes: memory / memoryDivisor}
	l.Unfinished = int(max(1, l.Bytes/unfinishedBytes))
	if maxFDs > 0 {
		callers := max(maxFDs-reservedFDs, maxFDs/minFDDivisor)
		l.Connections = max(2, callers-callers/targetFDDivisor)
		l.Unfinished = min(l.Unfinished, max(1, callers/unfinishedFDDivisor))
	}
	return l
}

// ownerBytes returns how many bytes one owner may hold.
func (l Limits) ownerBytes() int64 { return int64(ownerShare * float64(l.Bytes)) }

// ForConnections returns the limits for a process that bounds its callers' connections by
// other means, to n.
func (l Limits) ForConnections(n int) Limits {
	l.Unfinished = min(l.Unfinished, max(1, n/unfinishedFDDivisor))
	return l
}
