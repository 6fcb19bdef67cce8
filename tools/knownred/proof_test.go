package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	namedTest    = regexp.MustCompile("`([a-z0-9]+)\\.(Test[A-Za-z0-9]+)`")
	declaredTest = regexp.MustCompile(`(?m)^func (Test[A-Za-z0-9]+)\(`)
)

// TestProofNamesExistingTests guards against a reference in docs/PROOF.md to a test that
// does not exist, for example because it was renamed.
func TestProofNamesExistingTests(t *testing.T) {
	declared := make(map[string]bool)
	err := filepath.WalkDir("../..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, match := range declaredTest.FindAllStringSubmatch(string(source), -1) {
			declared[filepath.Base(filepath.Dir(path))+"."+match[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	proof, err := os.ReadFile("../../docs/PROOF.md")
	if err != nil {
		t.Fatal(err)
	}
	named := namedTest.FindAllStringSubmatch(string(proof), -1)
	if len(named) == 0 {
		t.Fatal("docs/PROOF.md names no test")
	}
	for _, match := range named {
		if name := match[1] + "." + match[2]; !declared[name] {
			t.Errorf("docs/PROOF.md names %s, which does not exist", name)
		}
	}
}
