// Command hyssophub runs the entry hosts of a query tier over many shards, and
// the commands with which operators manage and inspect them.
package main

import (
	"os"

	"hyssophub/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:], cmds.Streams{Out: os.Stdout, Err: os.Stderr}))
}
