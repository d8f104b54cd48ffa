package server

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"coppercourse/internal/wal"
	"coppercourse/internal/wal/waltest"
)

// diskRig is a disk writer on a file system in memory, and what it told.
type diskRig struct {
	storage       *waltest.Storage
	disk          *DiskWriter
	mu            sync.Mutex
	syncedBatches []uint64
	reported      []error
	ended         chan error
	stop          context.CancelFunc
}

// startDiskRig runs a writer in the bubble of a test.
func startDiskRig(t *testing.T, wrap func(Log) Log) *diskRig {
	t.Helper()
	w := &diskRig{storage: waltest.New(1), ended: make(chan error, 1)}
	file, _, _, err := wal.Open(w.storage, "data")
	if err != nil {
		t.Fatal(err)
	}
	w.disk = NewDiskWriter(wrap(file), w.onSynced, w.onFailed)
	var ctx context.Context
	ctx, w.stop = context.WithCancel(t.Context())
	go func() { w.ended <- w.disk.Run(ctx) }()
	return w
}

func (d *diskRig) onSynced(seq uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncedBatches = append(d.syncedBatches, seq)
}

func (d *diskRig) onFailed(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reported = append(d.reported, err)
}

// synced gives the numbers that were told as synced.
func (d *diskRig) synced() []uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.syncedBatches)
}

// failures counts how often the machine was told that the disk refuses.
func (d *diskRig) failures() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.reported)
}

func unwrapped(l Log) Log { return l }

func record(n int) []byte { return fmt.Appendf(nil, `{"n":%d}`, n) }

// end stops the writer and gives what it left on the disk after a loss of power.
func (d *diskRig) end(t *testing.T) (found []string) {
	t.Helper()
	d.stop()
	if err := <-d.ended; err != nil {
		t.Fatalf("the writer ended with %v", err)
	}
	_, list, spoilt, err := wal.Open(d.storage.LosePower(), "data")
	if err != nil || spoilt != "" {
		t.Fatal(err, spoilt)
	}
	for _, b := range list {
		if string(b) != "{}" {
			found = append(found, string(b))
		}
	}
	return found
}

// surviveFaults writes while the disk refuses in one way for ten seconds, and
// tells what was wrong with what the writer told and left.
func surviveFaults(t *testing.T, fail func(waltest.Op, string) *waltest.Fault, wrap func(Log) Log) (problem string) {
	synctest.Test(t, func(t *testing.T) {
		w := startDiskRig(t, wrap)
		w.disk.Enqueue(Batch{Records: [][]byte{record(1)}, Number: 1})
		synctest.Wait()
		w.storage.SetFail(fail)
		w.disk.Enqueue(Batch{Records: [][]byte{record(2), record(3)}, Number: 2})
		for range 10 {
			time.Sleep(time.Second)
			w.disk.Enqueue(Batch{Records: [][]byte{record(4)}, Number: 3})
		}
		synctest.Wait()
		switch {
		case !slices.Equal(w.synced(), []uint64{1}):
			problem = fmt.Sprintf("told as synced while the disk refused: %v", w.synced())
		case w.failures() != 1:
			problem = fmt.Sprintf("the machine was told %d times", w.failures())
		}
		tries := w.storage.Count(waltest.Write) + w.storage.Count(waltest.Sync) + w.storage.Count(waltest.Truncate)
		if tries > 60 {
			problem = fmt.Sprintf("%d operations in ten seconds on a disk that refuses", tries)
		}
		w.storage.SetFail(nil)
		time.Sleep(maxRetryDelay)
		synctest.Wait()
		if len(w.synced()) == 0 || w.synced()[len(w.synced())-1] != 3 {
			problem = fmt.Sprintf("not told as synced when the disk was back: %v", w.synced())
		}
		if found := w.end(t); len(found) != 13 || found[0] != string(record(1)) || found[1] != string(record(2)) || found[12] != string(record(4)) {
			problem += fmt.Sprintf("; the disk holds %v", found)
		}
	})
	return problem
}

var diskFaults = map[string]func(waltest.Op, string) *waltest.Fault{
	"no space":      waltest.FailWith(syscall.ENOSPC, waltest.Write, waltest.Create),
	"write error":   waltest.FailWith(syscall.EIO, waltest.Write),
	"sync error":    waltest.FailWith(syscall.EIO, waltest.Sync),
	"truncate, too": waltest.FailWith(syscall.EROFS, waltest.Write, waltest.Truncate, waltest.Create),
	"short write": func(op waltest.Op, _ string) *waltest.Fault {
		if op == waltest.Write {
			return &waltest.Fault{Err: syscall.ENOSPC, Written: 20}
		}
		return nil
	},
}

func TestDiskWriterSurvivesFaults(t *testing.T) {
	for name, fail := range diskFaults {
		t.Run(name, func(t *testing.T) {
			if wrong := surviveFaults(t, fail, unwrapped); wrong != "" {
				t.Error(wrong)
			}
		})
	}
}

// faultyLog is a log with one planted bug.
type faultyLog struct {
	Log
	append func(Log, [][]byte) error
}

func (f faultyLog) Append(list [][]byte) error { return f.append(f.Log, list) }

