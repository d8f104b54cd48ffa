// The file's rules: a torn tail is cut, damage to what was synced is refused.
package wal

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

func writeTestLog(t *testing.T, n int) (dir string, b []byte) {
	is := is.New(t)
	dir = t.TempDir()
	f, list, _, err := Open(OSStorage{}, dir)
	is.NoErr(err)
	is.Equal(len(list), 0)
	for i := range n {
		is.NoErr(f.Append([][]byte{fmt.Appendf(nil, `{"n":%d}`, i)}))
	}
	b, err = os.ReadFile(filepath.Join(dir, logName))
	is.NoErr(err)
	is.NoErr(f.handle.Close()) // killed: nothing more is written
	return
}

func TestSealDetectsDamageToTheLastRecord(t *testing.T) {
	is := is.New(t)
	dir, b := writeTestLog(t, 5)
	whole := len(b)
	f, _, _, err := Open(OSStorage{}, dir)
	is.NoErr(err)
	is.NoErr(f.Seal())
	is.NoErr(f.Seal()) // once is enough
	is.NoErr(f.Close())
	b, err = os.ReadFile(filepath.Join(dir, logName))
	is.NoErr(err)
	list, _, err := Scan(b)
	is.NoErr(err)
	is.Equal(len(list), 6)
	for at := range whole {
		bad := append([]byte(nil), b...)
		bad[at] ^= 0x40
		_, _, err := Scan(bad)
		is.True(err != nil) // every record that was acknowledged has a witness
	}
}

func TestEveryTornTailIsTruncated(t *testing.T) {
	is := is.New(t)
	_, b := writeTestLog(t, 5)
	for cut := range len(b) {
		list, keep, err := Scan(b[:cut])
		is.NoErr(err)
		is.True(keep <= int64(cut))
		is.Equal(len(list), cut/(len(b)/5))
	}
}

func TestDamageBeforeTheTailIsRejected(t *testing.T) {
	is := is.New(t)
	_, b := writeTestLog(t, 5)
	last := len(b) / 5 * 4
	for at := range b {
		bad := append([]byte(nil), b...)
		bad[at] ^= 0x40
		list, keep, err := Scan(bad)
		if at < last {
			is.True(err != nil) // a later record tells that this was synced
			continue
		}
		is.NoErr(err) // the last record has none behind it that tells
		is.Equal(keep, int64(last))
		is.Equal(len(list), 4)
	}
}

func TestRewrittenFileDetectsDamageToItsLastRecord(t *testing.T) {
	is := is.New(t)
	dir, _ := writeTestLog(t, 5)
	f, _, _, err := Open(OSStorage{}, dir)
	is.NoErr(err)
	is.NoErr(f.Rewrite([][]byte{[]byte(`{"a":1}`), []byte(`{"b":2}`)}))
	is.NoErr(f.Append([][]byte{[]byte(`{"c":3}`)}))
	is.NoErr(f.Close())
	path := filepath.Join(dir, logName)
	b, err := os.ReadFile(path)
	is.NoErr(err)
	list, _, err := Scan(b)
	is.NoErr(err)
	is.Equal(len(list), 5) // the two, the seal, what came after, and its seal
	b[headerSize+2] ^= 1
	is.NoErr(os.WriteFile(path, b, 0o600))
	f, list, spoilt, err := Open(OSStorage{}, dir)
	is.NoErr(err)
	defer f.Close()
	is.Equal(len(list), 0) // refused: the daemon comes back as a new member
	kept, err := os.ReadFile(spoilt)
	is.NoErr(err)
	is.Equal(kept, b) // and nothing is thrown away
}
