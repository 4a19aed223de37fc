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
	// compressMinBytes is the size in bytes from which a manifest or a plan is
	// compressed. Claims and jobs are never compressed: callers wait for them,
	// and their content comes from the callers, who may have compressed it.
	compressMinBytes = 1 << 10
	// maxCommandBytes bounds the decompressed size of a command.
	maxCommandBytes = 16 << 20
)

// gzipMagic is the prefix of a compressed command. No CBOR map starts with it.
var gzipMagic = []byte{0x1f, 0x8b}

// gzipWriters are reused: a new one allocates 0.8 MB of memory.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(io.Discard) }}

// errTooLarge is returned for a compressed command that exceeds maxCommandBytes
// when decompressed.
var errTooLarge = errors.New("state: command is too large")

// Encode returns a command as it is stored in the control log. Large manifests
// and plans are compressed, since every byte is sent to every VM and written to
// every disk.
func Encode(c Command) ([]byte, error) {
	data, err := codec.Marshal(c)
	compressible := c.ApplyManifest != nil || c.Plan != nil
	if err != nil || !compressible || len(data) < compressMinBytes {
		return data, err
	}
	var buffer bytes.Buffer
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	w.Reset(&buffer)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// Decode is the inverse of Encode. It rejects unknown fields.
func Decode(data []byte) (Command, error) {
	var c Command
	data, err := decompress(data)
	if err != nil {
		return Command{}, err
	}
	if err := codec.Unmarshal(data, &c); err != nil {
		return Command{}, err
	}
	return c, nil
}

// decompress returns the encoded command before compression. The size bound keeps
// a small command from a faulty peer from exhausting memory.
func decompress(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, gzipMagic) {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxCommandBytes+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxCommandBytes {
		return nil, errTooLarge
	}
	return plain, nil
}

// EncodeResult returns a result as it is sent between VMs.
func EncodeResult(r Result) ([]byte, error) { return codec.Marshal(r) }

// DecodeResult is the inverse of EncodeResult.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if err := codec.Unmarshal(data, &r); err != nil {
		return Result{}, err
	}
	return r, nil
}

// rowHasher hashes rows and reuses its buffer.
type rowHasher struct{ buffer bytes.Buffer }

// sum hashes the encoded row with the salt of its table, so that equal rows of
// two tables have different hashes. Encoding can't fail, since all rows are of
// types defined here or in model.
func (h *rowHasher) sum(salt byte, row any) uint64 {
	h.buffer.Reset()
	h.buffer.WriteByte(salt)
	if err := codec.MarshalToBuffer(row, &h.buffer); err != nil {
		panic(err)
	}
	return xxhash.Sum64(h.buffer.Bytes())
}
