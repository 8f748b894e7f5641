package router

// HeapShare is the share of the router's memory that its heap may take. The rest is for the program itself, stacks and the kernel's buffers.
const HeapShare = 0.6

// memoryBudgets divides the memory that clients can fill, in bytes.
type memoryBudgets struct {
	output     int64 // queued in all connections: results, and statements for servers
	results    int64 // of the output: results, from the request for their pages until they are written
	statements int64 // of requests in progress; incomplete messages get half as much beside it
}

const (
	// ownHeap is what the heap holds beside what clients can fill, in bytes.
	ownHeap = 5 << 20
	// connectionMemory is what a client's connection takes, in bytes: a read buffer and the stacks of its goroutines.
	connectionMemory = 12 << 10
)

// divideMemory divides a router's memory, for the given number of clients' connections. Together the budgets take seven twelfths of what is
// left, as a slice that grows takes up to half as much again, and what has been freed is collected later. Output has room for all results
// and for a copy of all statements: none that is within its own budget can make it exceed its limit.
func divideMemory(bytes int64, connections int) memoryBudgets {
	heap := int64(float64(bytes) * HeapShare)
	free := max(heap-ownHeap-int64(connections)*connectionMemory, heap/4)
	return memoryBudgets{output: free / 3, results: free / 6, statements: free / 6}
}
