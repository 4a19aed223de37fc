package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is a header of headerSize bytes and a payload:
//
//	offset 0  magic, 2 bytes
//	       2  kind, 1 byte
//	       3  format version, 1 byte
//	       4  length of the payload, 4 bytes
//	       8  CRC-32C of the payload
//	      12  CRC-32C of the header before this field
//
// Numbers are little-endian. Both checksums are seeded with the segment's
// sequence and the frame's offset, so that a frame is valid only at its own
// position: a copy inside another payload, or a block written to the wrong
// place, is not taken for a record.
const (
	headerSize           = 16
	frameMagic           = 0xC10E
	formatVersion        = 1
	maxPayload           = 256 << 20 // bytes
	payloadCRCOffset     = 8
	headerCRCOffset      = 12
	sectorSize       int = 512 // bytes
)

type recordKind uint8

const (
	// kindHeader is the first record of each segment.
	kindHeader recordKind = iota + 1
	// kindBatch holds what one Append or Reset stored.
	kindBatch
	kindEnd
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frameStatus is the result of reading a frame.
type frameStatus uint8

const (
	frameValid frameStatus = iota
	// frameShort means that the file ends within the frame.
	frameShort
	// frameBad means that the bytes are not a valid frame.
	frameBad
)

// frame is a record as found in a segment.
type frame struct {
	kind    recordKind
	payload []byte
	// end is the offset after the frame, as far as it is known.
	end int
}

// writeFrameHeader fills in the header of buf, which consists of headerSize
// reserved bytes followed by the payload.
func writeFrameHeader(buf []byte, kind recordKind, sequence uint64, offset int64) {
	payload := buf[headerSize:]
	seed := positionSeed(sequence, offset)
	binary.LittleEndian.PutUint16(buf, frameMagic)
	buf[2] = byte(kind)
	buf[3] = formatVersion
	binary.LittleEndian.PutUint32(buf[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(buf[payloadCRCOffset:], crc32.Update(seed, castagnoli, payload))
	headerCRC := crc32.Update(seed, castagnoli, buf[:headerCRCOffset])
	binary.LittleEndian.PutUint32(buf[headerCRCOffset:], headerCRC)
}

// readFrame reads the frame at an offset of a segment.
func readFrame(data []byte, sequence uint64, offset int) (frame, frameStatus) {
	rest := data[offset:]
	if len(rest) < headerSize {
		return frame{end: len(data)}, frameShort
	}
	seed := positionSeed(sequence, int64(offset))
	kind := recordKind(rest[2])
	length := int64(binary.LittleEndian.Uint32(rest[4:]))
	if !headerValid(rest, seed) || kind == 0 || kind >= kindEnd || length > maxPayload {
		return frame{end: len(data)}, frameBad
	}
	if int64(len(rest)) < headerSize+length {
		return frame{end: len(data)}, frameShort
	}
	end := headerSize + int(length)
	payload := rest[headerSize:end]
	if crc32.Update(seed, castagnoli, payload) != binary.LittleEndian.Uint32(rest[payloadCRCOffset:]) {
		return frame{end: offset + end}, frameBad
	}
	return frame{kind: kind, payload: payload, end: offset + end}, frameValid
}

func headerValid(rest []byte, seed uint32) bool {
	if binary.LittleEndian.Uint16(rest) != frameMagic || rest[3] != formatVersion {
		return false
	}
	return crc32.Update(seed, castagnoli, rest[:headerCRCOffset]) == binary.LittleEndian.Uint32(rest[headerCRCOffset:])
}

// positionSeed returns the checksum seed of a frame at a position.
func positionSeed(sequence uint64, offset int64) uint32 {
	var position [16]byte
	binary.LittleEndian.PutUint64(position[:], sequence)
	binary.LittleEndian.PutUint64(position[8:], uint64(offset))
	return crc32.Checksum(position[:], castagnoli)
}

// validFrameAfter reports whether a valid frame starts after offset.
func validFrameAfter(data []byte, sequence uint64, offset int) bool {
	for at := offset + 1; at+headerSize <= len(data); at++ {
		if binary.LittleEndian.Uint16(data[at:]) != frameMagic {
			continue
		}
		if _, status := readFrame(data, sequence, at); status == frameValid {
			return true
		}
	}
	return false
}

// hasEmptySector reports whether a sector of data[from:to] is all zero. A crash
// leaves whole sectors unwritten and never changes single bits, so a record of
// full length without an empty sector was damaged after it had been stored.
func hasEmptySector(data []byte, from, to int) bool {
	for from < to {
		next := min((from/sectorSize+1)*sectorSize, to)
		if allZero(data[from:next]) {
			return true
		}
		from = next
	}
	return false
}

func allZero(data []byte) bool {
	for _, b := range data {
		if b != 0 {
			return false
		}
	}
	return true
}
