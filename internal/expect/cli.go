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

// invocation is one call of the command `expect`: its flags.
type invocation struct {
	Options
	out                      io.Writer
	operatorFile, configFile string
	only, format             string
	record, against, diff    string
	verbose, mutate          bool
	allowedShrink            float64
	checkSchema              func([]byte) error
}

// Command returns the command `expect`, as dunereach and dunecheck have it. It prints to out; check checks a text against the schema.
func Command(env func(string) string, out io.Writer, check func([]byte) error) *cobra.Command {
	v := &invocation{out: out, checkSchema: check}
	c := &cobra.Command{
		Use:   "expect [FILE or FOLDER]...",
		Short: "Check routing expectations without sending traffic",
		Long: `Expect reads expectations (deploy/expectations where none are named) and tries each on virtual time: the module that serves
against model engines and clients by chance, on the configuration and the operators' file that serve would read.

Status 0: all hold. 1: some do not: failed, void (an engine that the list does not have), or never exercised. 2: something
can't be read; the rest was tried.`,
		RunE: func(_ *cobra.Command, args []string) error { return v.run(args) },
	}
	f := c.Flags()
	f.StringVar(&v.configFile, "config", env("BALANCER_CONFIG"), "the configuration under test")
	f.StringVar(&v.operatorFile, "operator", env("DUNEREACH_OPERATOR"), "the operators' file under test")
	f.StringVar(&v.only, "run", "", "only expectations whose name holds this")
	f.Uint64Var(&v.Seed, "seed", 0, "only this seed, for all of them")
	f.DurationVar(&v.Bound, "bound", 30*time.Second, "longest time for one expectation")
	f.IntVar(&v.Cores, "cores", 0, "expectations tried side by side (default: the machine's cores)")
	f.StringVar(&v.format, "format", "text", "text, json or junit")
	f.BoolVarP(&v.verbose, "verbose", "v", false, "also name what passed")
	f.StringVar(&v.record, "record", "", "keep margins and how often each was put to the test in this file")
	f.StringVar(&v.against, "against", "", "compare with figures kept by --record")
	f.Float64Var(&v.allowedShrink, "shrink", 0.25, "share of its margin that an expectation may lose against the record")
	f.StringVar(&v.diff, "diff", "", "an older configuration: name the expectations that tell it from --config")
	f.BoolVar(&v.mutate, "mutate", false, "break the configuration in each known way, and name the breaks that none notices")
	return c
}

// run checks the expectations that the arguments name.
func (v *invocation) run(args []string) error {
	if len(args) == 0 {
		args = []string{"deploy/expectations"}
	}
	u, err := under(v.configFile, v.operatorFile)
	if err != nil {
		return err
	}
	sources, err := Read(args, v.checkSchema)
	if err != nil {
		return err
	}
	sources = Matching(sources, v.only)
	if f, ok := v.out.(*os.File); !ok || !terminal(f) {
		text.DisableColors()
	}
	v.Trace = !v.mutate && v.diff == ""
	if v.mutate {
		return mutated(u, sources, v.Options, v.out)
	}
	if terminal(os.Stderr) { // progress
		v.Seen = func(done int) { fmt.Fprintf(os.Stderr, "\r%d done ", done) }
		defer fmt.Fprint(os.Stderr, "\r")
	}
	all := Check(u, sources, v.Options)
	if v.diff != "" {
		return v.differ(sources, all)
	}
	return v.conclude(all)
}

// differ prints how the outcomes differ from those under an older configuration.
func (v *invocation) differ(sources []Source, all []Outcome) error {
	old, err := under(v.diff, v.operatorFile)
	if err != nil {
		return err
	}
	for _, line := range Differ(Check(old, sources, v.Options), all) {
		fmt.Fprintln(v.out, line)
	}
	return nil
}

// conclude prints the outcomes, keeps or compares their figures, and returns ErrNotHeld where some do not hold.
func (v *invocation) conclude(all []Outcome) error {
	err := v.print(all)
	if err == nil && v.record != "" {
		err = Save(v.record, all)
	}
	shrunk := []string(nil)
	if err == nil && v.against != "" {
		shrunk, err = Against(v.against, all, v.allowedShrink)
		for _, line := range shrunk {
			fmt.Fprintln(v.out, "shrank  "+line)
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
}

// print writes the outcomes in the format that was asked for.
func (v *invocation) print(all []Outcome) error {
	switch v.format {
	case "text":
		Text(v.out, all, v.verbose)
	case "json":
		return JSON(v.out, all)
	case "junit":
		return JUnit(v.out, all)
	default:
		return fmt.Errorf("--format %s: it is text, json or junit", v.format)
	}
	return nil
}

// terminal reports whether a file is one.
func terminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// mutated breaks the configuration in each known way and prints the breaks that no expectation notices.
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

// under reads the files under test.
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
