package expect

// This file formats events of a simulation.

import (
	"fmt"

	"dunereach/admission"
	"dunereach/emulator/cluster"
)

// traceLine formats an event.
func (w *simulation) traceLine(m *cluster.Moment) string {
	s := fmt.Sprintf("%9.3f router %d %-8s", m.Now, m.Router, m.On)
	if m.Try != nil {
		s += fmt.Sprintf(" %s attempt %d of the client", m.Stream.Name, m.Try.Number)
	}
	switch m.On {
	case cluster.Sent:
		s += fmt.Sprintf(" attempt %d to %s (reported %s, level %d)", m.Number, w.serverNames[m.Engine], stateName(m.Told), m.Level)
	case cluster.SendEnded:
		s += fmt.Sprintf(" attempt %d at %s: %s", m.Number, w.serverNames[m.Engine], endTexts[m.End])
	case cluster.Final:
		s += " " + m.Try.How.String()
	case cluster.Listed:
		s += fmt.Sprintf(" list number %d, %d engines ready", m.Rev, m.Listed)
	}
	return s
}

// routerState describes a router's state at an event.
func (w *simulation) routerState(m *cluster.Moment) string {
	s := fmt.Sprintf("list number %d", m.Rev)
	if m.Engine >= 0 {
		s += fmt.Sprintf("; engine %s reported %s for %.3f s and truly %s, %d queries there", w.serverNames[m.Engine], stateName(m.Told), m.ToldFor,
			stateName(m.True), m.EngineN)
	}
	if m.Try != nil {
		s += fmt.Sprintf("; request of %s, waited %.3f s, attempt %d, %d open", m.Stream.Name, m.Waited, m.Number, m.Out)
	}
	return s
}

func stateName(s admission.State) string { return [...]string{"gone", "draining", "ready"}[s] }

var endTexts = [...]string{"answered", "errored", "turned_away", "timed_out", "unreachable", "cut", "cancelled", "moot"}
