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

// look is what a folder has of one name.
type look struct {
	Name       string            `json:"name"`
	Generation uint64            `json:"generation"`
	Records    int               `json:"records"`
	Cut        bool              `json:"cut_short"`
	Passed     []string          `json:"passed_over,omitempty"`
	Bytes      int64             `json:"bytes"`
	Files      int               `json:"files"`
	Age        float64           `json:"age_s"`
	Old        float64           `json:"snapshot_age_s"`
	Sure       bool              `json:"age_known"`
	Kept       *warmstart.Kept   `json:"kept,omitempty"`
	Quick      []warmstart.Quick `json:"records_since,omitempty"`
	body       []byte
	records    [][]byte
}

func see(dir, name string) (l look, err error) {
	r, _, err := store.Load(dir, name)
	if err != nil {
		return l, err
	}
	l = look{Name: name, Generation: r.Generation, Records: len(r.Records), Cut: r.Cut, Passed: r.Passed, body: r.Body, records: r.Records}
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

// Words is `state`, as dunecheck has it.
func Words(out io.Writer) *cobra.Command {
	var name string
	var asJSON bool
	root := &cobra.Command{Use: "state", Short: "Look at what routers keep in a folder",
		Long: `State works on the folder of a running router as on that of a dead one: looking takes nothing from it, and what changes a
folder refuses one that a router has.`}
	root.PersistentFlags().StringVar(&name, "name", "", "the router's (default: all that the folder has)")
	root.PersistentFlags().BoolVar(&asJSON, "json", false, "print JSON")
	names := func(dir string) ([]string, error) {
		if info, err := os.Stat(dir); err != nil {
			return nil, err
		} else if !info.IsDir() {
			return nil, fmt.Errorf("%s is no folder", dir)
		}
		all := store.Names(dir)
		if name != "" {
			all = slices.DeleteFunc(all, func(n string) bool { return n != name })
		}
		if len(all) == 0 {
			return nil, fmt.Errorf("%s has nothing that a router keeps", dir)
		}
		return all, nil
	}
	each := func(use, short string, do func(dir string, all []look) error) {
		root.AddCommand(&cobra.Command{Use: use + " DIR", Short: short, Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			all, err := names(args[0])
			if err != nil {
				return err
			}
			var looks []look
			for _, n := range all {
				l, err := see(args[0], n)
				if err != nil {
					return err
				}
				looks = append(looks, l)
			}
			return do(args[0], looks)
		}})
	}
	print := func(v any) error {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	each("show", "Print what is kept, and how old it is", func(_ string, all []look) error {
		if asJSON {
			for k := range all {
				all[k].Kept, all[k].Quick = nil, nil
			}
			return print(all)
		}
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "name\tgeneration\trecords since\tage\tof the snapshot\tfiles\tbytes\tprofiles\tengines in trouble\tteams\twaits\t")
		for _, l := range all {
			age, old := "not known", "not known"
			if l.Sure {
				age, old = span(l.Age), span(l.Old)
			}
			if l.Kept == nil {
				fmt.Fprintf(w, "%s\tnothing whole\t\t\t\t%d\t%d\t\n", l.Name, l.Files, l.Bytes)
				continue
			}
			q := l.Kept.Quick
			if len(l.Quick) > 0 {
				q = l.Quick[len(l.Quick)-1]
			}
			fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n", l.Name, l.Generation, l.Records, age, old, l.Files, l.Bytes, len(l.Kept.Profiles), len(q.Known.Engines), len(q.Teams), len(l.Kept.Waits))
		}
		return w.Flush()
	})
	each("verify", "Read everything, and end with 1 where something is not whole", func(_ string, all []look) error {
		bad := false
		for _, l := range all {
			for _, why := range l.Passed {
				fmt.Fprintf(out, "%s: %s\n", l.Name, why)
			}
			switch bad = bad || len(l.Passed) > 0 || l.Generation == 0; {
			case l.Generation == 0:
				fmt.Fprintf(out, "%s: nothing whole\n", l.Name)
			case l.Cut:
				fmt.Fprintf(out, "%s: generation %d and %d records, the last one cut short as by a kill\n", l.Name, l.Generation, l.Records)
			default:
				fmt.Fprintf(out, "%s: generation %d and %d records\n", l.Name, l.Generation, l.Records)
			}
		}
		if bad {
			return ErrDamaged
		}
		return nil
	})
	each("export", "Print everything as JSON", func(_ string, all []look) error { return print(all) })
	change := func(use, short string, do func(s *store.Store, l look) (string, error)) {
		each(use, short, func(dir string, all []look) error {
			for _, l := range all {
				s, _, err := store.Open(dir, l.Name)
				if errors.Is(err, store.ErrLocked) {
					return fmt.Errorf("%s in %s: a router that runs has it; nothing was done to it", l.Name, dir)
				}
				if err != nil {
					return err
				}
				said, err := do(s, l)
				s.Close()
				if err != nil {
					return fmt.Errorf("%s: %v", l.Name, err)
				}
				fmt.Fprintf(out, "%s: %s\n", l.Name, said)
			}
			return nil
		})
	}
	change("compact", "Put the journal into a new snapshot", func(s *store.Store, l look) (string, error) {
		if l.Generation == 0 {
			return "", errors.New("nothing whole to put together")
		}
		body, err := merge(l.body, l.records)
		if err != nil {
			return "", err
		}
		return fmt.Sprintf("generation %d, %d bytes", l.Generation+1, len(body)), s.Snapshot(body)
	})
	change("drop", "Throw away what is kept; the router starts from nothing", func(s *store.Store, l look) (string, error) {
		return fmt.Sprintf("%d files thrown away", l.Files), s.Drop()
	})
	return root
}

// span of time for people.
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
