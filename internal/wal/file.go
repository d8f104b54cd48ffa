// The real file: opened and scanned at start, appended and synced in groups by
// one writer, rewritten whole under a second name and renamed when it is long.
package wal

import (
	"os"
	"path/filepath"
	"time"

	"coppercourse/internal/apierror"
)

const name = "lore.log"

type File struct {
	dir    string
	f      *os.File
	size   int64
	synced int64
	sealed bool
}

// Rest is how long nothing is written before the file is sealed.
const Rest = 50 * time.Millisecond

// Open reads the file of a data folder. A damaged file is put aside under
// another name and told in spoilt; the daemon then starts as a new member.
func Open(dir string) (file *File, list [][]byte, spoilt string, err error) {
	if err = os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, "", apierror.Wrap(apierror.Unfit, err, "data folder")
	}
	path := filepath.Join(dir, name)
	b, err := os.ReadFile(path)
	if err != nil && !os.IsNotExist(err) {
		return nil, nil, "", apierror.Wrap(apierror.Unfit, err, "read")
	}
	list, keep, bad := Scan(b)
	if bad != nil {
		spoilt = path + ".spoilt"
		if err = os.Rename(path, spoilt); err != nil {
			return nil, nil, "", apierror.Wrap(apierror.Unfit, err, "put aside")
		}
		list, keep = nil, 0
	}
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, nil, "", apierror.Wrap(apierror.Unfit, err, "open")
	}
	file = &File{dir: dir, f: f, size: keep}
	if err = f.Truncate(keep); err == nil {
		_, err = f.Seek(keep, 0)
	}
	if err == nil {
		err = file.sync()
	}
	return file, list, spoilt, err
}

func (x *File) sync() error {
	if err := x.f.Sync(); err != nil {
		return apierror.Wrap(apierror.Unfit, err, "sync")
	}
	d, err := os.Open(x.dir)
	if err != nil {
		return apierror.Wrap(apierror.Unfit, err, "sync folder")
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return apierror.Wrap(apierror.Unfit, err, "sync folder")
	}
	x.synced = x.size
	return nil
}

// Append writes a group of records and syncs them once.
func (x *File) Append(group [][]byte) error {
	var b []byte
	for _, r := range group {
		b = Pack(b, r, x.synced)
	}
	if _, err := x.f.Write(b); err != nil {
		return apierror.Wrap(apierror.Unfit, err, "write")
	}
	x.size += int64(len(b))
	if err := x.f.Sync(); err != nil {
		return apierror.Wrap(apierror.Unfit, err, "sync")
	}
	x.synced, x.sealed = x.size, false
	return nil
}

// Seal writes an empty record behind the last one, unless it is there already:
// the witness that all before it was synced, so that damage to the last record
// is told from a torn tail.
func (x *File) Seal() error {
	if x.sealed || x.size == 0 {
		return nil
	}
	err := x.Append([][]byte{[]byte("{}")})
	x.sealed = err == nil
	return err
}

// Rewrite puts the given records in place of the whole file.
func (x *File) Rewrite(group [][]byte) error {
	path := filepath.Join(x.dir, name)
	f, err := os.OpenFile(path+".new", os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return apierror.Wrap(apierror.Unfit, err, "rewrite")
	}
	var b []byte
	for _, r := range append(group, []byte("{}")) {
		b = Pack(b, r, Whole)
	}
	if _, err = f.Write(b); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		f.Close()
		return apierror.Wrap(apierror.Unfit, err, "rewrite")
	}
	x.f.Close()
	x.f, x.size, x.sealed = f, int64(len(b)), true
	return x.sync()
}

func (x *File) Close() error {
	if err := x.Seal(); err != nil {
		x.f.Close()
		return err
	}
	return x.f.Close()
}
