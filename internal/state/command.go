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

// ErrDamaged is returned if a folder was read and some of its files are damaged.
var ErrDamaged = errors.New("some of the state is damaged")

// report is the state that a folder has of one router.
type report struct {
	Name         string                    `json:"name"`
	Generation   uint64                    `json:"generation"`
	Records      int                       `json:"records"`
	CutShort     bool                      `json:"cut_short"`
	Skipped      []string                  `json:"passed_over,omitempty"`
	Bytes        int64                     `json:"bytes"`
	Files        int                       `json:"files"`
	Age          float64                   `json:"age_s"`
	SnapshotAge  float64                   `json:"snapshot_age_s"`
	AgeKnown     bool                      `json:"age_known"`
	LastSnapshot *warmstart.Snapshot       `json:"kept,omitempty"`
	Quick        []warmstart.JournalRecord `json:"records_since,omitempty"`
	body         []byte
	records      [][]byte
}

// inspect reads the state that a folder has of one router, without changing it.
func inspect(dir, name string) (rep report, err error) {
	r, _, err := store.Load(dir, name)
	if err != nil {
		return rep, err
	}
	rep = report{
		Name:       name,
		Generation: r.Generation,
		Records:    len(r.Records),
		CutShort:   r.CutShort,
		Skipped:    r.Skipped,
		body:       r.Body,
		records:    r.Records,
	}
	rep.Files, rep.Bytes = store.Size(dir, name)
	if r.Generation == 0 {
		return rep, nil
	}
	snapshot, recordsSince, err := decodeState(r.Body, r.Records)
	if err != nil {
		rep.Skipped = append(rep.Skipped, err.Error())
	}
	rep.LastSnapshot, rep.Quick = &snapshot, recordsSince
	now, newest := timestampNow(), snapshot.Quick.At
	if len(recordsSince) > 0 {
		newest = recordsSince[len(recordsSince)-1].At
	}
	rep.SnapshotAge, _ = now.Age(snapshot.At)
	rep.Age, rep.AgeKnown = now.Age(newest)
	return rep, nil
}

// stateTool is the command `state` with its flags.
type stateTool struct {
	out    io.Writer
	name   string
	asJSON bool
}

// Command returns the command `state` of dunecheck. It prints to out.
func Command(out io.Writer) *cobra.Command {
	t := &stateTool{out: out}
	root := &cobra.Command{Use: "state", Short: "Show and manage the state that routers store in a folder",
		Long: `State works on the folder of a running router as well as on that of a stopped one. Reading does not change a folder, and the
commands that change it refuse one that a running router has locked.`}
	root.PersistentFlags().StringVar(&t.name, "name", "", "the router's name (default: all routers in the folder)")
	root.PersistentFlags().BoolVar(&t.asJSON, "json", false, "print JSON")
	root.AddCommand(
		t.command("show", "Print a summary of the stored state and its age", t.show),
		t.command("verify", "Read everything, and exit with 1 if something is damaged", t.verify),
		t.command("export", "Print everything as JSON", func(_ string, all []report) error { return t.print(all) }),
		t.command("compact", "Merge the journal into a new snapshot", t.changeEach(compact)),
		t.command("drop", "Delete the stored state; the router starts without it", t.changeEach(drop)),
	)
	return root
}

// command returns a subcommand that processes the reports of a folder.
func (t *stateTool) command(use, short string, do func(dir string, reports []report) error) *cobra.Command {
	runE := func(_ *cobra.Command, args []string) error {
		names, err := t.names(args[0])
		if err != nil {
			return err
		}
		var reports []report
		for _, name := range names {
			rep, err := inspect(args[0], name)
			if err != nil {
				return err
			}
			reports = append(reports, rep)
		}
		return do(args[0], reports)
	}
	return &cobra.Command{Use: use + " DIR", Short: short, Args: cobra.ExactArgs(1), RunE: runE}
}

// names returns the routers that a folder has state of, or the one that the flag names.
func (t *stateTool) names(dir string) ([]string, error) {
	if info, err := os.Stat(dir); err != nil {
		return nil, err
	} else if !info.IsDir() {
		return nil, fmt.Errorf("%s is not a folder", dir)
	}
	all := store.Names(dir)
	if t.name != "" {
		all = slices.DeleteFunc(all, func(n string) bool { return n != t.name })
	}
	if len(all) == 0 {
		return nil, fmt.Errorf("%s has no state of a router", dir)
	}
	return all, nil
}

