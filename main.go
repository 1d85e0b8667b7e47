// Command monsoonswitch runs and operates a proxy fleet for services whose backend
// servers fail grayly: they answer probes while losing real work.
package main

import (
	"os"

	"monsoonswitch/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}
