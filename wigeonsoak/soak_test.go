package wigeonsoak

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	seeds = flag.Int("soak.seeds", 0, "play this many seeds from -soak.first on instead of those of testdata/seeds.txt")
	first = flag.Uint64("soak.first", 1000, "the first seed to play")
	keep  = flag.String("soak.keep", "", "directory that keeps the settings and logs of the processes")
)

const (
	soakLength   = 8 * time.Second
	soakParallel = 4
)

// Guards the promises to clients while real processes are killed, paused, stopped, cut off and reset, in series and all at
// once: an accepted job is known and gets done, a refused one never runs, nothing runs twice, what lasts is at work until
// it is cancelled, and a process ends by itself only when it is asked to.
func TestSoak(t *testing.T) {
	playSeeds(t, soakSeeds(t))
}

func playSeeds(t *testing.T, played []uint64) {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "wigeonstep")
	output, err := exec.Command("go", "build", "-o", binary, "../cmd/wigeonstep").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", output))
	turns := make(chan struct{}, soakParallel)
	for _, seed := range played {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			turns <- struct{}{}
			defer func() { <-turns }()
			soakOnce(t, binary, seed)
		})
	}
}

func soakOnce(t *testing.T, binary string, seed uint64) {
	directory := t.TempDir()
	if *keep != "" {
		directory = filepath.Join(*keep, fmt.Sprint(seed))
		qt.Assert(t, os.MkdirAll(directory, 0o755), qt.IsNil)
	}
	report, err := Run(context.Background(), Settings{Binary: binary, Directory: directory, Seed: seed, Length: soakLength, Processes: 4, Workers: 5})
	qt.Assert(t, err, qt.IsNil)
	t.Logf("seed=%d accepted=%d refused=%d unknown=%d faults=%d", seed, report.Accepted, report.Refused, report.Unknown, len(report.Plan))
	if len(report.Breaches) > 0 {
		var plan []string
		for _, f := range report.Plan {
			plan = append(plan, f.String())
		}
		t.Fatalf("seed %d:\n%s\nplan:\n%s", seed, strings.Join(report.Breaches, "\n"), strings.Join(plan, "\n"))
	}
	qt.Assert(t, report.Accepted > 0, qt.IsTrue)
}

// soakSeeds returns the seeds to play: those of the command line, or the first of testdata/seeds.txt and all that ever
// failed.
func soakSeeds(t *testing.T) []uint64 {
	t.Helper()
	var found []uint64
	if *seeds > 0 {
		for i := range *seeds {
			found = append(found, *first+uint64(i))
		}
		return found
	}
	return readSeeds(t, "seeds.txt")
}

func readSeeds(t *testing.T, name string) []uint64 {
	t.Helper()
	var found []uint64
	file, err := os.Open(filepath.Join("testdata", name))
	qt.Assert(t, err, qt.IsNil)
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		text, _, _ := strings.Cut(lines.Text(), "#")
		if text = strings.TrimSpace(text); text == "" {
			continue
		}
		var seed uint64
		_, err := fmt.Sscan(text, &seed)
		qt.Assert(t, err, qt.IsNil)
		found = append(found, seed)
	}
	return found
}
