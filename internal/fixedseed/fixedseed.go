// Package fixedseed runs the property tests of a package with a fixed seed, so that results
// are reproducible. Only test files import it.
package fixedseed

import (
	"flag"
	"testing"
)

// Run runs the tests of a package and returns the exit code. Command line flags override the
// fixed seed, for example go test ./mesh -rapid.checks=10000 -rapid.seed=7.
func Run(m *testing.M) int {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	return m.Run()
}
