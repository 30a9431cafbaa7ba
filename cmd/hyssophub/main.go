// Command hyssophub is a query tier over many shards.
package main

import (
	"os"

	"hyssophub/cmds"
)

func main() {
	os.Exit(cmds.Run(os.Args[1:], cmds.Streams{Out: os.Stdout, Err: os.Stderr}))
}
