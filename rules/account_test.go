package rules

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// acceptAccounts applies a version with a route, a public route and the accounts of the
// input, a line each: a name and its keys. The argument none stands for rules without
// accounts.
func acceptAccounts(t *testing.T, table *Table, d *datadriven.TestData) string {
	var version int
	d.ScanArgs(t, "version", &version)
	set := Set{Version: uint64(version), Routes: []Route{
		{Name: "closed", Host: "h", Prefix: "/closed/"}, {Name: "public", Host: "h", Prefix: "/public/", Public: true},
	}}
	if !d.HasArg("none") {
		set.Accounts = []Account{}
	}
	for line := range strings.Lines(d.Input) {
		fields := strings.Fields(line)
		a := Account{Name: fields[0]}
		for _, secret := range fields[1:] {
			a.Keys = append(a.Keys, NewKey(secret))
		}
		set.Accounts = append(set.Accounts, a)
	}
	return fmt.Sprint(table.Apply(set))
}

// authorize prints the decision on a request with the given keys, on a host whose rules
// were the newest age ms ago.
func authorize(t *testing.T, table *Table, d *datadriven.TestData) string {
	path, age := "/closed/", 0
	d.MaybeScanArgs(t, "path", &path)
	d.MaybeScanArgs(t, "age", &age)
	route, _ := table.View().Match("h", path)
	var credential Credential = NoKey{}
	switch keys := strings.Fields(d.Input); len(keys) {
	case 0:
	case 1:
		credential = OneKey{Key: NewKey(keys[0])}
	default:
		credential = ManyKeys{}
	}
	known := Knowledge{Known: !d.HasArg("unknown"), Age: time.Duration(age) * time.Millisecond, Behind: d.HasArg("behind")}
	switch a := table.View().Authorize(route, credential, known, Revocation{Strict: d.HasArg("strict"), Bound: 5 * time.Second}).(type) {
	case Authorized:
		return a.Account.Name
	case Undecided:
		return "undecided, retry after " + a.RetryAfter.String()
	default:
		return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", a), "rules."))
	}
}
