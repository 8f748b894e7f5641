package frontend

// CloseReason is why the router closes a client connection.
type CloseReason uint8

// The reasons for closing a client connection.
const (
	NotClosed         CloseReason = iota // it is not closed
	NoCompleteMessage                    // no complete message came in time
	Idle                                 // no request came for a long time
	DescriptorNeeded                     // another client needs the descriptor
	NoDescriptor                         // there was no descriptor for it: its first request was rejected
	Unreadable                           // a message can't be read
	RouterStopping                       // the router has been asked to stop
	ClientClosed                         // the client has closed its side, and all requests are answered
	NotReading                           // it does not read what it is sent, and the memory is needed

	CloseReasonCount = iota // number of reasons
)

func (r CloseReason) String() string {
	return [...]string{"kept", "nothing whole came", "idle", "room needed", "no room", "unreadable", "router ends", "client closed", "does not read"}[r]
}
