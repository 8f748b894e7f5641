// Package logs makes the router's log: lines of JSON for the people on call, bounded on a bad day. It never
// makes the one who logs wait.
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

// Writer passes lines on from a goroutine of its own. Lines that find no room are dropped and counted.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
}

// NewWriter has room for some lines: what a bad second brings after sampling.
func NewWriter() *Writer { return &Writer{lines: make(chan []byte, 256)} }

func (w *Writer) Write(b []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Run writes lines until the context ends, and then those that wait. It tells of dropped ones where they lack.
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

// LevelVariable names the environment variable for the least level that is logged; info where it is not set.
const LevelVariable = "DUNEREACH_LOG_LEVEL"

// ParseLevel reads a level of the log; "" is info.
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

// New is a logger of JSON lines. Of lines with the same message a second's first ten are kept, then each
// hundredth: an engine's restart cuts that many connections, a storm of bad clients sends far more. At level
// debug all are kept, to follow single requests.
func New(w io.Writer, level zapcore.Level) *zap.Logger {
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), zapcore.AddSync(w), level)
	if level <= zap.DebugLevel {
		return zap.New(core)
	}
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, 10, 100))
}
