package expect

import (
	"encoding/json"
	"encoding/xml"
	"fmt"
	"io"
	"os"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"
)

// WriteText writes a message for each expectation that does not hold, all expectations if verbose, and a summary.
func WriteText(w io.Writer, all []Outcome, verbose bool) {
	for k := range all {
		o := &all[k]
		if o.Held() {
			if verbose {
				fmt.Fprintf(w, "%s  %s (%d events, margin %.4g, %.2f s)\n", text.FgGreen.Sprint("passed"), o.Name, o.Exercised, o.Margin, o.Seconds)
			}
			continue
		}
		fmt.Fprintf(w, "%s  %s: %s\n    %s: %s\n", text.FgRed.Sprint(string(o.Status)), o.Name, o.Description, o.File, o.Reason)
		if o.RouterState != "" {
			fmt.Fprintf(w, "    first at %.3f s with seed %d; state of the router: %s\n", o.FailedAt, o.Seed, o.RouterState)
		} else if o.Seed != 0 {
			fmt.Fprintf(w, "    with seed %d\n", o.Seed)
		}
		for _, line := range o.Trace {
			fmt.Fprintf(w, "        %s\n", line)
		}
	}
	n := Count(all)
	fmt.Fprintf(w, "%d expectations: %d passed, %d failed, %d void, %d never exercised, %d can't be read\n", len(all), n[Passed], n[Failed],
		n[UnknownServer], n[NeverExercised], n[Unreadable])
}

// WriteJSON encodes the outcomes, with indentation.
func WriteJSON(w io.Writer, all []Outcome) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(all)
}

type junitSuite struct {
	XMLName  xml.Name    `xml:"testsuite"`
	Name     string      `xml:"name,attr"`
	Tests    int         `xml:"tests,attr"`
	Failures int         `xml:"failures,attr"`
	Errors   int         `xml:"errors,attr"`
	Cases    []junitCase `xml:"testcase"`
}

type junitCase struct {
	Name    string        `xml:"name,attr"`
	Class   string        `xml:"classname,attr"`
	Time    float64       `xml:"time,attr"`
	Failure *junitMessage `xml:"failure,omitempty"`
	Error   *junitMessage `xml:"error,omitempty"`
}

type junitMessage struct {
	Message string `xml:"message,attr"`
	Text    string `xml:",chardata"`
}

// WriteJUnit writes the outcomes in the XML format of test reports that CI systems read.
func WriteJUnit(w io.Writer, all []Outcome) error {
	s := junitSuite{Name: "expectations", Tests: len(all)}
	for k := range all {
		o := &all[k]
		c := junitCase{Name: o.Name, Class: o.File, Time: o.Seconds}
		why := &junitMessage{Message: string(o.Status) + ": " + o.Reason, Text: o.Description + "\n" + o.RouterState}
		switch {
		case o.Held():
		case o.Status == Unreadable:
			c.Error = why
			s.Errors++
		default:
			c.Failure = why
			s.Failures++
		}
		s.Cases = append(s.Cases, c)
	}
	e := xml.NewEncoder(w)
	e.Indent("", "  ")
	if _, err := io.WriteString(w, xml.Header); err != nil {
		return err
	}
	if err := e.Encode(s); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w)
	return err
}

// Figures are the saved results of an expectation in an earlier run.
type Figures struct {
	Margin    float64 `json:"margin"`
	Exercised int     `json:"exercised"`
}

// SaveFigures saves the figures of all expectations that passed.
func SaveFigures(path string, all []Outcome) error {
	m := map[string]Figures{}
	for _, o := range all {
		if o.Held() {
			m[o.Name] = Figures{o.Margin, o.Exercised}
		}
	}
	b, err := json.MarshalIndent(m, "", "  ")
	if err == nil {
		err = os.WriteFile(path, append(b, '\n'), 0o644)
	}
	return err
}

// CompareFigures returns the expectations that still pass, but by less: the margin shrank by more than a share of its
// earlier value, or fewer than half as many events were checked. It also returns those that are missing.
func CompareFigures(path string, all []Outcome, share float64) (shrunk []string, err error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var recorded map[string]Figures
	if err := json.Unmarshal(b, &recorded); err != nil {
		return nil, fmt.Errorf("%s: %v", path, err)
	}
	present := map[string]bool{}
	for _, o := range all {
		present[o.Name] = true
		r, ok := recorded[o.Name]
		switch {
		case !ok || !o.Held():
		case o.Margin < r.Margin-share*max(r.Margin, 0):
			shrunk = append(shrunk, fmt.Sprintf("%s: its margin was %.4g and is %.4g", o.Name, r.Margin, o.Margin))
		case 2*o.Exercised < r.Exercised:
			shrunk = append(shrunk, fmt.Sprintf("%s: it was checked at %d events and is checked at %d", o.Name, r.Exercised, o.Exercised))
		}
	}
	for _, name := range sorted(recorded) {
		if !present[name] {
			shrunk = append(shrunk, name+": it is gone")
		}
	}
	return shrunk, nil
}

// Differences returns the expectations whose status differs between two configurations.
func Differences(old, new []Outcome) (differences []string) {
	oldStatus := map[string]Status{}
	for _, o := range old {
		oldStatus[o.Name] = o.Status
	}
	for _, o := range new {
		if s := oldStatus[o.Name]; s != o.Status {
			differences = append(differences, fmt.Sprintf("%s: %s before, %s now. %s", o.Name, s, o.Status, o.Reason))
		}
	}
	return differences
}

// WriteMutations writes which expectations detect each broken configuration and returns the mutations that none
// detects.
func WriteMutations(w io.Writer, all []Mutant) (unnoticed []string) {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.AppendHeader(table.Row{"mutation", "detected by", "for example"})
	for _, m := range all {
		switch {
		case m.Err != nil:
			t.AppendRow(table.Row{m.Name, "the configuration's own validation", m.Err.Error()})
		case len(m.DetectedBy) == 0:
			t.AppendRow(table.Row{m.Name, "NONE", ""})
			unnoticed = append(unnoticed, m.Name)
		default:
			t.AppendRow(table.Row{m.Name, len(m.DetectedBy), m.DetectedBy[0]})
		}
	}
	t.Render()
	return unnoticed
}
