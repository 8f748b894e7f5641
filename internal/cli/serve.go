package cli

import (
	"context"
	"io"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"dunereach/internal/config"
	"dunereach/internal/logs"
	"dunereach/internal/router"

	"go.uber.org/zap"
)

func serve(load func() (config.Config, error), with With, out io.Writer) error {
	// First of all: a signal that comes before the router serves must not end it where it stands. Several SIGHUPs in a row are one.
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	// The first signal asks for an orderly end, which more of SIGTERM don't disturb; a second interrupt ends at once.
	asked, forget := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer forget()
	context.AfterFunc(asked, func() { signal.Reset(os.Interrupt) })
	endings := make(chan os.Signal, 1) // the same signals once more, for handOver
	signal.Notify(endings, syscall.SIGTERM, os.Interrupt)
	signal.Ignore(syscall.SIGPIPE) // one who reads the log no more must not end the router
	cfg, err := first(asked, load)
	if err != nil || asked.Err() != nil { // asked to end before it serves: nothing has been taken
		return err
	}
	if cfg.Operator.Fleet != nil && with.Fleet == nil || cfg.Operator.State != nil && with.State == nil {
		signal.Ignore(syscall.SIGHUP) // kept over exec; the files are read after it
		return handOver(forget, endings, func() error { return become(fleetProgram, os.Args[1:]) })
	}
	if n := int(math.Ceil(cfg.Limits.Cores)); n > 0 {
		runtime.GOMAXPROCS(n)
	}
	if mb := cfg.Limits.MemoryMB; mb > 0 { // the rest is for the kernel's buffers and the program itself
		debug.SetMemoryLimit(int64(mb * (1 << 20) * 0.6))
	}
	level, err := logs.ParseLevel(os.Getenv(logs.LevelVariable))
	if err != nil {
		return err
	}
	writer := logs.NewWriter()
	ctx, served := context.WithCancel(context.Background())
	log := logs.New(writer, level)
	renewed := make(chan config.Config)
	var fleet router.Fleet
	if cfg.Operator.Fleet != nil {
		if fleet, err = with.Fleet(cfg, log); err != nil {
			served()
			return err
		}
	}
	var kept router.State
	if s := cfg.Operator.State; s != nil {
		kept = with.State(*s, cfg.Name, log)
	}
	// Neither can be called back from a file that nobody writes or a log that nobody reads, so the process's end does not wait for
	// them but for a while: they end with it.
	written := make(chan struct{})
	go func() {
		defer close(written)
		writer.Run(ctx, out)
	}()
	go reload(ctx, load, again, renewed, log)
	err = router.Serve(ctx, asked.Done(), renewed, cfg, fleet, kept, log)
	served()
	const last = time.Second // for the log's last lines: a reader that is only slow has them by then
	select {
	case <-written:
	case <-time.After(last):
	}
	return err
}

// handOver calls what puts another program in this one's place. A signal that asks for the end is never lost with the handlers, which the
// new program does not have: one that came before ends this one here, and one that comes later ends the process where it stands, as
// nothing has been taken yet.
func handOver(forget func(), endings chan os.Signal, become func() error) error {
	forget()             // who listens beside endings, so that the next line gives the signals up
	signal.Stop(endings) // and waits until what has come is delivered
	select {
	case <-endings:
		return nil
	default:
		return become()
	}
}

// first reads the files for the start. To be asked to end comes before that: what is read from may never come.
func first(asked context.Context, load func() (config.Config, error)) (cfg config.Config, err error) {
	done := make(chan struct{})
	go func() { // ends with the process at the latest
		defer close(done)
		cfg, err = load()
	}()
	select {
	case <-done:
		return cfg, err
	case <-asked.Done():
		return config.Config{}, nil
	}
}

// reload reads the files again at each signal and hands them on; those that can't be read change nothing. A file may be
// half written when the signal comes, so it is read again for a while. Harm: one that is wrong is read some times over.
func reload(ctx context.Context, load func() (config.Config, error), again <-chan os.Signal,
	renewed chan<- config.Config, log *zap.Logger) {
	const every, tries = 100 * time.Millisecond, 20 // what writes a file has written it within two seconds
	var retry <-chan time.Time
	left := 0
	for {
		select {
		case <-again:
			left = tries
		case <-retry:
		case <-ctx.Done():
			return
		}
		cfg, err := load()
		if err == nil {
			err = held(ctx, cfg)
		}
		if retry = nil; err != nil {
			if left--; left > 0 {
				retry = time.After(every)
			}
			if left == tries-1 || left == 0 {
				log.Error("new configuration not taken", zap.Error(err), zap.Bool("tried again", left > 0))
			}
			continue
		}
		select {
		case renewed <- cfg:
		case <-ctx.Done():
			return
		}
	}
}
