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
	// maxLine bounds one line, in bytes: seven texts of at most
	// state.MaxText, each byte escaped to at most six.
	maxLine = 64 << 10
)

// file is one file of the trail; First is the sequence it starts with.
type file struct {
	path  string
	first uint64
}

func (f file) name() string { return filepath.Base(f.path) }

func fileFor(dir string, first uint64) file {
	return file{filepath.Join(dir, fmt.Sprintf("%s%020d%s", filePrefix, first, fileSuffix)), first}
}

// list returns the files of a folder, the oldest first.
func list(dir string) ([]file, error) {
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

// visit calls f for each record of the file until f returns false, and reports
// lines that are no records. A last line without its end is a torn write and
// is left out; Open cuts it.
func (f file) visit(do func(r model.AuditRecord, line int) bool, broken func(Break)) error {
	open, err := os.Open(f.path)
	if err != nil {
		return oops.In("audit").With("file", f.path).Wrapf(err, "read")
	}
	defer func() { _ = open.Close() }()
	reader := bufio.NewReaderSize(open, maxLine)
	for number := 1; ; number++ {
		line, err := reader.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			broken(Break{Unreadable, f.name(), number, 0, err.Error()})
			return nil
		}
		record, err := decodeLine(line)
		if err != nil {
			broken(Break{Unreadable, f.name(), number, 0, err.Error()})
			continue
		}
		if !do(record, number) {
			return nil
		}
	}
}

// cutTorn cuts a last line without its end off the file. A crash in
// mid-append leaves one; its record comes again from the state.
func cutTorn(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return oops.In("audit").With("file", path).Wrapf(err, "read")
	}
	end := bytes.LastIndexByte(data, '\n') + 1
	if end == len(data) {
		return nil
	}
	err = os.Truncate(path, int64(end))
	return oops.In("audit").With("file", path).Wrapf(err, "cut torn line")
}

// syncFolder makes the creation or removal of files durable.
func syncFolder(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return oops.In("audit").With("folder", dir).Wrapf(err, "open")
	}
	defer func() { _ = folder.Close() }()
	return oops.In("audit").With("folder", dir).Wrapf(folder.Sync(), "sync")
}
