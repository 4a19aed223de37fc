package datafolder

import (
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"path/filepath"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

const (
	lockName     = "lock"
	identityName = "identity"
	logName      = "log"
	snapshotName = "snapshot"
)

// Options holds the path of a folder and its expected owner.
type Options struct {
	Path string
	Site string
	Node model.NodeID
	// Founders are recorded in the identity of a new folder.
	Founders []model.NodeID
	// Disk is the file system; nil selects that of the operating system.
	Disk FS
}

// Folder is a locked data folder.
type Folder struct {
	path string
	disk FS
	lock io.Closer

	mu       sync.Mutex
	identity Identity
}

// identityFile is the stored form of the identity; the CRC covers Body.
type identityFile struct {
	Format int    `cbor:"1,keyasint"`
	CRC    uint32 `cbor:"2,keyasint"`
	Body   []byte `cbor:"3,keyasint"`
}

// Open locks a folder and reads its identity; an empty folder gets a new one. It
// refuses a folder of another site, node or format, and a folder that holds a log
// or a snapshot but no identity.
func Open(o Options) (*Folder, error) {
	if o.Disk == nil {
		o.Disk = Disk{}
	}
	if err := o.Disk.MkdirAll(o.Path); err != nil {
		return nil, WrapError("make folder", o.Path, err)
	}
	lock, err := acquireLock(o)
	if err != nil {
		return nil, err
	}
	f := &Folder{path: o.Path, disk: o.Disk, lock: lock}
	if err := f.loadIdentity(o); err != nil {
		_ = lock.Close()
		return nil, err
	}
	return f, nil
}

// acquireLock prevents a second process from using the folder: two processes that
// append to one log would overwrite votes and entries that the other one has
// acknowledged.
func acquireLock(o Options) (io.Closer, error) {
	name := filepath.Join(o.Path, lockName)
	lock, err := o.Disk.Lock(name)
	if errors.Is(err, ErrLocked) {
		return nil, &StorageError{File: name, Op: "lock", Err: err,
			Hint: "stop the other comfreyloom process that uses this data folder, or give this one its own"}
	}
	if err != nil {
		return nil, WrapError("lock", name, err)
	}
	return lock, nil
}

// loadIdentity reads the identity and checks the owner, or creates an identity in
// a new folder.
func (f *Folder) loadIdentity(o Options) error {
	if err := RemoveTemporary(f.disk, f.path); err != nil {
		return err
	}
	name := f.identityPath()
	data, err := ReadDurable(f.disk, name)
	if errors.Is(err, fs.ErrNotExist) {
		return f.createIdentity(o)
	}
	if err != nil {
		return WrapError("read", name, err)
	}
	identity, err := decodeIdentityFile(name, data)
	if err != nil {
		return err
	}
	if err := checkOwner(name, identity, o); err != nil {
		return err
	}
	f.identity = identity
	return nil
}

// createIdentity stores a new identity in a folder without log and snapshot. A log
// without an identity means that the identity was deleted: under a new one, the
// votes in the log would be forgotten although the disk does not count as lost.
func (f *Folder) createIdentity(o Options) error {
	names, err := f.disk.List(f.path)
	if err != nil {
		return WrapError("list", f.path, err)
	}
	for _, name := range names {
		if name == logName || name == snapshotName {
			return &CorruptError{File: f.identityPath(),
				Reason: "the file is missing while " + name + " is there", Hint: HintRejoin}
		}
	}
	return f.SetIdentity(newIdentity(o.Site, o.Node, o.Founders))
}

func checkOwner(name string, identity Identity, o Options) error {
	if identity.Site == o.Site && identity.Node == o.Node {
		return nil
	}
	return &CorruptError{File: name,
		Reason: fmt.Sprintf("the folder belongs to site %q node %q, the settings say site %q node %q",
			identity.Site, identity.Node, o.Site, o.Node),
		Hint: "correct data_folder, or site and node name, in the settings"}
}

func decodeIdentityFile(name string, data []byte) (Identity, error) {
	var stored identityFile
	if err := cbor.Unmarshal(data, &stored); err != nil {
		return Identity{}, &CorruptError{File: name, Reason: err.Error(), Hint: HintRejoin}
	}
	if stored.Format != FormatVersion {
		return Identity{}, &CorruptError{File: name,
			Reason: fmt.Sprintf("format version %d, this build reads %d", stored.Format, FormatVersion),
			Hint:   "start the version of comfreyloom that wrote the folder, or a later one"}
	}
	if checksum(stored.Body) != stored.CRC {
		return Identity{}, &CorruptError{File: name, Reason: "checksum does not match", Hint: HintRejoin}
	}
	identity, err := DecodeIdentity(stored.Body)
	if err != nil {
		return Identity{}, &CorruptError{File: name, Reason: err.Error(), Hint: HintRejoin}
	}
	return identity, nil
}

// Identity returns the identity of the folder.
func (f *Folder) Identity() Identity {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.identity
}

// SetIdentity makes an identity durable. It takes effect only when nil is returned.
func (f *Folder) SetIdentity(identity Identity) error {
	body, err := identity.Encode()
	if err != nil {
		return err
	}
	data, err := encoding.Marshal(identityFile{Format: FormatVersion, CRC: checksum(body), Body: body})
	if err != nil {
		return err
	}
	if err := Replace(f.disk, f.identityPath(), data); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.identity = identity
	return nil
}

// ResetIdentity gives the folder a new disk identity in PhaseEmpty. It may be called only
// when the disk never took part in the quorum.
func (f *Folder) ResetIdentity() error {
	old := f.Identity()
	return f.SetIdentity(newIdentity(old.Site, old.Node, old.Founders))
}

// FS returns the file system of the folder.
func (f *Folder) FS() FS { return f.disk }

// LogPath returns the directory of the log.
func (f *Folder) LogPath() string { return filepath.Join(f.path, logName) }

// SnapshotPath returns the directory of the snapshot.
func (f *Folder) SnapshotPath() string { return filepath.Join(f.path, snapshotName) }

// Close releases the lock.
func (f *Folder) Close() error { return f.lock.Close() }

func (f *Folder) identityPath() string { return filepath.Join(f.path, identityName) }

func checksum(data []byte) uint32 {
	return crc32.Checksum(data, crc32.MakeTable(crc32.Castagnoli))
}
