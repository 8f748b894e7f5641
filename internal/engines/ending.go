package engines

import (
	"dunereach/brain"
	"dunereach/internal/sockets"
)

// How sends end that bring no result: by an engine's word, or by the end of their connection. This is the one
// place where either becomes the module's End.

func byWord(word []byte) (brain.End, bool) {
	switch string(word) {
	case "overload":
		return brain.TurnedAway, true
	case "crashed":
		return brain.Errored, true
	case "nobody":
		return brain.Moot, true
	}
	return 0, false
}

// byConnection: what had no byte written never ran; anything else may have.
func byConnection(how sockets.Ending, begun bool) brain.End {
	switch {
	case how == sockets.Refused || how == sockets.NeverUp || !begun:
		return brain.Unreachable
	default:
		return brain.Cut
	}
}
