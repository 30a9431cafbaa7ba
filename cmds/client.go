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

// requestTimeout exceeds config.DefaultChangeTimeout, after which a host reports
// a change as pending; with a shorter timeout the command would fail before that
// response arrives.
const requestTimeout = 15 * time.Second

// maxReplyBytes bounds the body of a response.
const maxReplyBytes = 16 << 20

// errReported ends a command with ExitFailure and without a message, because its
// output already contains the failure.
var errReported = errors.New("failed")

// adminClient calls the administration API of a host. Its fields are the flags
// of the commands that use the API.
type adminClient struct {
	Admin string `required:"" help:"Address of a host's administration API." env:"HYSSOPHUB_ADMIN" placeholder:"IP:PORT"`
	Token string `required:"" help:"File that holds the office's token." env:"HYSSOPHUB_TOKEN" type:"path" placeholder:"FILE"`
	JSON  bool   `help:"Print the answer as JSON." name:"json"`
}

// reply is the response of a host.
type reply struct {
	status int
	body   []byte
}

// call sends a request with the token to the administration API.
func (c adminClient) call(method, path string, params url.Values, body []byte) (reply, error) {
	token, err := os.ReadFile(c.Token)
	if err != nil {
		return reply{}, oops.Wrapf(err, "token")
	}
	target := url.URL{Scheme: "http", Host: c.Admin, Path: path, RawQuery: params.Encode()}
	return send(method, target.String(), strings.TrimSpace(string(token)), body)
}

// send sends an HTTP request, without authorization if token is empty, and
// returns the response with any status.
func send(method, target, token string, body []byte) (reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return reply{}, oops.Wrapf(err, "answer")
	}
	return reply{status: response.StatusCode, body: data}, nil
}

// get decodes a resource of the administration API into target and returns true.
// With --json, and for a status other than 200, it prints the response instead
// and returns false.
func (c adminClient) get(out io.Writer, path string, target any) (decoded bool, err error) {
	r, err := c.call(http.MethodGet, path, nil, nil)
	if err != nil {
		return false, err
	}
	if r.status != http.StatusOK {
		return false, c.printResult(out, r)
	}
	if c.JSON {
		return false, printJSON(out, r.body)
	}
	return true, oops.Wrapf(json.Unmarshal(r.body, target), "answer")
}

// changeResponse is the response to a change of the configuration, and to any
// request that the administration API refuses.
type changeResponse struct {
	Outcome  string  `json:"outcome"`
	Change   string  `json:"change"`
	Revision uint64  `json:"revision"`
	Author   string  `json:"author"`
	Faults   []fault `json:"faults"`
	Error    string  `json:"error"`
}

// fault is an invalid part of a manifest or of a change.
type fault struct {
	Place   string `json:"place"`
	Problem string `json:"problem"`
}

// printResult prints a changeResponse and returns errReported unless the status
// is 200, which means that the change was accepted.
func (c adminClient) printResult(out io.Writer, r reply) error {
	var response changeResponse
	if err := json.Unmarshal(r.body, &response); err != nil {
		return oops.Errorf("status %d: %s", r.status, bytes.TrimSpace(r.body))
	}
	if c.JSON {
		if err := printJSON(out, r.body); err != nil {
			return err
		}
	} else {
		response.print(out)
	}
	if r.status != http.StatusOK {
		return errReported
	}
	return nil
}

func (r changeResponse) print(out io.Writer) {
	switch r.Outcome {
	case "accepted":
		printf(out, "accepted at revision %d\n", r.Revision)
	case "conflict":
		author := r.Author
		if author == "" {
			author = "unknown"
		}
		printf(out, "conflict: revision %d by %s came first\n", r.Revision, author)
	case "pending":
		printf(out, "pending: the change may still take effect; repeat with --change %s --revision %d: %s\n", r.Change, r.Revision, r.Error)
	case "unreached":
		printf(out, "refused: the store cannot be reached: %s\n", r.Error)
	default:
		printf(out, "refused%s\n", errorSuffix(r.Error))
	}
	printFaults(out, r.Faults)
}

// errorSuffix returns text with a separator before it, or nothing if text is empty.
func errorSuffix(text string) string {
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

// printJSON prints a JSON body on a line of its own.
func printJSON(out io.Writer, body []byte) error {
	_, err := fmt.Fprintln(out, string(bytes.TrimSpace(body)))
	return err
}

func printf(out io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(out, format, args...) }
