// Command monsoonswitch is a proxy fleet for services whose backend servers fail
// grayly.
package main

import (
	"os"

	"monsoonswitch/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}
