// Package measure measures subsystems on virtual time, each in under a minute, and says whether they hold: rows of figure,
// value and bound.
package measure

import (
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"
)

// Row is one figure. A bound of nil is none: the figure stands beside another for comparison.
type Row struct {
	Name        string
	Value       float64
	Least, Most *float64
}

// Holds tells whether the value keeps its bounds. What is not a number keeps none.
func (r Row) Holds() bool {
	return !(r.Least != nil && !(r.Value >= *r.Least) || r.Most != nil && !(r.Value <= *r.Most))
}

func (r Row) bound() string {
	switch {
	case r.Least != nil && r.Most != nil:
		return fmt.Sprintf("%.4g to %.4g", *r.Least, *r.Most)
	case r.Least != nil:
		return fmt.Sprintf(">= %.4g", *r.Least)
	case r.Most != nil:
		return fmt.Sprintf("<= %.4g", *r.Most)
	}
	return "-"
}

// Figure is a row without bounds, printed for comparison.
func Figure(name string, value float64) Row { return Row{Name: name, Value: value} }

// AtMost is a row that holds while its value is not above the bound.
func AtMost(name string, value, bound float64) Row {
	return Row{Name: name, Value: value, Most: &bound}
}

// AtLeast is a row that holds while its value is not below the bound.
func AtLeast(name string, value, bound float64) Row {
	return Row{Name: name, Value: value, Least: &bound}
}

// Between is a row that holds while its value lies between two bounds, which count as held.
func Between(name string, value, low, high float64) Row {
	return Row{Name: name, Value: value, Least: &low, Most: &high}
}

// Print writes rows as a table and tells whether all hold.
func Print(w io.Writer, rows []Row) (allHold bool) {
	allHold = true
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "figure\tvalue\tbound\t")
	for _, r := range rows {
		verdict := ""
		if !r.Holds() {
			verdict, allHold = "FALLS SHORT", false
		}
		fmt.Fprintf(table, "%s\t%.4g\t%s\t%s\n", r.Name, r.Value, r.bound(), verdict)
	}
	table.Flush()
	return allHold
}

// runAll runs parts side by side and gives their rows in order.
func runAll(parts ...func() ([]Row, error)) ([]Row, error) {
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	all := make([][]Row, len(parts))
	for k, part := range parts {
		group.Go(func() (err error) {
			all[k], err = part()
			return err
		})
	}
	err := group.Wait()
	var rows []Row
	for _, r := range all {
		rows = append(rows, r...)
	}
	return rows, err
}
