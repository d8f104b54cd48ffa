package fleet

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"coppercourse/sim/deployment"
)

// Times of the short soak run. They only bound how long it may take; no rule depends on them.
const (
	shortSoakTraffic = 8 * time.Second
	shortSoakStart   = time.Minute
	shortSoakLimit   = 5 * time.Minute
	shortSoakPort    = 7700
)

func TestSoakFaultsAreSeededAndOverlap(t *testing.T) {
	is := is.New(t)
	const duration = 20 * time.Second
	list := SoakFaults(3, duration)
	is.True(reflect.DeepEqual(list, SoakFaults(3, duration)))
	is.True(!reflect.DeepEqual(list, SoakFaults(4, duration)))
	overlapping := 0
	for i, f := range list {
		is.True(lookupFault(f.Name) != nil)
		is.True(f.At < duration)
		if i > 0 && list[i-1].At+list[i-1].Duration > f.At {
			overlapping++
		}
	}
	is.True(2*overlapping > len(list))
}

// Two faults at once do not signal one process.
func TestClaimedProcessIsNotClaimedAgain(t *testing.T) {
	is := is.New(t)
	a, b := &process{name: "a"}, &process{name: "b"}
	is.Equal(claim([]*process{a}), []*process{a})
	is.Equal(claim([]*process{a, b}), []*process{b})
	release([]*process{a})
	is.Equal(claim([]*process{a, b}), []*process{a})
}

// TestShortSoak runs real processes with open connections and overlapping faults. It judges the
// checker's rules only: on a machine that is too slow to finish in time it proves nothing.
func TestShortSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("run without the race detector")
	}
	is := is.New(t)
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir, "../../cmd/...")
	build.Stdout, build.Stderr = os.Stdout, os.Stderr
	is.NoErr(build.Run())
	ctx, end := context.WithTimeout(context.Background(), shortSoakLimit)
	defer end()
	f := &Fleet{
		Deployment: deployment.Named("kingston"),
		Dir:        filepath.Join(dir, "fleet"),
		Bin:        filepath.Join(dir, "coppercourse"),
		WorkerBin:  filepath.Join(dir, "coppersim"),
		Port:       shortSoakPort,
	}
	defer f.Stop()
	is.NoErr(f.Start(ctx))
	if err := f.AwaitReady(shortSoakStart); err != nil {
		t.Skip(err)
	}
	const seed = 1
	w := NewWorkload(f, seed, 1)
	w.KeepConnections()
	_, err := w.PutTable(f.Deployment.Table())
	is.NoErr(err)
	if err := f.RunScenario(w, shortSoakTraffic, SoakFaults(seed, shortSoakTraffic)); err != nil {
		t.Skip(err)
	}
	violations, err := f.Report(w)
	is.NoErr(err)
	for _, violation := range violations {
		t.Error(violation)
	}
	is.True(len(w.CompletionLatencies) > 0)
	saved, err := os.ReadFile(filepath.Join(f.Dir, historyFile))
	is.NoErr(err)
	is.Equal(bytes.Count(saved, []byte("\n")), len(f.history.Events))
}
