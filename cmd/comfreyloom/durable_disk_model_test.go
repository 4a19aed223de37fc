package main

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
)

// Guards against a disk of the tests that loses what was synced: a process is killed
// between the rename of a file and the sync of its directory, the next one syncs the
// directory, and the power is lost.
func TestDurableDiskKeepsWhatAnEarlierProcessSynced(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 3))
		durable, folder := t.TempDir(), filepath.Join(t.TempDir(), "data")
		name := filepath.Join(folder, "snapshot")
		first := &durableDisk{durable: durable, files: map[string]*durableFile{}}
		is.NoErr(first.MkdirAll(folder))
		is.NoErr(datafolder.Replace(first, name, []byte("the first content")))
		replaceWithoutSyncDir(is, first, name, "the second content")
		if seed%2 == 0 {
			second := &durableDisk{durable: durable, files: map[string]*durableFile{}}
			is.NoErr(second.SyncDir(folder))
		}
		is.NoErr(losePower(random, durable, folder))
		data, err := os.ReadFile(name)
		is.NoErr(err)
		if seed%2 == 0 {
			is.Equal(string(data), "the second content")
		}
		is.True(string(data) == "the first content" || string(data) == "the second content")
	}
}

// replaceWithoutSyncDir does what a process does that is killed before the directory
// is synced.
func replaceWithoutSyncDir(is *is.I, disk *durableDisk, name, content string) {
	f, err := disk.Create(name + datafolder.TemporarySuffix)
	is.NoErr(err)
	_, err = f.Write([]byte(content))
	is.NoErr(err)
	is.NoErr(f.Sync())
	is.NoErr(disk.Rename(name+datafolder.TemporarySuffix, name))
	is.NoErr(f.Close())
}
