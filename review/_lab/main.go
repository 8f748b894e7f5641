// Lab plays one case of the review: it starts the project's programs with stand-ins and judges what passes between them.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

var cases = map[string]func(w *World, trouble bool) error{}

func main() {
	if len(os.Args) < 4 {
		fmt.Fprintln(os.Stderr, "usage: lab CASE BIN RECORD")
		os.Exit(2)
	}
	play := cases[os.Args[1]]
	bin, _ := filepath.Abs(os.Args[2])
	w, err := NewWorld(bin, os.Args[3])
	if err != nil || play == nil {
		fmt.Fprintln(os.Stderr, "can't run:", os.Args[1], err)
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		w.Note("stopped from outside")
		w.Close()
		os.Exit(2)
	}()
	err = play(w, os.Getenv("TROUBLE") != "0")
	if err != nil {
		w.Note("could not run: %v", err)
	}
	status := w.Close()
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		os.Exit(2)
	}
	os.Exit(status)
}
