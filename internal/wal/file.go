package wal

import (
	"errors"
	"io/fs"
	"path/filepath"
	"time"
)

// Names in a data folder.
const (
	logName       = "lore.log"
	newSuffix     = ".new"    // of a rewritten log that has not taken its place yet
	corruptSuffix = ".spoilt" // of a damaged log
)

// sealRecord is the body of a seal; see File.Seal.
const sealRecord = "{}"

// SealAfterIdle is how long after the last write the owner of a File seals it. The File
// itself reads no clock.
const SealAfterIdle = 50 * time.Millisecond

// File is the log of one data folder. One goroutine uses it.
//
// A write or sync that fails leaves it usable. What came after the last successful sync is
// cut off before the next write, and the caller writes the same records again.
type File struct {
	storage        Storage
	dir            string
	handle         Handle
	synced         int64 // length in bytes that the last successful sync covered
	sealed         bool  // the last record is a seal
	torn           bool  // the bytes past synced are unknown: a write or sync of them failed
	dirSyncPending bool  // the folder has not been synced since a rename
}

// Contents is what a data folder held when its log was opened.
type Contents struct {
	Records     [][]byte // the bodies, oldest first, with the seals between them
	CorruptPath string   // where a damaged log was moved to; empty if there was none
}

// Open opens the log of a data folder, which it creates if need be. A damaged log is moved
// aside and an empty one opened: without its records a controller is a new member.
//
// All records that are returned are on disk. Some of them an earlier process may have
// written and not synced, so that they were read from the cache of the operating system.
//
// The error is a DiskError. Damage is no error; Contents tells of it, also beside an error of
// a later step, as the next call finds no damaged log any more.
func Open(storage Storage, dir string) (*File, Contents, error) {
	if err := storage.MakeDir(dir); err != nil {
		return nil, Contents{}, diskError("data folder", err)
	}
	path := filepath.Join(dir, logName)
	encoded, err := storage.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, Contents{}, diskError("read", err)
	}
	storage.Remove(path + newSuffix) // of a rewrite that a crash ended; there may be none
	var contents Contents
	records, validLength, damage := Scan(encoded)
	if damage == nil {
		contents.Records = records
	} else {
		validLength = 0
		contents.CorruptPath = path + corruptSuffix
		if err := storage.Rename(path, contents.CorruptPath); err != nil {
			return nil, Contents{}, diskError("put aside", err)
		}
	}
	file, err := openForAppend(storage, dir, validLength)
	if err != nil {
		return nil, Contents{CorruptPath: contents.CorruptPath}, err
	}
	return file, contents, nil
}

// openForAppend opens the log for appending after its valid length in bytes, and syncs that. The
// error is a DiskError.
func openForAppend(storage Storage, dir string, validLength int64) (*File, error) {
	handle, err := storage.OpenFile(filepath.Join(dir, logName))
	if err != nil {
		return nil, diskError("open", err)
	}
	file := &File{storage: storage, dir: dir, handle: handle, synced: validLength, torn: true, dirSyncPending: true}
	if err = file.repair(); err == nil {
		err = file.sync()
	}
	if err != nil {
		handle.Close()
		return nil, err
	}
	return file, nil
}

// repair brings the file back to its last synced length after a failure. The error is a
// DiskError, after which it may be called again.
func (f *File) repair() error {
	if f.dirSyncPending {
		if err := f.storage.SyncDir(f.dir); err != nil {
			return diskError("sync folder", err)
		}
		f.dirSyncPending = false
	}
	if f.torn {
		if err := f.handle.Truncate(f.synced); err != nil {
			return diskError("truncate", err)
		}
		f.torn = false
	}
	return nil
}

// sync syncs the file. The error is a DiskError.
func (f *File) sync() error {
	if err := f.handle.Sync(); err != nil {
		return diskError("sync", err)
	}
	return nil
}

// Append writes records and syncs them once. After an error none of them counts, and the
// same records may be appended again. The error is a DiskError, or of kind
// apierror.Unusable for a record that is empty or larger than MaxRecordSize.
func (f *File) Append(records [][]byte) error {
	if err := f.repair(); err != nil {
		return err
	}
	encoded, err := encodeRecords(records, f.synced)
	if err != nil {
		return err
	}
	f.torn = true // until all of it is synced
	if _, err := f.handle.WriteAt(encoded, f.synced); err != nil {
		return diskError("write", err)
	}
	if err := f.sync(); err != nil {
		return err
	}
	f.synced += int64(len(encoded))
	f.torn, f.sealed = false, false
	return nil
}

// Seal writes a seal behind the last record, unless it is there already. It shows that all
// before it was synced, so that damage to the last record is not taken for a torn tail. An
// empty log is not sealed. The error is a DiskError, after which the log is not sealed.
func (f *File) Seal() error {
	if f.sealed || f.synced == 0 {
		return nil
	}
	err := f.Append([][]byte{[]byte(sealRecord)})
	f.sealed = err == nil
	return err
}

// Rewrite replaces the whole log by the given records. After an error the log is the old
// one, or the new one under a name that may not be durable yet; either way the same records
// may be written again. The errors are those of Append.
func (f *File) Rewrite(records [][]byte) error {
	sealed := append(records[:len(records):len(records)], []byte(sealRecord))
	encoded, err := encodeRecords(sealed, SyncedByRename)
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, logName)
	handle, err := f.createSynced(path+newSuffix, encoded)
	if err != nil {
		return err
	}
	if err := f.storage.Rename(path+newSuffix, path); err != nil {
		f.discard(handle, path+newSuffix)
		return diskError("rename", err)
	}
	f.handle.Close()
	f.handle, f.synced = handle, int64(len(encoded))
	f.sealed, f.torn, f.dirSyncPending = true, false, true
	return f.repair()
}

// createSynced creates a file of the given content and syncs it. After an error, a DiskError,
// the file is removed.
func (f *File) createSynced(path string, content []byte) (Handle, error) {
	handle, err := f.storage.OpenFile(path)
	if err != nil {
		return nil, diskError("rewrite", err)
	}
	if err = handle.Truncate(0); err == nil {
		_, err = handle.WriteAt(content, 0)
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

// discard removes an unfinished file, so that its space is free again. A file that can't be
// removed is overwritten by the next rewrite, or removed by Open.
func (f *File) discard(handle Handle, path string) {
	handle.Close()
	f.storage.Remove(path)
}

// Close seals the log and closes it, also if it can't be sealed. The error joins those of
// both.
func (f *File) Close() error {
	return errors.Join(f.Seal(), f.handle.Close())
}
