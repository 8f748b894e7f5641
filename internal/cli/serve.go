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

func serve(load func() (config.Config, error), extensions With, out io.Writer) error {
	// First of all: a signal that comes before the router serves must not end it where it stands. Several SIGHUPs in a row are one.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	// The first signal asks for an orderly end, which more of SIGTERM don't disturb; a second interrupt ends at once.
	stopping, stopNotify := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stopNotify()
	context.AfterFunc(stopping, func() { signal.Reset(os.Interrupt) })
	terminations := make(chan os.Signal, 1) // the same signals once more, for handOver
	signal.Notify(terminations, syscall.SIGTERM, os.Interrupt)
	signal.Ignore(syscall.SIGPIPE) // one who reads the log no more must not end the router
	cfg, err := loadUnlessStopped(stopping, load)
	if err != nil || stopping.Err() != nil { // asked to end before it serves: nothing has been taken
		return err
	}
	if cfg.Operator.Fleet != nil && extensions.Fleet == nil || cfg.Operator.State != nil && extensions.State == nil {
		signal.Ignore(syscall.SIGHUP) // kept over exec; the files are read after it
		return execUnlessSignalled(stopNotify, terminations, func() error { return execProgram(fleetProgram, os.Args[1:]) })
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
	ctx, cancel := context.WithCancel(context.Background())
	log := logs.New(writer, level)
	reloaded := make(chan config.Config)
	var fleet router.Fleet
	if cfg.Operator.Fleet != nil {
		if fleet, err = extensions.Fleet(cfg, log); err != nil {
			cancel()
			return err
		}
	}
	var state router.State
	if s := cfg.Operator.State; s != nil {
		state = extensions.State(*s, cfg.Name, log)
	}
	// Neither can be called back from a file that nobody writes or a log that nobody reads, so the process's end does not wait for
	// them but for a while: they end with it.
	logWritten := make(chan struct{})
	go func() {
		defer close(logWritten)
		writer.Run(ctx, out)
	}()
	go reload(ctx, load, hangups, reloaded, log)
	err = router.Serve(ctx, stopping.Done(), reloaded, cfg, fleet, state, log)
	cancel()
	const logFlushTimeout = time.Second // for the log's last lines: a reader that is only slow has them by then
	select {
	case <-logWritten:
	case <-time.After(logFlushTimeout):
	}
	return err
}

// execUnlessSignalled calls what puts another program in this one's place. A signal that asks for the end is never lost with the handlers, which the
// new program does not have: one that came before ends this one here, and one that comes later ends the process where it stands, as
// nothing has been taken yet.
func execUnlessSignalled(stopNotify func(), terminations chan os.Signal, exec func() error) error {
	stopNotify()              // who listens beside endings, so that the next line gives the signals up
	signal.Stop(terminations) // and waits until what has come is delivered
	select {
	case <-terminations:
		return nil
	default:
		return exec()
	}
}

// loadUnlessStopped reads the files for the start. To be asked to end comes before that: what is read from may never come.
func loadUnlessStopped(stopping context.Context, load func() (config.Config, error)) (cfg config.Config, err error) {
	done := make(chan struct{})
	go func() { // ends with the process at the latest
		defer close(done)
		cfg, err = load()
	}()
	select {
	case <-done:
		return cfg, err
	case <-stopping.Done():
		return config.Config{}, nil
	}
}

// reload reads the files again at each signal and hands them on; those that can't be read change nothing. A file may be
// half written when the signal comes, so it is read again for a while. Harm: one that is wrong is read some times over.
func reload(ctx context.Context, load func() (config.Config, error), hangups <-chan os.Signal,
	reloaded chan<- config.Config, log *zap.Logger) {
	const retryInterval, maxAttempts = 100 * time.Millisecond, 20 // what writes a file has written it within two seconds
	var retry <-chan time.Time
	attemptsLeft := 0
	for {
		select {
		case <-hangups:
			attemptsLeft = maxAttempts
		case <-retry:
		case <-ctx.Done():
			return
		}
		cfg, err := load()
		if err == nil {
			err = checkExpectations(ctx, cfg)
		}
		if retry = nil; err != nil {
			if attemptsLeft--; attemptsLeft > 0 {
				retry = time.After(retryInterval)
			}
			if attemptsLeft == maxAttempts-1 || attemptsLeft == 0 {
				log.Error("new configuration not taken", zap.Error(err), zap.Bool("tried again", attemptsLeft > 0))
			}
			continue
		}
		select {
		case reloaded <- cfg:
		case <-ctx.Done():
			return
		}
	}
}
