package expect

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/jedib0t/go-pretty/v6/text"
	"github.com/spf13/cobra"
)

// ErrNotHeld is returned where all expectations were read and some do not hold.
var ErrNotHeld = errors.New("not all expectations hold")

// Command is `expect`, as dunereach and dunecheck have it. check checks a text against the schema.
func Command(env func(string) string, out io.Writer, check func([]byte) error) *cobra.Command {
	var o Options
	var operatorFile, configFile, only, format, record, against, diff string
	var verbose, mutate bool
	var shrink float64
	c := &cobra.Command{
		Use:   "expect [FILE or FOLDER]...",
		Short: "Check routing expectations without sending traffic",
		Long: `Expect reads expectations (deploy/expectations where none are named) and tries each on virtual time: the module that serves
against model engines and clients by chance, on the configuration and the operators' file that serve would read.

Status 0: all hold. 1: some do not: failed, void (an engine that the list does not have), or never exercised. 2: something
can't be read; the rest was tried.`,
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) == 0 {
				args = []string{"deploy/expectations"}
			}
			u, err := under(configFile, operatorFile)
			if err != nil {
				return err
			}
			sources, err := Read(args, check)
			if err != nil {
				return err
			}
			sources = Matching(sources, only)
			if f, ok := out.(*os.File); !ok || !terminal(f) {
				text.DisableColors()
			}
			o.Trace = !mutate && diff == ""
			if mutate {
				return mutated(u, sources, o, out)
			}
			if terminal(os.Stderr) { // progress
				o.Seen = func(done int) { fmt.Fprintf(os.Stderr, "\r%d done ", done) }
				defer fmt.Fprint(os.Stderr, "\r")
			}
			all := Check(u, sources, o)
			if diff != "" {
				old, err := under(diff, operatorFile)
				if err != nil {
					return err
				}
				for _, line := range Differ(Check(old, sources, o), all) {
					fmt.Fprintln(out, line)
				}
				return nil
			}
			switch format {
			case "text":
				Text(out, all, verbose)
			case "json":
				err = JSON(out, all)
			case "junit":
				err = JUnit(out, all)
			default:
				err = fmt.Errorf("--format %s: it is text, json or junit", format)
			}
			if err == nil && record != "" {
				err = Save(record, all)
			}
			shrunk := []string(nil)
			if err == nil && against != "" {
				shrunk, err = Against(against, all, shrink)
				for _, line := range shrunk {
					fmt.Fprintln(out, "shrank  "+line)
				}
			}
			n := Count(all)
			switch {
			case err != nil:
				return err
			case n[Broken] > 0:
				return fmt.Errorf("%d expectations can't be read", n[Broken])
			case n[Passed] < len(all) || len(shrunk) > 0:
				return ErrNotHeld
			}
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&configFile, "config", env("BALANCER_CONFIG"), "the configuration under test")
	f.StringVar(&operatorFile, "operator", env("DUNEREACH_OPERATOR"), "the operators' file under test")
	f.StringVar(&only, "run", "", "only expectations whose name holds this")
	f.Uint64Var(&o.Seed, "seed", 0, "only this seed, for all of them")
	f.DurationVar(&o.Bound, "bound", 30*time.Second, "longest time for one expectation")
	f.IntVar(&o.Cores, "cores", 0, "expectations tried side by side (default: the machine's cores)")
	f.StringVar(&format, "format", "text", "text, json or junit")
	f.BoolVarP(&verbose, "verbose", "v", false, "also name what passed")
	f.StringVar(&record, "record", "", "keep margins and how often each was put to the test in this file")
	f.StringVar(&against, "against", "", "compare with figures kept by --record")
	f.Float64Var(&shrink, "shrink", 0.25, "share of its margin that an expectation may lose against the record")
	f.StringVar(&diff, "diff", "", "an older configuration: name the expectations that tell it from --config")
	f.BoolVar(&mutate, "mutate", false, "break the configuration in each known way, and name the breaks that none notices")
	return c
}

func terminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func mutated(u Under, sources []Source, o Options, out io.Writer) error {
	for _, r := range Check(u, sources, o) {
		if !r.Good() {
			return fmt.Errorf("%s does not hold unbroken: %s", r.Name, r.Why)
		}
	}
	all, err := Mutate(u, sources, o, func(string) {})
	if err != nil {
		return err
	}
	if left := Mutations(out, all); len(left) > 0 {
		return fmt.Errorf("%w: %d of %d breaks were noticed by none", ErrNotHeld, len(left), len(all))
	}
	return nil
}

func under(config, operator string) (u Under, err error) {
	if config == "" {
		return u, errors.New("no configuration: --config or BALANCER_CONFIG names it")
	}
	if u.Config, err = os.ReadFile(config); err != nil {
		return u, err
	}
	if u.Operator = []byte("{}"); operator != "" {
		u.Operator, err = os.ReadFile(operator)
	}
	return u, err
}
