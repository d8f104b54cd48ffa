// The log on a file system that refuses, forgets and loses power: what was told
// as synced is there afterwards, and nothing of it twice.
package wal_test

import (
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"coppercourse/internal/wal"
	"coppercourse/internal/wal/waltest"
)

const dir = "data"

var errIO = errors.New("input/output error")

// crashTrial is one random life of a log: groups appended and rewritten, each tried
// again until it succeeds, with faults between and losses of power.
type crashTrial struct {
	rnd          *rand.Rand
	storage      *waltest.Storage
	wrap         func(wal.Storage) wal.Storage
	log          *wal.File
	acknowledged []string // told as synced
	next         int
}

// open opens the log, however often that is refused.
func (c *crashTrial) open() ([]string, error) {
	for {
		log, list, spoilt, err := wal.Open(c.wrap(c.storage), dir)
		if err != nil {
			continue
		}
		c.log = log
		if spoilt != "" {
			return nil, errors.New("what a loss of power left was taken for damage")
		}
		return recordTexts(list), nil
	}
}

func recordTexts(list [][]byte) (out []string) {
	for _, b := range list {
		if s := string(b); s != "{}" {
			out = append(out, s)
		}
	}
	return out
}

// fault draws what fails: nothing, mostly.
func (c *crashTrial) fault(op waltest.Op, _ string) *waltest.Fault {
	if c.rnd.Intn(12) > 0 || op == waltest.Remove {
		return nil
	}
	return &waltest.Fault{Err: syscall.ENOSPC, Written: c.rnd.Intn(64)}
}

func (c *crashTrial) group() (list [][]byte) {
	for range 1 + c.rnd.Intn(4) {
		c.next++
		list = append(list, fmt.Appendf(nil, `{"n":%d,"pad":"%s"}`, c.next, strings.Repeat("x", c.rnd.Intn(40))))
	}
	return list
}

// write carries out one step until it succeeds or the power goes.
func (c *crashTrial) write() (before, after []string, done bool) {
	group, whole := c.group(), c.rnd.Intn(5) == 0
	before, after = c.acknowledged, append(slices.Clone(c.acknowledged), recordTexts(group)...)
	act := func() error { return c.log.Append(group) }
	if whole {
		after = recordTexts(group)
		act = func() error { return c.log.Rewrite(group) }
	}
	for {
		if act() == nil {
			return before, after, true
		}
		if c.rnd.Intn(6) == 0 {
			return before, after, false
		}
	}
}

// runTrial lives for so many steps and tells what was lost or made up.
func runTrial(seed int64, steps int, wrap func(wal.Storage) wal.Storage) error {
	x := &crashTrial{rnd: rand.New(rand.NewSource(seed)), storage: waltest.New(seed), wrap: wrap}
	x.storage.Fail = x.fault
	if _, err := x.open(); err != nil {
		return err
	}
	for range steps {
		before, after, done := x.write()
		if done {
			x.acknowledged = after
			if x.rnd.Intn(3) == 0 {
				x.log.Seal()
			}
			if x.rnd.Intn(8) > 0 {
				continue
			}
			before = after
		}
		x.storage = x.storage.LosePower()
		x.storage.Fail = x.fault
		found, err := x.open()
		if err != nil {
			return err
		}
		appended := len(found) >= len(before) && len(found) <= len(after) && slices.Equal(found, after[:len(found)]) && slices.Equal(found[:len(before)], before)
		if !appended && !slices.Equal(found, before) && !slices.Equal(found, after) {
			return fmt.Errorf("found %d records, told were %d, then %d: %v", len(found), len(before), len(after), found)
		}
		x.acknowledged = found
	}
	return nil
}

func unwrapped(s wal.Storage) wal.Storage { return s }

