package backends

import (
	"dunereach/admission"
	"dunereach/internal/transport"
)

// This file maps the ends of attempts without a result, by a server's message or by the end of their connection, to
// admission.End. No other code does.

func endOfMessage(word []byte) (admission.End, bool) {
	switch string(word) {
	case "overload":
		return admission.Rejected, true
	case "crashed":
		return admission.Errored, true
	case "nobody":
		return admission.Withdrawn, true
	}
	return 0, false
}

// endOfConnection returns how an attempt ends with its connection. Without any byte written it never ran; otherwise
// it may have run.
func endOfConnection(how transport.Ending, begun bool) admission.End {
	switch {
	case how == transport.Refused || how == transport.NotConnected || !begun:
		return admission.Unreachable
	default:
		return admission.ConnectionLost
	}
}
