// Package logs makes the router's log: lines of JSON, sampled so that a flood of messages stays bounded. Logging never blocks the
// caller.
package logs

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Writer passes lines on from a goroutine of its own. While its buffer is full, lines are dropped and counted.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewWriter returns a writer whose buffer holds the lines of a busy second after sampling.
func NewWriter() *Writer { return &Writer{lines: make(chan []byte, 256)} }

func (w *Writer) Write(b []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Run writes lines until the context ends, and then the buffered ones. Where lines were dropped, it writes a line with their number.
func (w *Writer) Run(ctx context.Context, out io.Writer) {
	for {
		select {
		case b := <-w.lines:
			out.Write(b)
		case <-ctx.Done():
			for len(w.lines) > 0 {
				out.Write(<-w.lines)
			}
			return
		}
		if n := w.dropped.Swap(0); n > 0 {
			fmt.Fprintf(out, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
		}
	}
}

// flushTimeout is how long the end of a program waits for the last lines: enough for a slow reader of the log.
const flushTimeout = time.Second

// Start starts a writer of lines to out. The caller must call stop at the end of the program, which writes the buffered lines and waits for a
// limited time only: a write that nobody reads can't be interrupted, and its goroutine ends with the process.
func Start(out io.Writer) (w *Writer, stop func()) {
	w = NewWriter()
	ctx, cancel := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		w.Run(ctx, out)
	}()
	return w, func() {
		cancel()
		select {
		case <-written:
		case <-time.After(flushTimeout):
		}
	}
}

// LevelVariable is the environment variable with the lowest level that is logged; the default is info.
const LevelVariable = "DUNEREACH_LOG_LEVEL"

// ParseLevel parses a log level; the empty string is info.
func ParseLevel(text string) (zapcore.Level, error) {
	if text == "" {
		return zap.InfoLevel, nil
	}
	level, err := zapcore.ParseLevel(text)
	if err != nil {
		return level, fmt.Errorf("%s: %v", LevelVariable, err)
	}
	return level, nil
}

// New returns a logger of JSON lines. Lines with the same message are sampled: in each second the first ten are kept, then every
// hundredth. Ten covers the connections that a server's restart closes; a flood of faulty clients causes far more lines. At level debug
// all lines are kept, so that single requests can be followed.
func New(w io.Writer, level zapcore.Level) *zap.Logger {
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), zapcore.AddSync(w), level)
	if level <= zap.DebugLevel {
		return zap.New(core)
	}
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, 10, 100))
}
