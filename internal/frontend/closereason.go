package frontend

// CloseReason is why the router closes a client connection.
type CloseReason uint8

// The reasons for closing a client connection.
const (
	Kept         CloseReason = iota // it is not closed
	NothingWhole                    // no complete message came in time
	IdleLong                        // no request came for a long time
	RoomNeeded                      // another client needs the descriptor
	NoRoom                          // there was no descriptor for it: its first request was rejected
	Unreadable                      // a message can't be read
	RouterEnds                      // the router has been asked to stop
	ClientClosed                    // the client has closed its side, and all requests are answered

	CloseReasons = iota // number of reasons
)

func (r CloseReason) String() string {
	return [...]string{"kept", "nothing whole came", "idle", "room needed", "no room", "unreadable", "router ends", "client closed"}[r]
}
