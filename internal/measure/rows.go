// Package measure measures subsystems, most of them on virtual time and each in under a minute. The result is a table with a figure,
// its value and its bound in each row, and whether all values are within their bounds.
package measure

import (
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"
)

// Row is one figure. A nil bound means that there is none: a figure without bounds is printed for comparison with others.
type Row struct {
	Name     string
	Value    float64
	Min, Max *float64
}

// WithinBounds reports whether the value is within its bounds. NaN is outside any bound.
func (r Row) WithinBounds() bool {
	return !(r.Min != nil && !(r.Value >= *r.Min) || r.Max != nil && !(r.Value <= *r.Max))
}

func (r Row) bound() string {
	switch {
	case r.Min != nil && r.Max != nil:
		return fmt.Sprintf("%.4g to %.4g", *r.Min, *r.Max)
	case r.Min != nil:
		return fmt.Sprintf(">= %.4g", *r.Min)
	case r.Max != nil:
		return fmt.Sprintf("<= %.4g", *r.Max)
	}
	return "-"
}

// Figure returns a row without bounds, printed for comparison.
func Figure(name string, value float64) Row { return Row{Name: name, Value: value} }

// AtMost returns a row that holds if its value is not above the bound.
func AtMost(name string, value, bound float64) Row {
	return Row{Name: name, Value: value, Max: &bound}
}

// AtLeast returns a row that holds if its value is not below the bound.
func AtLeast(name string, value, bound float64) Row {
	return Row{Name: name, Value: value, Min: &bound}
}

// Between returns a row that holds if its value lies between two bounds, inclusive.
func Between(name string, value, low, high float64) Row {
	return Row{Name: name, Value: value, Min: &low, Max: &high}
}

// Print writes rows as a table and reports whether all hold.
func Print(w io.Writer, rows []Row) (allHold bool) {
	allHold = true
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "figure\tvalue\tbound\t")
	for _, r := range rows {
		verdict := ""
		if !r.WithinBounds() {
			verdict, allHold = "FALLS SHORT", false
		}
		fmt.Fprintf(table, "%s\t%.4g\t%s\t%s\n", r.Name, r.Value, r.bound(), verdict)
	}
	table.Flush()
	return allHold
}

// runAll runs parts in parallel and returns their rows in the order of the parts.
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
