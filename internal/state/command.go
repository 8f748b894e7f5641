package state

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"

	"dunereach/internal/store"
	"dunereach/warmstart"

	"github.com/spf13/cobra"
)

// ErrDamaged is returned where a folder was read and some of it is damaged.
var ErrDamaged = errors.New("not all of it is whole")

// report is what a folder has of one router.
type report struct {
	Name       string                    `json:"name"`
	Generation uint64                    `json:"generation"`
	Records    int                       `json:"records"`
	Cut        bool                      `json:"cut_short"`
	Passed     []string                  `json:"passed_over,omitempty"`
	Bytes      int64                     `json:"bytes"`
	Files      int                       `json:"files"`
	Age        float64                   `json:"age_s"`
	Old        float64                   `json:"snapshot_age_s"`
	Sure       bool                      `json:"age_known"`
	Kept       *warmstart.Snapshot       `json:"kept,omitempty"`
	Quick      []warmstart.JournalRecord `json:"records_since,omitempty"`
	body       []byte
	records    [][]byte
}

// inspect reads what a folder has of one router, without changing it.
func inspect(dir, name string) (l report, err error) {
	r, _, err := store.Load(dir, name)
	if err != nil {
		return l, err
	}
	l = report{
		Name:       name,
		Generation: r.Generation,
		Records:    len(r.Records),
		Cut:        r.Cut,
		Passed:     r.Passed,
		body:       r.Body,
		records:    r.Records,
	}
	l.Files, l.Bytes = store.Size(dir, name)
	if r.Generation == 0 {
		return l, nil
	}
	kept, quick, err := unpack(r.Body, r.Records)
	if err != nil {
		l.Passed = append(l.Passed, err.Error())
	}
	l.Kept, l.Quick = &kept, quick
	now, newest := moment(), kept.Quick.At
	if len(quick) > 0 {
		newest = quick[len(quick)-1].At
	}
	l.Old, _ = now.Age(kept.At)
	l.Age, l.Sure = now.Age(newest)
	return l, nil
}

// tool is the command `state` with its flags.
type tool struct {
	out    io.Writer
	name   string
	asJSON bool
}

// Command returns the command `state`, as dunecheck has it. It prints to out.
func Command(out io.Writer) *cobra.Command {
	t := &tool{out: out}
	root := &cobra.Command{Use: "state", Short: "Look at what routers keep in a folder",
		Long: `State works on the folder of a running router as on that of a dead one: looking takes nothing from it, and what changes a
folder refuses one that a router has.`}
	root.PersistentFlags().StringVar(&t.name, "name", "", "the router's (default: all that the folder has)")
	root.PersistentFlags().BoolVar(&t.asJSON, "json", false, "print JSON")
	root.AddCommand(
		t.command("show", "Print what is kept, and how old it is", t.show),
		t.command("verify", "Read everything, and end with 1 where something is not whole", t.verify),
		t.command("export", "Print everything as JSON", func(_ string, all []report) error { return t.print(all) }),
		t.command("compact", "Put the journal into a new snapshot", t.changeEach(compact)),
		t.command("drop", "Throw away what is kept; the router starts from nothing", t.changeEach(drop)),
	)
	return root
}

// command returns a subcommand that does something with the reports of a folder.
func (t *tool) command(use, short string, do func(dir string, all []report) error) *cobra.Command {
	run := func(_ *cobra.Command, args []string) error {
		names, err := t.names(args[0])
		if err != nil {
			return err
		}
		var all []report
		for _, name := range names {
			l, err := inspect(args[0], name)
			if err != nil {
				return err
			}
			all = append(all, l)
		}
		return do(args[0], all)
	}
	return &cobra.Command{Use: use + " DIR", Short: short, Args: cobra.ExactArgs(1), RunE: run}
}

// names returns the routers that a folder has something of, or the one that the flag names.
func (t *tool) names(dir string) ([]string, error) {
	if info, err := os.Stat(dir); err != nil {
		return nil, err
	} else if !info.IsDir() {
		return nil, fmt.Errorf("%s is no folder", dir)
	}
	all := store.Names(dir)
	if t.name != "" {
		all = slices.DeleteFunc(all, func(n string) bool { return n != t.name })
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("%s has nothing that a router keeps", dir)
	}
	return all, nil
}

