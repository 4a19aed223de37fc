package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/apex/log"
)

// maxLineBytes bounds one log line; a process writes far shorter ones.
const maxLineBytes = 1 << 20

// Line is one log line.
type Line struct {
	// Source names the process: the file, or the prefix of the line.
	Source  string     `json:"-"`
	Time    time.Time  `json:"time"`
	Level   string     `json:"level"`
	Message string     `json:"message"`
	Fields  log.Fields `json:"fields"`
}

// Read reads the log of a process. Text before the first brace of a line names
// the process instead of source; log collectors add such prefixes. Lines that
// are not log lines are skipped and counted.
func Read(r io.Reader, source string) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes(), source)
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, skipped, fmt.Errorf("read the log of %s: %w", source, err)
	}
	return lines, skipped, nil
}

func parse(text []byte, source string) (Line, bool) {
	brace := bytes.IndexByte(text, '{')
	if brace < 0 {
		return Line{}, false
	}
	line := Line{Source: source}
	if err := json.Unmarshal(text[brace:], &line); err != nil || line.Message == "" || line.Time.IsZero() {
		return Line{}, false
	}
	if before := strings.TrimSpace(string(text[:brace])); before != "" {
		line.Source = before
	}
	return line, true
}

// text returns a field as text, empty when it is missing.
func (l *Line) text(field string) string {
	switch v := l.Fields[field].(type) {
	case nil:
		return ""
	case string:
		return v
	case float64:
		return fmt.Sprint(int64(v))
	default:
		return fmt.Sprint(v)
	}
}

// number returns a field as a number, 0 when it is not one.
func (l *Line) number(field string) int64 {
	v, _ := l.Fields[field].(float64)
	return int64(v)
}