// print writes a value as JSON.
func (t *stateTool) print(v any) error {
	e := json.NewEncoder(t.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// show prints one line for each router.
func (t *stateTool) show(_ string, reports []report) error {
	if t.asJSON {
		for k := range reports {
			reports[k].LastSnapshot, reports[k].Quick = nil, nil
		}
		return t.print(reports)
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "name\tgeneration\trecords since\tage\tof the snapshot\tfiles\tbytes\tprofiles\tservers in trouble\tteams\twaits\t")
	for _, rep := range reports {
		rep.printRow(w)
	}
	return w.Flush()
}

// printRow prints the table row of one router.
func (rep *report) printRow(w io.Writer) {
	if rep.LastSnapshot == nil {
		fmt.Fprintf(w, "%s\tnothing whole\t\t\t\t%d\t%d\t\n", rep.Name, rep.Files, rep.Bytes)
		return
	}
	age, snapshotAge := "not known", "not known"
	if rep.AgeKnown {
		age, snapshotAge = formatDuration(rep.Age), formatDuration(rep.SnapshotAge)
	}
	record := rep.LastSnapshot.Quick
	if len(rep.Quick) > 0 {
		record = rep.Quick[len(rep.Quick)-1]
	}
	fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%d\t%d\t", rep.Name, rep.Generation, rep.Records, age, snapshotAge, rep.Files, rep.Bytes)
	fmt.Fprintf(w, "%d\t%d\t%d\t%d\t\n", len(rep.LastSnapshot.Profiles), len(record.Known.Engines), len(record.Teams), len(rep.LastSnapshot.Waits))
}

// verify prints the findings, and returns ErrDamaged if something is damaged.
func (t *stateTool) verify(_ string, reports []report) error {
	damaged := false
	for _, rep := range reports {
		for _, why := range rep.Skipped {
			fmt.Fprintf(t.out, "%s: %s\n", rep.Name, why)
		}
		switch damaged = damaged || len(rep.Skipped) > 0 || rep.Generation == 0; {
		case rep.Generation == 0:
			fmt.Fprintf(t.out, "%s: nothing whole\n", rep.Name)
		case rep.CutShort:
			fmt.Fprintf(t.out, "%s: generation %d and %d records, the last one cut short as by a kill\n", rep.Name, rep.Generation, rep.Records)
		default:
			fmt.Fprintf(t.out, "%s: generation %d and %d records\n", rep.Name, rep.Generation, rep.Records)
		}
	}
	if damaged {
		return ErrDamaged
	}
	return nil
}

// changeEach returns a function that changes the state that a folder has of each router. It refuses to change that of a
// running router. change returns the message to print.
func (t *stateTool) changeEach(change func(s *store.Store, rep report) (string, error)) func(dir string, reports []report) error {
	return func(dir string, reports []report) error {
		for _, rep := range reports {
			s, _, err := store.Open(dir, rep.Name)
			if errors.Is(err, store.ErrLocked) {
				return fmt.Errorf("%s in %s: a router that runs has it; nothing was done to it", rep.Name, dir)
			}
			if err != nil {
				return err
			}
			message, err := change(s, rep)
			s.Close()
			if err != nil {
				return fmt.Errorf("%s: %v", rep.Name, err)
			}
			fmt.Fprintf(t.out, "%s: %s\n", rep.Name, message)
		}
		return nil
	}
}

// compact merges the journal into a new snapshot.
func compact(s *store.Store, rep report) (string, error) {
	if rep.Generation == 0 {
		return "", errors.New("no intact snapshot to merge the journal into")
	}
	body, err := mergeRecord(rep.body, rep.records)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("generation %d, %d bytes", rep.Generation+1, len(body)), s.WriteSnapshot(body)
}

// drop removes all state of a router.
func drop(s *store.Store, rep report) (string, error) {
	return fmt.Sprintf("%d files deleted", rep.Files), s.Drop()
}

// formatDuration returns a duration as text, in a unit that suits its length.
func formatDuration(seconds float64) string {
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
