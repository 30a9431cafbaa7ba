package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/samber/oops"
)

// remoteTimeout is above the time after which a host answers that a change is
// pending.
const remoteTimeout = 15 * time.Second

// maxReply bounds an answer in bytes.
const maxReply = 16 << 20

// errFailed ends a command whose output already says what failed.
var errFailed = errors.New("failed")

// operator holds the flags of the commands that call the administration API.
type operator struct {
	Admin string `required:"" help:"Address of a host's administration API." env:"HYSSOPHUB_ADMIN" placeholder:"IP:PORT"`
	Token string `required:"" help:"File that holds the office's token." env:"HYSSOPHUB_TOKEN" type:"path" placeholder:"FILE"`
	JSON  bool   `help:"Print the answer as JSON." name:"json"`
}

// reply is an answer of a host.
type reply struct {
	status int
	body   []byte
}

// call sends a request to the administration API.
func (o operator) call(method, path string, query url.Values, body []byte) (reply, error) {
	token, err := os.ReadFile(o.Token)
	if err != nil {
		return reply{}, oops.Wrapf(err, "token")
	}
	target := url.URL{Scheme: "http", Host: o.Admin, Path: path, RawQuery: query.Encode()}
	return send(method, target.String(), strings.TrimSpace(string(token)), body)
}

func send(method, target, token string, body []byte) (reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), remoteTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return reply{}, oops.Wrapf(err, "answer")
	}
	return reply{status: response.StatusCode, body: content}, nil
}

// get reads a resource of the administration API into target. With --json it
// prints the answer and returns false.
func (o operator) get(out io.Writer, path string, target any) (text bool, err error) {
	r, err := o.call(http.MethodGet, path, nil, nil)
	if err != nil {
		return false, err
	}
	if r.status != http.StatusOK {
		return false, o.show(out, r)
	}
	if o.JSON {
		return false, printRaw(out, r.body)
	}
	return true, oops.Wrapf(json.Unmarshal(r.body, target), "answer")
}

// outcome is the answer to a change.
type outcome struct {
	Outcome  string  `json:"outcome"`
	Change   string  `json:"change"`
	Revision uint64  `json:"revision"`
	Author   string  `json:"author"`
	Faults   []fault `json:"faults"`
	Error    string  `json:"error"`
}

type fault struct {
	Place   string `json:"place"`
	Problem string `json:"problem"`
}

// show prints the outcome of a change and returns errFailed unless the change
// was accepted.
func (o operator) show(out io.Writer, r reply) error {
	var answer outcome
	if err := json.Unmarshal(r.body, &answer); err != nil {
		return oops.Errorf("status %d: %s", r.status, bytes.TrimSpace(r.body))
	}
	if o.JSON {
		if err := printRaw(out, r.body); err != nil {
			return err
		}
	} else {
		answer.print(out)
	}
	if r.status != http.StatusOK {
		return errFailed
	}
	return nil
}

func (a outcome) print(out io.Writer) {
	switch a.Outcome {
	case "accepted":
		printf(out, "accepted at revision %d\n", a.Revision)
	case "conflict":
		author := a.Author
		if author == "" {
			author = "unknown"
		}
		printf(out, "conflict: revision %d by %s came first\n", a.Revision, author)
	case "pending":
		printf(out, "pending: the change may still take effect; repeat with --change %s --revision %d: %s\n", a.Change, a.Revision, a.Error)
	case "unreached":
		printf(out, "refused: the store cannot be reached: %s\n", a.Error)
	default:
		printf(out, "refused%s\n", detail(a.Error))
	}
	printFaults(out, a.Faults)
}

func detail(text string) string {
	if text == "" {
		return ""
	}
	return ": " + text
}

func printFaults(out io.Writer, faults []fault) {
	for _, f := range faults {
		printf(out, "  %s: %s\n", f.Place, f.Problem)
	}
}

func printRaw(out io.Writer, body []byte) error {
	_, err := fmt.Fprintln(out, string(bytes.TrimSpace(body)))
	return err
}

func printf(out io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(out, format, args...) }
