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

func serve(load func() (config.Config, error), extensions Extensions, out io.Writer) error {
	// Handlers are installed first, so that a signal during the start does not kill the process. Several SIGHUPs in a row cause one reload.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	// The first signal starts a graceful shutdown. Further SIGTERMs have no effect on it; a second interrupt ends the process at once.
	stopping, stopNotify := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stopNotify()
	context.AfterFunc(stopping, func() { signal.Reset(os.Interrupt) })
	terminations := make(chan os.Signal, 1) // the same signals again, for execUnlessSignalled
	signal.Notify(terminations, syscall.SIGTERM, os.Interrupt)
	signal.Ignore(syscall.SIGPIPE) // a log reader that closes its pipe must not end the router
	cfg, err := loadUnlessStopped(stopping, load)
	if err != nil || stopping.Err() != nil { // stopped before it serves: no request has been accepted
		return err
	}
	if cfg.Operator.Fleet != nil && extensions.Fleet == nil || cfg.Operator.State != nil && extensions.State == nil {
		signal.Ignore(syscall.SIGHUP) // stays ignored across exec; the new program reads the files anyway
		return execUnlessSignalled(stopNotify, terminations, func() error { return execProgram(fleetProgram, os.Args[1:]) })
	}
	if n := int(math.Ceil(cfg.Limits.Cores)); n > 0 {
		runtime.GOMAXPROCS(n)
	}
	if mb := cfg.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(mb * (1 << 20) * router.HeapShare))
	}
	level, err := logs.ParseLevel(os.Getenv(logs.LevelVariable))
	if err != nil {
		return err
	}
	writer, flushLog := logs.Start(out)
	defer flushLog()
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
	// Reading a file that nobody writes can't be interrupted. Shutdown does not wait for reload, which ends with the process.
	go reload(ctx, load, hangups, reloaded, log)
	err = router.Serve(ctx, stopping.Done(), reloaded, cfg, fleet, state, log)
	cancel()
	return err
}

// execUnlessSignalled calls exec, which replaces this program by another one. Exec drops the signal handlers, and no stop signal may be
// lost with them: after a signal that came before, the function returns without exec; a later signal kills the process by default, which
// is safe because no request has been accepted yet.
func execUnlessSignalled(stopNotify func(), terminations chan os.Signal, exec func() error) error {
	stopNotify()              // removes the other handler, so that the next line restores the default action of the signals
	signal.Stop(terminations) // also waits until pending signals are delivered
	select {
	case <-terminations:
		return nil
	default:
		return exec()
	}
}

// loadUnlessStopped reads the files at the start. It returns early when the stopping context ends, because a read may block forever, for
// example on a pipe that nobody writes to.
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

// reload reads the files again at each SIGHUP and passes a valid configuration on; an invalid one changes nothing. A file may be half
// written when the signal comes, so reading is retried for a while. The cost is that an invalid file is read several times.
func reload(ctx context.Context, load func() (config.Config, error), hangups <-chan os.Signal,
	reloaded chan<- config.Config, log *zap.Logger) {
	const retryInterval, maxAttempts = 100 * time.Millisecond, 20 // a file that is being written should be complete within two seconds
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
