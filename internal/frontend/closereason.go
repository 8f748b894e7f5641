package frontend

// CloseReason is why this side closes a client's connection.
type CloseReason uint8

// The reasons for closing a client's connection.
const (
	Kept         CloseReason = iota // it is not closed
	NothingWhole                    // no whole message came in time
	IdleLong                        // nothing was asked for long
	RoomNeeded                      // another client needs the descriptor
	NoRoom                          // there was no descriptor for it: it was turned away
	Unreadable                      // what came can't be read
	RouterEnds                      // the router has been asked to end
	ClientClosed                    // the client has closed its side, and all is answered

	CloseReasons = iota // how many there are
)

func (r CloseReason) String() string {
	return [...]string{"kept", "nothing whole came", "idle", "room needed", "no room", "unreadable", "router ends", "client closed"}[r]
}