func TestNothingSyncedIsLostOnAFailingDisk(t *testing.T) {
	for seed := range int64(400) {
		if err := runTrial(seed, 60, unwrapped); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// faultyStorage is a storage with one planted bug.
type faultyStorage struct {
	wal.Storage
	sync    func(wal.Handle) error
	syncDir func(string) error
}

type faultyHandle struct {
	wal.Handle
	sync func(wal.Handle) error
}

func (f faultyStorage) OpenFile(path string) (wal.Handle, error) {
	h, err := f.Storage.OpenFile(path)
	return faultyHandle{h, f.sync}, err
}

func (f faultyStorage) SyncDir(dir string) error { return f.syncDir(dir) }

func (f faultyHandle) Sync() error { return f.sync(f.Handle) }

func TestStorageBugsAreDetected(t *testing.T) {
	soundSync := wal.Handle.Sync
	for name, plant := range map[string]func(wal.Storage) wal.Storage{
		"a failed sync is told as done": func(s wal.Storage) wal.Storage {
			return faultyStorage{s, func(h wal.Handle) error { h.Sync(); return nil }, s.SyncDir}
		},
		"a failed sync is tried again without writing again": func(s wal.Storage) wal.Storage {
			return faultyStorage{s, func(h wal.Handle) error {
				for h.Sync() != nil {
				}
				return nil
			}, s.SyncDir}
		},
		"a failed sync of the folder is told as done": func(s wal.Storage) wal.Storage {
			return faultyStorage{s, soundSync, func(dir string) error { s.SyncDir(dir); return nil }}
		},
		"the folder is never synced": func(s wal.Storage) wal.Storage {
			return faultyStorage{s, soundSync, func(string) error { return nil }}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range int64(400) {
				if runTrial(seed, 60, plant) != nil {
					return
				}
			}
			t.Fatal("not caught in 400 seeds")
		})
	}
}

// openSoundLog makes a log with some records on a sound disk.
func openSoundLog(t *testing.T) (*waltest.Storage, *wal.File) {
	t.Helper()
	storage := waltest.New(1)
	log, _, _, err := wal.Open(storage, dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Append([][]byte{[]byte(`{"n":1}`), []byte(`{"n":2}`)}); err != nil {
		t.Fatal(err)
	}
	return storage, log
}

func rereadLog(t *testing.T, storage *waltest.Storage) []string {
	t.Helper()
	_, list, spoilt, err := wal.Open(storage, dir)
	if err != nil || spoilt != "" {
		t.Fatal(err, spoilt)
	}
	return recordTexts(list)
}

func TestTornAppendIsTruncated(t *testing.T) {
	is := is.New(t)
	storage, log := openSoundLog(t)
	size := len(storage.Content(dir, "lore.log"))
	for _, fault := range []waltest.Fault{{Err: syscall.ENOSPC, Written: 30}, {Err: errIO, Written: 5}, {Err: errIO}} {
		storage.SetFail(func(op waltest.Op, _ string) *waltest.Fault {
			if op == waltest.Write {
				return &fault
			}
			return nil
		})
		err := log.Append([][]byte{[]byte(`{"n":3,"long":"............................"}`), []byte(`{"n":4}`)})
		is.True(err != nil)
		is.True(errors.Is(err, fault.Err))
		is.Equal(wal.IsNoSpace(err), fault.Err == syscall.ENOSPC)
	}
	storage.SetFail(nil)
	is.NoErr(log.Append([][]byte{[]byte(`{"n":5}`)})) // shorter than what was torn
	is.True(len(storage.Content(dir, "lore.log")) < size+40)
	is.Equal(rereadLog(t, storage), []string{`{"n":1}`, `{"n":2}`, `{"n":5}`})
}

func TestRewriteWithoutSpaceLeavesTheOldLog(t *testing.T) {
	is := is.New(t)
	storage, log := openSoundLog(t)
	storage.SetCapacity(100)
	long := []byte(`{"long":"` + strings.Repeat("x", 80) + `"}`)
	err := log.Rewrite([][]byte{long})
	is.True(wal.IsNoSpace(err))
	is.Equal(len(storage.Content(dir, "lore.log.new")), 0) // its room is given back
	is.NoErr(log.Append([][]byte{[]byte(`{"n":3}`)}))
	is.Equal(rereadLog(t, storage), []string{`{"n":1}`, `{"n":2}`, `{"n":3}`})
}

func TestRewriteCanFailAtEachStep(t *testing.T) {
	for _, op := range []waltest.Op{waltest.Create, waltest.Truncate, waltest.Write, waltest.Sync, waltest.Rename, waltest.SyncDir} {
		t.Run(string(op), func(t *testing.T) {
			is := is.New(t)
			storage, log := openSoundLog(t)
			storage.SetFail(waltest.FailWith(syscall.EIO, op))
			is.True(log.Rewrite([][]byte{[]byte(`{"n":9}`)}) != nil)
			storage.SetFail(nil)
			is.NoErr(log.Rewrite([][]byte{[]byte(`{"n":9}`)}))
			is.NoErr(log.Append([][]byte{[]byte(`{"n":10}`)}))
			is.Equal(rereadLog(t, storage.LosePower()), []string{`{"n":9}`, `{"n":10}`})
		})
	}
}

func TestOpenCanFailAtEachStep(t *testing.T) {
	for _, op := range []waltest.Op{waltest.MakeDir, waltest.Read, waltest.Create, waltest.Truncate, waltest.Sync, waltest.SyncDir} {
		storage := waltest.New(1)
		storage.SetFail(waltest.FailWith(syscall.ENOSPC, op))
		if _, _, _, err := wal.Open(storage, dir); !errors.Is(err, syscall.ENOSPC) {
			t.Errorf("%s: %v", op, err)
		}
		storage.SetFail(nil)
		if _, _, _, err := wal.Open(storage, dir); err != nil {
			t.Errorf("%s, then sound: %v", op, err)
		}
	}
}

func TestRecordTooLongToReadBackIsRejected(t *testing.T) {
	is := is.New(t)
	storage, log := openSoundLog(t)
	is.True(log.Append([][]byte{make([]byte, wal.MaxRecordSize+1)}) != nil)
	is.True(log.Append([][]byte{{}}) != nil)
	is.NoErr(log.Append([][]byte{[]byte(`{"n":3}`)}))
	is.Equal(len(rereadLog(t, storage)), 3)
}
