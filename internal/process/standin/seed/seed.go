// Package seed sets the random seed of property tests.
//
// A test run must give the same verdict every time, so packages with property tests
// use a fixed seed unless the command line sets another.
package seed

import (
	"flag"
	"testing"
)

// defaultSeed is the seed of a run whose command line sets none.
const defaultSeed = "1"

// Main runs the tests of a package with the fixed seed and returns the exit code. It
// is meant for TestMain.
func Main(m *testing.M) int {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed":       defaultSeed,
		"rapid.nofailfile": "true",
	} {
		if flag.Lookup(name) == nil || set[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	return m.Run()
}