func TestDiskWriterBugsAreDetected(t *testing.T) {
	bugs := map[string]func(Log, [][]byte) error{
		"synced is told after a failure": func(l Log, list [][]byte) error {
			l.Append(list)
			return nil
		},
		"a group that failed is skipped": func() func(Log, [][]byte) error {
			var skip int
			return func(l Log, list [][]byte) error {
				err := l.Append(list[min(skip, len(list)):])
				if err != nil {
					skip = len(list)
				}
				return err
			}
		}(),
		"a failure is tried again at once": func(l Log, list [][]byte) (err error) {
			for range 100 {
				if err = l.Append(list); err == nil {
					break
				}
			}
			return err
		},
	}
	for name, bug := range bugs {
		t.Run(name, func(t *testing.T) {
			wrong := surviveFaults(t, diskFaults["sync error"], func(l Log) Log { return faultyLog{l, bug} })
			if wrong == "" {
				t.Error("not caught")
			}
		})
	}
}

func TestRewriteWithoutSpaceIsAppended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := startDiskRig(t, unwrapped)
		w.disk.Enqueue(Batch{Records: [][]byte{record(1)}, Number: 1})
		synctest.Wait()
		w.storage.SetCapacity(200)
		snapshot := []byte(`{"snapshot":"` + strings.Repeat("x", 150) + `"}`)
		w.disk.Enqueue(Batch{Records: [][]byte{snapshot}, Number: 2, ReplaceLog: true, FallbackRecords: [][]byte{record(2)}})
		synctest.Wait()
		is.Equal(w.synced(), []uint64{1, 2})
		is.Equal(w.failures(), 0)
		is.Equal(w.end(t), []string{string(record(1)), string(record(2))})
	})
}

func TestLeaderSnapshotWaitsForSpace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := startDiskRig(t, unwrapped)
		w.storage.SetCapacity(200)
		snapshot := []byte(`{"snapshot":"` + strings.Repeat("x", 150) + `"}`)
		w.disk.Enqueue(Batch{Records: [][]byte{record(1)}, Number: 1})
		synctest.Wait()
		w.disk.Enqueue(Batch{Records: [][]byte{snapshot}, Number: 2, ReplaceLog: true}) // nothing else will do
		w.disk.Enqueue(Batch{Records: [][]byte{record(3)}, Number: 3})
		time.Sleep(time.Minute)
		synctest.Wait()
		is.Equal(w.synced(), []uint64{1})
		w.storage.SetCapacity(2000)
		time.Sleep(maxRetryDelay)
		synctest.Wait()
		is.Equal(w.synced()[len(w.synced())-1], uint64(3))
		is.Equal(w.end(t), []string{string(snapshot), string(record(3))})
	})
}

func TestPendingBatchesStayBounded(t *testing.T) {
	is := is.New(t)
	d := NewDiskWriter(nil, nil, nil)
	seq := uint64(0)
	put := func(whole bool, instead [][]byte) {
		seq++
		d.Enqueue(Batch{Records: [][]byte{record(int(seq))}, Number: seq, ReplaceLog: whole, FallbackRecords: instead})
	}
	put(false, nil)
	put(true, [][]byte{record(100)})
	put(false, nil)
	put(true, [][]byte{record(101)})
	is.Equal(len(d.pendingBatches()), 4) // all are needed where a file can't be rewritten
	is.Equal(d.pendingBatches()[1], Batch{Records: [][]byte{record(100)}, Number: 2})
	put(true, nil) // a snapshot of a leader: nothing before it is
	is.Equal(len(d.pendingBatches()), 1)
	put(false, nil)
	put(true, [][]byte{record(102)}) // builds on one that can't be appended
	is.Equal(len(d.pendingBatches()), 1)
	is.Equal(d.pendingBatches()[0].FallbackRecords, nil)
}

func TestOpenLogWaitsForTheDisk(t *testing.T) {
	for _, op := range []waltest.Op{waltest.Create, waltest.Read, waltest.Sync} {
		t.Run(string(op), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				storage := waltest.New(1)
				storage.SetFail(waltest.FailWith(syscall.ENOSPC, op))
				time.AfterFunc(10*time.Second, func() { storage.SetFail(nil) })
				begin := time.Now()
				file, _, err := OpenLog(t.Context(), logr.Discard(), storage, "data", "")
				is.NoErr(err)
				is.NoErr(file.Append([][]byte{record(1)}))
				is.True(time.Since(begin) >= 10*time.Second)
				is.True(time.Since(begin) <= 10*time.Second+maxRetryDelay)
				is.True(storage.Count(op) < 30) // with growing pauses
			})
		})
	}
}

func TestOpenLogEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		storage := waltest.New(1)
		storage.SetFail(waltest.FailWith(syscall.ENOSPC, waltest.Create))
		ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
		defer stop()
		if _, _, err := OpenLog(ctx, logr.Discard(), storage, "data", ""); !errors.Is(err, context.DeadlineExceeded) {
			t.Error(err)
		}
	})
}

func TestDiskWaitIsReported(t *testing.T) {
	is := is.New(t)
	page := &diskWaitHandler{}
	page.reason.Store("no space left on device")
	is.Equal(getPath(page, "/live").Code, 200)
	is.Equal(getPath(page, "/ready").Code, 503)
	status := getPath(page, "/v1/status")
	is.Equal(status.Code, 200)
	is.True(strings.Contains(status.Body.String(), "no space left on device"))
}

func getPath(h http.Handler, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	return w
}
