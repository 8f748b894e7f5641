// Dunereach is one router: it takes commands from clients and has engines answer them.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"dunereach/internal/config"
	"dunereach/internal/router"

	"go.uber.org/zap"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "dunereach:", err)
		os.Exit(1)
	}
}

func run() error {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	if n := int(cfg.Limits.Cores + 0.999); n > 0 {
		runtime.GOMAXPROCS(n)
	}
	if mb := cfg.Limits.MemoryMB; mb > 0 { // the rest is for stacks, the kernel's share and the program itself
		debug.SetMemoryLimit(int64(mb * (1 << 20) * 6 / 10))
	}
	log, err := zap.NewProduction()
	if err != nil {
		return err
	}
	defer log.Sync()
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	stop := make(chan struct{})
	go func() {
		<-term
		close(stop)
	}()
	return router.Serve(context.Background(), cfg, stop, log)
}
