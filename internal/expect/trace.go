package expect

// This file formats events of a simulation.

import (
	"fmt"

	"dunereach/admission"
	"dunereach/emulator/cluster"
)

// traceLine formats an event.
func (w *simulation) traceLine(m *cluster.Observation) string {
	s := fmt.Sprintf("%9.3f router %d %-8s", m.Now, m.Router, m.Kind)
	if m.Request != nil {
		s += fmt.Sprintf(" %s attempt %d of the client", m.Stream.Name, m.Request.ClientRequest)
	}
	switch m.Kind {
	case cluster.AttemptSent:
		s += fmt.Sprintf(" attempt %d to %s (reported %s, level %d)", m.Attempt, w.serverNames[m.Server], stateName(m.ListedState), m.Priority)
	case cluster.AttemptEnded:
		s += fmt.Sprintf(" attempt %d at %s: %s", m.Attempt, w.serverNames[m.Server], endTexts[m.End])
	case cluster.RequestFinished:
		s += " " + m.Request.Outcome.String()
	case cluster.ListUpdated:
		s += fmt.Sprintf(" list number %d, %d engines ready", m.ListRevision, m.ReadyListed)
	}
	return s
}

// routerState describes a router's state at an event.
func (w *simulation) routerState(m *cluster.Observation) string {
	s := fmt.Sprintf("list number %d", m.ListRevision)
	if m.Server >= 0 {
		s += fmt.Sprintf("; engine %s reported %s for %.3f s and truly %s, %d queries there", w.serverNames[m.Server], stateName(m.ListedState), m.ListedStateAge,
			stateName(m.ActualState), m.ServerQueries)
	}
	if m.Request != nil {
		s += fmt.Sprintf("; request of %s, waited %.3f s, attempt %d, %d open", m.Stream.Name, m.Waited, m.Attempt, m.OutstandingAttempts)
	}
	return s
}

func stateName(s admission.State) string { return [...]string{"gone", "draining", "ready"}[s] }

var endTexts = [...]string{"answered", "errored", "turned_away", "timed_out", "unreachable", "cut", "cancelled", "moot"}
