package audit

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/samber/oops"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

const (
	filePrefix = "audit-"
	fileSuffix = ".jsonl"
	// maxLine is the maximum length of a line, in bytes: seven texts of at most
	// state.MaxText bytes, of which each is escaped to at most six.
	maxLine = 64 << 10
)

// file is one file of the trail; firstSequence is that of its first record.
type file struct {
	path          string
	firstSequence uint64
}

func (f file) name() string { return filepath.Base(f.path) }

func fileStartingAt(dir string, first uint64) file {
	return file{filepath.Join(dir, fmt.Sprintf("%s%020d%s", filePrefix, first, fileSuffix)), first}
}

// listFiles returns the files of the trail in a folder, the oldest first.
func listFiles(dir string) ([]file, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, oops.In("audit").With("folder", dir).Wrapf(err, "list files")
	}
	var files []file
	for _, entry := range entries {
		number, found := strings.CutPrefix(entry.Name(), filePrefix)
		number, suffix := strings.CutSuffix(number, fileSuffix)
		first, err := strconv.ParseUint(number, 10, 64)
		if found && suffix && err == nil {
			files = append(files, file{filepath.Join(dir, entry.Name()), first})
		}
	}
	slices.SortFunc(files, func(a, b file) int { return strings.Compare(a.path, b.path) })
	return files, nil
}

// forEachRecord calls onRecord for each record of the file until it returns false,
// and onViolation for each line that can't be decoded. A last line without a newline
// is a torn write and is skipped; Open truncates it.
func (f file) forEachRecord(onRecord func(r model.AuditRecord, line int) bool, onViolation func(Violation)) error {
	opened, err := os.Open(f.path)
	if err != nil {
		return oops.In("audit").With("file", f.path).Wrapf(err, "read")
	}
	defer func() { _ = opened.Close() }()
	reader := bufio.NewReaderSize(opened, maxLine)
	for number := 1; ; number++ {
		line, err := reader.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			onViolation(Violation{Unreadable, f.name(), number, 0, err.Error()})
			return nil
		}
		record, err := decodeLine(line)
		if err != nil {
			onViolation(Violation{Unreadable, f.name(), number, 0, err.Error()})
			continue
		}
		if !onRecord(record, number) {
			return nil
		}
	}
}

// truncateTornLine removes a last line without a newline from the file. A crash
// during an append leaves such a line; its record is appended again from the
// state.
func truncateTornLine(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return oops.In("audit").With("file", path).Wrapf(err, "read")
	}
	end := bytes.LastIndexByte(data, '\n') + 1
	if end == len(data) {
		return nil
	}
	err = os.Truncate(path, int64(end))
	return oops.In("audit").With("file", path).Wrapf(err, "truncate torn line")
}

// syncFolder makes the creation and removal of files in a folder durable.
func syncFolder(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return oops.In("audit").With("folder", dir).Wrapf(err, "open")
	}
	defer func() { _ = folder.Close() }()
	return oops.In("audit").With("folder", dir).Wrapf(folder.Sync(), "sync")
}
