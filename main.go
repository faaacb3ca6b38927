// Command bilberrywalk schedules latency-critical and batch work on shared
// instances.
package main

import (
	"os"

	"github.com/bilberrywalk/bilberrywalk/pkg/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}
