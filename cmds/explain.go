package cmds

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/samber/oops"
)

type explainCmd struct {
	Request string        `arg:"" help:"Id of the request."`
	Files   []string      `arg:"" optional:"" help:"Log files; standard input if none is given." type:"existingfile"`
	Around  time.Duration `default:"10s" help:"How long before the request the changes of its hosts are shown."`
	JSON    bool          `name:"json" help:"Print one JSON object a line."`
}

// logLine is a line of a host's log. fields holds all of its fields by key, raw
// the JSON object as written.
type logLine struct {
	Time    time.Time `json:"time"`
	Host    string    `json:"host"`
	Request string    `json:"request"`
	Layer   string    `json:"layer"`
	Message string    `json:"message"`
	fields  map[string]json.RawMessage
	raw     []byte
}

// headFields are the keys that format does not append as key=value: it prints
// them at the start of the line or omits them.
var headFields = []string{"time", "host", "request", "layer", "message", "level"}

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// Run prints the log lines of the request in order of time, together with the
// lines of its hosts that belong to no request and may explain the result.
func (c *explainCmd) Run(_ *root, streams *Streams) error {
	lines, err := c.read()
	if err != nil {
		return err
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	selected := c.selectLines(lines)
	if len(selected) == 0 {
		return oops.Errorf("no log line has request id %q; complete answers are logged only with --log=relay", c.Request)
	}
	for _, l := range selected {
		if c.JSON {
			_, _ = fmt.Fprintf(streams.Out, "%s\n", l.raw)
			continue
		}
		_, _ = fmt.Fprintln(streams.Out, l.format())
	}
	return nil
}

// read returns the lines of all log files, or of the standard input.
func (c *explainCmd) read() ([]logLine, error) {
	if len(c.Files) == 0 {
		return readLines(os.Stdin)
	}
	var all []logLine
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return nil, oops.Wrapf(err, "log file")
		}
		lines, err := readLines(f)
		_ = f.Close()
		if err != nil {
			return nil, oops.Wrapf(err, "log file %s", name)
		}
		all = append(all, lines...)
	}
	return all, nil
}

// readLines reads the lines that hold a JSON object. A log collector may have
// written a prefix before the object; lines without an object are skipped, and so are
// lines of more than maxLineBytes.
func readLines(r io.Reader) ([]logLine, error) {
	var list []logLine
	reader := bufio.NewReaderSize(r, maxLineBytes)
	for {
		line, err := reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			if err := skipLine(reader); err != nil {
				return list, ignoreEOF(err)
			}
			continue
		}
		if l, ok := parseLine(line); ok {
			list = append(list, l)
		}
		if err != nil {
			return list, ignoreEOF(err)
		}
	}
}

// skipLine reads the rest of a line.
func skipLine(reader *bufio.Reader) error {
	for {
		_, err := reader.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

func parseLine(line []byte) (logLine, bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return logLine{}, false
	}
	raw := bytes.Clone(bytes.TrimSpace(line[start:]))
	l := logLine{raw: raw}
	if json.Unmarshal(raw, &l) != nil || json.Unmarshal(raw, &l.fields) != nil {
		return logLine{}, false
	}
	return l, true
}

// selectLines selects the lines of the request, and the lines that its hosts
// wrote without a request id from c.Around before its first line until its last
// line, such as configuration changes. lines are in order of time.
func (c *explainCmd) selectLines(lines []logLine) []logLine {
	var from, to time.Time
	hosts := make(map[string]bool)
	for _, l := range lines {
		if l.Request != c.Request {
			continue
		}
		if from.IsZero() {
			from = l.Time.Add(-c.Around)
		}
		to = l.Time
		hosts[l.Host] = true
	}
	var selected []logLine
	for _, l := range lines {
		ofRequest := l.Request == c.Request
		ofHost := l.Request == "" && hosts[l.Host] && !l.Time.Before(from) && !l.Time.After(to)
		if !to.IsZero() && (ofRequest || ofHost) {
			selected = append(selected, l)
		}
	}
	return selected
}

// format returns the line as text: time, host, layer and message, then the other
// fields as key=value in order of their keys.
func (l logLine) format() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s %s %s: %s", l.Time.Format("15:04:05.000"), l.Host, l.Layer, l.Message)
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		if !slices.Contains(headFields, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		_, _ = fmt.Fprintf(&b, " %s=%s", name, l.fields[name])
	}
	return b.String()
}
