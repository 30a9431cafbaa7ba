package cmds

import (
	"bytes"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// Guards against an output that lacks lines of one of the request's hosts, is not
// in order of time, lacks what these hosts logged shortly before the request, or
// contains lines of other requests.
func TestExplain(t *testing.T) {
	script, err := filepath.Abs("testdata/explain")
	require.NoError(t, err)
	folder := t.TempDir()
	t.Chdir(folder)
	datadriven.RunTest(t, script, func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "log" {
			name := d.CmdArgs[0].Key
			require.NoError(t, os.WriteFile(name, []byte(d.Input), 0o600))
			return ""
		}
		var stdout, stderr bytes.Buffer
		exit := Run(strings.Fields(d.Input), Streams{Out: &stdout, Err: &stderr})
		return stdout.String() + stderr.String() + "exit " + strconv.Itoa(exit)
	})
}
