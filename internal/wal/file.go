// The log on a file system: opened and scanned at start, appended and synced in
// groups by one writer, rewritten whole under a second name and renamed when it
// is long. A write or sync that fails leaves the File usable: what came after
// the last successful sync is cut off before the next write, and the caller
// writes the same records again.
package wal

import (
	"errors"
	"io/fs"
	"path/filepath"
	"syscall"
	"time"
)

const (
	logName       = "lore.log"
	newSuffix     = ".new"
	damagedSuffix = ".spoilt"
	sealRecord    = "{}"
)

// File is the log of one data folder. One goroutine owns it.
type File struct {
	storage Storage
	dir     string
	handle  Handle
	synced  int64 // the length that the last successful sync covered
	sealed  bool
	torn    bool // bytes past synced are unknown: a write or sync of them failed
	renamed bool // the folder has not been synced since a rename
}

// SealAfterIdle is how long nothing is written before the file is sealed.
const SealAfterIdle = 50 * time.Millisecond

// DiskError is an operation on the log that the file system refused. The log
// stays usable, and the operation may be tried again.
type DiskError struct {
	Op  string
	Err error
}

func (d *DiskError) Error() string { return "log: " + d.Op + ": " + d.Err.Error() }
func (d *DiskError) Unwrap() error { return d.Err }

func diskError(op string, err error) error { return &DiskError{Op: op, Err: err} }

// IsNoSpace tells whether an operation failed for want of room.
func IsNoSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// Open reads the file of a data folder. A damaged file is put aside under
// another name and told in spoilt; the daemon then starts as a new member.
// What is returned is synced: records that an earlier process wrote and did not
// sync may be read from the cache and are not on the disk yet.
func Open(storage Storage, dir string) (file *File, records [][]byte, damagedPath string, err error) {
	if err = storage.MakeDir(dir); err != nil {
		return nil, nil, "", diskError("data folder", err)
	}
	path := filepath.Join(dir, logName)
	b, err := storage.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, nil, "", diskError("read", err)
	}
	storage.Remove(path + newSuffix) // of a rewrite that a crash ended; there may be none
	records, validLength, bad := Scan(b)
	if bad != nil {
		damagedPath = path + damagedSuffix
		if err = storage.Rename(path, damagedPath); err != nil {
			return nil, nil, "", diskError("put aside", err)
		}
		records, validLength = nil, 0
	}
	handle, err := storage.OpenFile(path)
	if err != nil {
		return nil, nil, "", diskError("open", err)
	}
	file = &File{storage: storage, dir: dir, handle: handle, synced: validLength, torn: true, renamed: true}
	if err = file.repair(); err == nil {
		err = file.sync()
	}
	if err != nil {
		handle.Close()
		return nil, nil, "", err
	}
	return file, records, damagedPath, nil
}

// repair brings the file back to its last synced length after a failure.
func (f *File) repair() error {
	if f.renamed {
		if err := f.storage.SyncDir(f.dir); err != nil {
			return diskError("sync folder", err)
		}
		f.renamed = false
	}
	if f.torn {
		if err := f.handle.Truncate(f.synced); err != nil {
			return diskError("truncate", err)
		}
		f.torn = false
	}
	return nil
}

func (f *File) sync() error {
	if err := f.handle.Sync(); err != nil {
		return diskError("sync", err)
	}
	return nil
}

// Append writes a group of records and syncs them once. After an error none of
// them counts, and the same records may be appended again.
func (f *File) Append(group [][]byte) error {
	if err := f.repair(); err != nil {
		return err
	}
	b, err := encodeRecords(group, f.synced)
	if err != nil {
		return err
	}
	f.torn = true // until all of it is synced
	if _, err := f.handle.WriteAt(b, f.synced); err != nil {
		return diskError("write", err)
	}
	if err := f.sync(); err != nil {
		return err
	}
	f.synced += int64(len(b))
	f.torn, f.sealed = false, false
	return nil
}

// Seal writes an empty record behind the last one, unless it is there already:
// the witness that all before it was synced, so that damage to the last record
// is told from a torn tail.
func (f *File) Seal() error {
	if f.sealed || f.synced == 0 {
		return nil
	}
	err := f.Append([][]byte{[]byte(sealRecord)})
	f.sealed = err == nil
	return err
}

// Rewrite puts the given records in place of the whole file. After an error the
// old file stands, or the new one does whose name may not be durable yet; either
// way the same records may be written again.
func (f *File) Rewrite(group [][]byte) error {
	b, err := encodeRecords(append(group[:len(group):len(group)], []byte(sealRecord)), SyncedByRename)
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, logName)
	handle, err := f.writeNew(path+newSuffix, b)
	if err != nil {
		return err
	}
	if err := f.storage.Rename(path+newSuffix, path); err != nil {
		f.discard(handle, path+newSuffix)
		return diskError("rename", err)
	}
	f.handle.Close()
	f.handle, f.synced = handle, int64(len(b))
	f.sealed, f.torn, f.renamed = true, false, true
	return f.repair()
}

// writeNew makes a synced file of the given content.
func (f *File) writeNew(path string, b []byte) (Handle, error) {
	handle, err := f.storage.OpenFile(path)
	if err != nil {
		return nil, diskError("rewrite", err)
	}
	if err = handle.Truncate(0); err == nil {
		_, err = handle.WriteAt(b, 0)
	}
	if err == nil {
		err = handle.Sync()
	}
	if err != nil {
		f.discard(handle, path)
		return nil, diskError("rewrite", err)
	}
	return handle, nil
}

// discard gives the room of an unfinished file back; what it holds is of no use.
func (f *File) discard(handle Handle, path string) {
	handle.Close()
	f.storage.Remove(path)
}

// Close seals the file and closes it.
func (f *File) Close() error {
	return errors.Join(f.Seal(), f.handle.Close())
}
