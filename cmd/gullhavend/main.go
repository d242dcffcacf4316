// Command gullhavend runs one instance of gullhaven.
//
//	gullhavend --settings instance.json
//	gullhavend --settings instance.json --check
//	gullhavend --dev
//	gullhavend standin --engines 127.0.0.1:7201,127.0.0.1:7202 --plain 127.0.0.1:7251
package main

import (
	"os"

	"github.com/gullhaven/gullhaven/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) }
