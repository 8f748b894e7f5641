package store

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"strconv"
	"testing"
	"time"
)

const writerFolderEnv = "DUNEREACH_TEST_WRITER"

// TestMain lets the test binary also run as the process that is killed.
func TestMain(m *testing.M) {
	if dir := os.Getenv(writerFolderEnv); dir != "" {
		fmt.Fprintln(os.Stderr, writeUntilKilled(dir))
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// writeUntilKilled writes increasing numbers until the process is killed, and prints each number that must be durable.
func writeUntilKilled(dir string) error {
	s, r, err := Open(dir, "n1")
	if err != nil {
		return err
	}
	n := lastNumber(r)
	body := make([]byte, 16<<10)
	for {
		n++
		binary.LittleEndian.PutUint64(body, n)
		if err := s.WriteSnapshot(body); err != nil {
			return err
		}
		fmt.Println(n)
		for range 10 {
			n++
			if err := s.Append(binary.LittleEndian.AppendUint64(nil, n)); err != nil {
				return err
			}
		}
		if err := s.Sync(); err != nil {
			return err
		}
		fmt.Println(n)
	}
}

func lastNumber(r Contents) (n uint64) {
	if r.Generation > 0 {
		n = binary.LittleEndian.Uint64(r.Body)
	}
	if k := len(r.Records); k > 0 {
		n = binary.LittleEndian.Uint64(r.Records[k-1])
	}
	return n
}

// TestKills is the short form of `make show-state`: a process that writes is killed at random times, and everything
// that it had synced must be readable afterwards.
func TestKills(t *testing.T) {
	dir := t.TempDir()
	rnd := rand.New(rand.NewPCG(1, 2))
	generation, previous := uint64(0), uint64(0)
	for kill := range 25 {
		writer := exec.Command(os.Args[0])
		writer.Env = append(os.Environ(), writerFolderEnv+"="+dir)
		out, err := writer.StdoutPipe()
		must(t, err)
		must(t, writer.Start())
		lines := bufio.NewScanner(out)
		var synced uint64
		timer := time.AfterFunc(time.Duration(5e6+rnd.Float64()*20e6), func() { writer.Process.Kill() }) // at a random time
		for lines.Scan() {
			synced, _ = strconv.ParseUint(lines.Text(), 10, 64)
		}
		timer.Stop()
		writer.Wait()
		r := load(t, dir)
		if len(r.Skipped) > 0 {
			t.Fatalf("kill %d: %v", kill, r.Skipped)
		}
		if n := lastNumber(r); n < synced || n < previous || r.Generation < generation {
			t.Fatalf("kill %d: read %d of generation %d, but %d was synced, and %d of generation %d was read before", kill, n, r.Generation, synced, previous, generation)
		} else {
			previous, generation = n, r.Generation
		}
	}
	if previous < 50 {
		t.Errorf("only %d numbers were written in all: the test tried nothing", previous)
	}
}
