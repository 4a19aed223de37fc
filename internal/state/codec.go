package state

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreyloom/comfreyloom/internal/codec"
)

const (
	// compressFrom is the size from which a manifest or a plan is compressed,
	// in bytes. Claims and jobs are not: callers wait for them, and their
	// content belongs to the callers, who may have compressed it already.
	compressFrom = 1 << 10
	// maxCommandBytes bounds what a compressed command may grow to.
	maxCommandBytes = 16 << 20
)

// gzipMagic begins a compressed command. No CBOR map begins so.
var gzipMagic = []byte{0x1f, 0x8b}

// compressors are kept: a new one takes 0.8 MB of memory.
var compressors = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// errTooLarge says that a compressed command grows beyond maxCommandBytes.
var errTooLarge = errors.New("state: command is too large")

// Encode returns the bytes of a command as they go into the control log. Each
// byte of it goes to every VM and to every disk.
func Encode(c Command) ([]byte, error) {
	data, err := codec.Marshal(c)
	repetitive := c.ApplyManifest != nil || c.Plan != nil
	if err != nil || !repetitive || len(data) < compressFrom {
		return data, err
	}
	var buffer bytes.Buffer
	w := compressors.Get().(*gzip.Writer)
	defer compressors.Put(w)
	w.Reset(&buffer)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// Decode is the inverse of Encode. It refuses unknown fields.
func Decode(data []byte) (Command, error) {
	var c Command
	data, err := inflate(data)
	if err != nil {
		return Command{}, err
	}
	if err := codec.Unmarshal(data, &c); err != nil {
		return Command{}, err
	}
	return c, nil
}

// inflate returns a command as it was before it was compressed. The bound keeps
// a few bytes of a faulty peer from filling the memory.
func inflate(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, gzipMagic) {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	whole, err := io.ReadAll(io.LimitReader(r, maxCommandBytes+1))
	if err != nil {
		return nil, err
	}
	if len(whole) > maxCommandBytes {
		return nil, errTooLarge
	}
	return whole, nil
}

// EncodeResult returns the bytes of a result as it travels between VMs.
func EncodeResult(r Result) ([]byte, error) { return codec.Marshal(r) }

// DecodeResult is the inverse of EncodeResult.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if err := codec.Unmarshal(data, &r); err != nil {
		return Result{}, err
	}
	return r, nil
}

// rowHasher hashes rows through one buffer that it keeps.
type rowHasher struct{ buffer bytes.Buffer }

// sum hashes the encoded row, salted with its table so that equal rows of two
// tables differ. All rows are of our own types, so encoding cannot fail.
func (h *rowHasher) sum(table byte, row any) uint64 {
	h.buffer.Reset()
	h.buffer.WriteByte(table)
	if err := codec.MarshalToBuffer(row, &h.buffer); err != nil {
		panic(err)
	}
	return xxhash.Sum64(h.buffer.Bytes())
}
