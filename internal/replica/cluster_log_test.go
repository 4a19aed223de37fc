package replica

import (
	"fmt"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/comfreyloom/comfreyloom/internal/model"
)

// maxLogLines is the number of log lines that a cluster keeps of each node.
const maxLogLines = 20

// longIDs matches the random part of an ID; its first digits tell disks apart.
var longIDs = regexp.MustCompile(`\b([0-9a-f]{4})[0-9a-f]{4}(-[0-9a-f]{4}){3}-[0-9a-f]{12}\b`)

// clusterLog keeps the last log lines of each node, over its restarts.
type clusterLog struct {
	clock func() time.Duration
	mu    sync.Mutex
	lines map[model.NodeID][]logLine
}

type logLine struct{ message, text string }

// logger returns a logger whose lines are kept under the node's name.
func (l *clusterLog) logger(name model.NodeID) log.Interface {
	keep := func(e *log.Entry) error {
		text := fmt.Sprintf("%8.3f %s", l.clock().Seconds(), e.Message)
		for _, field := range e.Fields.Names() {
			text += fmt.Sprintf(" %s=%v", field, e.Fields.Get(field))
		}
		l.add(name, logLine{message: e.Message, text: text})
		return nil
	}
	return &log.Logger{Handler: log.HandlerFunc(keep), Level: log.InfoLevel}
}

// add keeps a line; of several in a row with one message it keeps the last.
func (l *clusterLog) add(name model.NodeID, line logLine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lines := l.lines[name]
	if n := len(lines); n > 0 && lines[n-1].message == line.message {
		lines = lines[:n-1]
	}
	lines = append(lines, line)
	l.lines[name] = lines[max(len(lines)-maxLogLines, 0):]
}

// describe returns the state of each node and its last log lines, for a run
// that failed.
func (c *cluster) describe() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	var b strings.Builder
	for _, name := range c.members {
		n := c.nodes[name]
		if n == nil {
			fmt.Fprintf(&b, "%s: stopped\n", name)
			continue
		}
		p := n.status.Load()
		fmt.Fprintf(&b, "%s: isolated %t, disk %+v, status %.3f s ago %+v%s\n", name, c.isolated[name], n.Identity(),
			(c.now - p.at).Seconds(), p.status, n.endError())
		for _, line := range c.log.lines[name] {
			fmt.Fprintf(&b, "    %s\n", line.text)
		}
	}
	return longIDs.ReplaceAllString(b.String(), "$1")
}

// endError describes how a node ended, if it has.
func (n *node) endError() string {
	select {
	case err := <-n.ended:
		n.ended <- err
		return fmt.Sprintf(", ended: %v", err)
	default:
		return ""
	}
}
