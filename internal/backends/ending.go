package backends

import (
	"dunereach/admission"
	"dunereach/internal/transport"
)

// How sends end that bring no result: by an engine's word, or by the end of their connection. This is the one
// place where either becomes the module's End.

func byWord(word []byte) (admission.End, bool) {
	switch string(word) {
	case "overload":
		return admission.TurnedAway, true
	case "crashed":
		return admission.Errored, true
	case "nobody":
		return admission.Moot, true
	}
	return 0, false
}

// byConnection: what had no byte written never ran; anything else may have.
func byConnection(how transport.Ending, begun bool) admission.End {
	switch {
	case how == transport.Refused || how == transport.NeverUp || !begun:
		return admission.Unreachable
	default:
		return admission.Cut
	}
}
