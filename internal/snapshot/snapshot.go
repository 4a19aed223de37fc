// Package snapshot stores the newest snapshot of a voter in one file, with a
// versioned header and checksum. A new snapshot atomically replaces the
// previous one once it is durable; a damaged one is not loaded.
package snapshot

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyloom/comfreyloom/internal/datafolder"
	"github.com/comfreyloom/comfreyloom/internal/quorum"
)

const (
	fileName      = "snapshot"
	formatVersion = 1
	// The header is little-endian: magic, 8 bytes; version, 4; CRC-32C of
	// version, length and content, 4; length of the content, 8.
	headerSize    = 24
	magic         = "CFLSNAP\n"
	versionOffset = 8
	crcOffset     = 12
	lengthOffset  = 16
)

// remedy tells the operator to rejoin: no older snapshot can replace a damaged
// one, because the entries that it covers are removed from the log.
const remedy = datafolder.HintRejoin

// Save makes a snapshot durable in dir and then replaces the previous one.
func Save(disk datafolder.FS, dir string, s quorum.Snapshot) error {
	data, err := encode(s)
	if err != nil {
		return err
	}
	if err := disk.MkdirAll(dir); err != nil {
		return datafolder.WrapError("make folder", dir, err)
	}
	parent := filepath.Dir(dir)
	if err := disk.SyncDir(parent); err != nil {
		return datafolder.WrapError("sync", parent, err)
	}
	return datafolder.Replace(disk, filepath.Join(dir, fileName), data)
}

// Load returns the snapshot in dir, or nil when none was ever saved. Errors are
// *datafolder.CorruptError and *datafolder.StorageError.
func Load(disk datafolder.FS, dir string) (*quorum.Snapshot, error) {
	if err := disk.MkdirAll(dir); err != nil {
		return nil, datafolder.WrapError("make folder", dir, err)
	}
	if err := datafolder.RemoveTemporary(disk, dir); err != nil {
		return nil, err
	}
	name := filepath.Join(dir, fileName)
	data, err := datafolder.ReadDurable(disk, name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, datafolder.WrapError("read", name, err)
	}
	return decode(name, data)
}

func encode(s quorum.Snapshot) ([]byte, error) {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		return nil, err
	}
	body, err := mode.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("snapshot: encode: %w", err)
	}
	data := make([]byte, headerSize, headerSize+len(body))
	copy(data, magic)
	binary.LittleEndian.PutUint32(data[versionOffset:], formatVersion)
	binary.LittleEndian.PutUint64(data[lengthOffset:], uint64(len(body)))
	data = append(data, body...)
	binary.LittleEndian.PutUint32(data[crcOffset:], checksum(data))
	return data, nil
}

func decode(name string, data []byte) (*quorum.Snapshot, error) {
	if len(data) < headerSize || string(data[:versionOffset]) != magic {
		return nil, corrupt(name, 0, "the header is damaged", remedy)
	}
	if version := binary.LittleEndian.Uint32(data[versionOffset:]); version != formatVersion {
		return nil, corrupt(name, versionOffset,
			fmt.Sprintf("format version %d, this build reads %d", version, formatVersion),
			"start the version of comfreyloom that wrote the snapshot, or a later one; otherwise "+remedy)
	}
	if length := binary.LittleEndian.Uint64(data[lengthOffset:]); length != uint64(len(data)-headerSize) {
		return nil, corrupt(name, lengthOffset,
			fmt.Sprintf("the header gives %d bytes of content, but the file has %d", length, len(data)-headerSize), remedy)
	}
	if checksum(data) != binary.LittleEndian.Uint32(data[crcOffset:]) {
		return nil, corrupt(name, headerSize, "the checksum does not match", remedy)
	}
	var s quorum.Snapshot
	if err := cbor.Unmarshal(data[headerSize:], &s); err != nil {
		return nil, corrupt(name, headerSize, "the content cannot be decoded: "+err.Error(), remedy)
	}
	return &s, nil
}

// checksum covers everything except the magic and the checksum itself.
func checksum(data []byte) uint32 {
	table := crc32.MakeTable(crc32.Castagnoli)
	sum := crc32.Checksum(data[versionOffset:crcOffset], table)
	return crc32.Update(sum, table, data[lengthOffset:])
}

func corrupt(name string, offset int64, reason, hint string) error {
	return &datafolder.CorruptError{File: name, Offset: offset, Reason: reason, Hint: hint}
}