// print writes a value as JSON.
func (t *tool) print(v any) error {
	e := json.NewEncoder(t.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// show prints one line for each router.
func (t *tool) show(_ string, all []report) error {
	if t.asJSON {
		for k := range all {
			all[k].Kept, all[k].Quick = nil, nil
		}
		return t.print(all)
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "name\tgeneration\trecords since\tage\tof the snapshot\tfiles\tbytes\tprofiles\tengines in trouble\tteams\twaits\t")
	for _, l := range all {
		l.showLine(w)
	}
	return w.Flush()
}

// showLine prints the cells of one router.
func (l *report) showLine(w io.Writer) {
	if l.Kept == nil {
		fmt.Fprintf(w, "%s\tnothing whole\t\t\t\t%d\t%d\t\n", l.Name, l.Files, l.Bytes)
		return
	}
	age, old := "not known", "not known"
	if l.Sure {
		age, old = span(l.Age), span(l.Old)
	}
	quick := l.Kept.Quick
	if len(l.Quick) > 0 {
		quick = l.Quick[len(l.Quick)-1]
	}
	fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%d\t%d\t", l.Name, l.Generation, l.Records, age, old, l.Files, l.Bytes)
	fmt.Fprintf(w, "%d\t%d\t%d\t%d\t\n", len(l.Kept.Profiles), len(quick.Known.Engines), len(quick.Teams), len(l.Kept.Waits))
}

// verify prints what was found, and returns ErrDamaged where some of it is damaged.
func (t *tool) verify(_ string, all []report) error {
	bad := false
	for _, l := range all {
		for _, why := range l.Passed {
			fmt.Fprintf(t.out, "%s: %s\n", l.Name, why)
		}
		switch bad = bad || len(l.Passed) > 0 || l.Generation == 0; {
		case l.Generation == 0:
			fmt.Fprintf(t.out, "%s: nothing whole\n", l.Name)
		case l.Cut:
			fmt.Fprintf(t.out, "%s: generation %d and %d records, the last one cut short as by a kill\n", l.Name, l.Generation, l.Records)
		default:
			fmt.Fprintf(t.out, "%s: generation %d and %d records\n", l.Name, l.Generation, l.Records)
		}
	}
	if bad {
		return ErrDamaged
	}
	return nil
}

// changeEach returns a function that changes what a folder has of each router, unless one that runs has it open. change returns
// what is printed.
func (t *tool) changeEach(change func(s *store.Store, l report) (string, error)) func(dir string, all []report) error {
	return func(dir string, all []report) error {
		for _, l := range all {
			s, _, err := store.Open(dir, l.Name)
			if errors.Is(err, store.ErrLocked) {
				return fmt.Errorf("%s in %s: a router that runs has it; nothing was done to it", l.Name, dir)
			}
			if err != nil {
				return err
			}
			said, err := change(s, l)
			s.Close()
			if err != nil {
				return fmt.Errorf("%s: %v", l.Name, err)
			}
			fmt.Fprintf(t.out, "%s: %s\n", l.Name, said)
		}
		return nil
	}
}

// compact merges the journal into a new snapshot.
func compact(s *store.Store, l report) (string, error) {
	if l.Generation == 0 {
		return "", errors.New("nothing whole to put together")
	}
	body, err := merge(l.body, l.records)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("generation %d, %d bytes", l.Generation+1, len(body)), s.Snapshot(body)
}

// drop removes all that is kept.
func drop(s *store.Store, l report) (string, error) {
	return fmt.Sprintf("%d files thrown away", l.Files), s.Drop()
}

// span returns a duration as text, in the unit that a person would use.
func span(seconds float64) string {
	switch {
	case seconds < 120:
		return fmt.Sprintf("%.1f s", seconds)
	case seconds < 7200:
		return fmt.Sprintf("%.0f min", seconds/60)
	case seconds < 48*3600:
		return fmt.Sprintf("%.0f h", seconds/3600)
	}
	return fmt.Sprintf("%.0f days", seconds/86400)
}
