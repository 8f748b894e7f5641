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

// ErrNotHeld is returned if all expectations could be read and some do not hold.
var ErrNotHeld = errors.New("not all expectations hold")

// invocation holds the flags of one run of the command `expect`.
type invocation struct {
	Options
	out                                     io.Writer
	operatorFile, configFile                string
	only, format                            string
	recordFile, baselineFile, oldConfigFile string
	verbose, mutate                         bool
	allowedShrink                           float64
	checkSchema                             func([]byte) error
}

// Command returns the command `expect` of dunereach and dunecheck. It prints to out; check validates a text against the
// schema.
func Command(env func(string) string, out io.Writer, check func([]byte) error) *cobra.Command {
	v := &invocation{out: out, checkSchema: check}
	c := &cobra.Command{
		Use:   "expect [FILE or FOLDER]...",
		Short: "Check routing expectations without sending traffic",
		Long: `Expect reads expectations (from deploy/expectations by default) and checks each on virtual time: the router module runs
against model engines and random clients, with the configuration and the operators' file that serve would read.

Status 0: all hold. 1: some do not: failed, void (an engine that is not in the server list), or never exercised. 2: something
can't be read; the rest was checked.`,
		RunE: func(_ *cobra.Command, args []string) error { return v.run(args) },
	}
	f := c.Flags()
	f.StringVar(&v.configFile, "config", env("BALANCER_CONFIG"), "the configuration under test")
	f.StringVar(&v.operatorFile, "operator", env("DUNEREACH_OPERATOR"), "the operators' file under test")
	f.StringVar(&v.only, "run", "", "only expectations whose name contains this")
	f.Uint64Var(&v.Seed, "seed", 0, "only this seed, for all of them")
	f.DurationVar(&v.TimeLimit, "bound", 30*time.Second, "longest time for one expectation")
	f.IntVar(&v.Cores, "cores", 0, "expectations checked in parallel (default: the machine's cores)")
	f.StringVar(&v.format, "format", "text", "text, json or junit")
	f.BoolVarP(&v.verbose, "verbose", "v", false, "also print expectations that passed")
	f.StringVar(&v.recordFile, "record", "", "save margins and numbers of checked events to this file")
	f.StringVar(&v.baselineFile, "against", "", "compare with figures saved by --record")
	f.Float64Var(&v.allowedShrink, "shrink", 0.25, "share of its recorded margin that an expectation may lose")
	f.StringVar(&v.oldConfigFile, "diff", "", "an older configuration: print the expectations whose status differs from --config")
	f.BoolVar(&v.mutate, "mutate", false, "break the configuration in each known way, and print the mutations that no expectation detects")
	return c
}

// run checks the expectations that the arguments name.
func (v *invocation) run(args []string) error {
	if len(args) == 0 {
		args = []string{"deploy/expectations"}
	}
	u, err := readConfigurations(v.configFile, v.operatorFile)
	if err != nil {
		return err
	}
	sources, err := ReadFiles(args, v.checkSchema)
	if err != nil {
		return err
	}
	sources = Matching(sources, v.only)
	if f, ok := v.out.(*os.File); !ok || !terminal(f) {
		text.DisableColors()
	}
	v.Trace = !v.mutate && v.oldConfigFile == ""
	if v.mutate {
		return runMutations(u, sources, v.Options, v.out)
	}
	if terminal(os.Stderr) { // report progress
		v.Progress = func(done int) { fmt.Fprintf(os.Stderr, "\r%d done ", done) }
		defer fmt.Fprint(os.Stderr, "\r")
	}
	all := Check(u, sources, v.Options)
	if v.oldConfigFile != "" {
		return v.printDifferences(sources, all)
	}
	return v.reportOutcomes(all)
}

// printDifferences prints how the outcomes differ from those under an older configuration.
func (v *invocation) printDifferences(sources []Source, all []Outcome) error {
	old, err := readConfigurations(v.oldConfigFile, v.operatorFile)
	if err != nil {
		return err
	}
	for _, line := range Differences(Check(old, sources, v.Options), all) {
		fmt.Fprintln(v.out, line)
	}
	return nil
}

// reportOutcomes prints the outcomes, saves or compares their figures, and returns ErrNotHeld if some do not hold.
func (v *invocation) reportOutcomes(all []Outcome) error {
	err := v.print(all)
	if err == nil && v.recordFile != "" {
		err = SaveFigures(v.recordFile, all)
	}
	shrunk := []string(nil)
	if err == nil && v.baselineFile != "" {
		shrunk, err = CompareFigures(v.baselineFile, all, v.allowedShrink)
		for _, line := range shrunk {
			fmt.Fprintln(v.out, "shrank  "+line)
		}
	}
	n := Count(all)
	switch {
	case err != nil:
		return err
	case n[Unreadable] > 0:
		return fmt.Errorf("%d expectations can't be read", n[Unreadable])
	case n[Passed] < len(all) || len(shrunk) > 0:
		return ErrNotHeld
	}
	return nil
}

// print writes the outcomes in the requested format.
func (v *invocation) print(all []Outcome) error {
	switch v.format {
	case "text":
		WriteText(v.out, all, v.verbose)
	case "json":
		return WriteJSON(v.out, all)
	case "junit":
		return WriteJUnit(v.out, all)
	default:
		return fmt.Errorf("--format %s: must be text, json or junit", v.format)
	}
	return nil
}

// terminal reports whether a file is a terminal.
func terminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// runMutations breaks the configuration in each known way and prints the mutations that no expectation detects.
func runMutations(u Configuration, sources []Source, o Options, out io.Writer) error {
	for _, r := range Check(u, sources, o) {
		if !r.Held() {
			return fmt.Errorf("%s does not hold for the unmodified configuration: %s", r.Name, r.Reason)
		}
	}
	all, err := CheckMutations(u, sources, o, func(string) {})
	if err != nil {
		return err
	}
	if unnoticed := WriteMutations(out, all); len(unnoticed) > 0 {
		return fmt.Errorf("%w: %d of %d mutations were detected by none", ErrNotHeld, len(unnoticed), len(all))
	}
	return nil
}

// readConfigurations reads the router's configuration and the operators' file under test.
func readConfigurations(config, operator string) (u Configuration, err error) {
	if config == "" {
		return u, errors.New("no configuration: set --config or BALANCER_CONFIG")
	}
	if u.Config, err = os.ReadFile(config); err != nil {
		return u, err
	}
	if u.Operator = []byte("{}"); operator != "" {
		u.Operator, err = os.ReadFile(operator)
	}
	return u, err
}
