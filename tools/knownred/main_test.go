package main

import (
	"io"
	"strings"
	"testing"
)

const listText = "p/a TestX/sub | go test -run X, seed 1 | 2 instead of 1 | issue 5\n"

// TestCheckFailures guards against a failure that is accepted although the list does
// not name it.
func TestCheckFailures(t *testing.T) {
	for name, c := range map[string]struct {
		events string
		ok     bool
	}{
		"pass":                          {`{"Action":"pass","Package":"p/a"}`, true},
		"listed":                        {`{"Action":"fail","Package":"p/a","Test":"TestX/sub"}{"Action":"fail","Package":"p/a","Test":"TestX"}{"Action":"fail","Package":"p/a"}`, true},
		"sibling":                       {`{"Action":"fail","Package":"p/a","Test":"TestX/other"}{"Action":"fail","Package":"p/a","Test":"TestX"}`, false},
		"parent without failed subtest": {`{"Action":"fail","Package":"p/a","Test":"TestX"}`, false},
		"other package":                 {`{"Action":"fail","Package":"p/b","Test":"TestX/sub"}`, false},
		"panic or failed build":         {`{"Action":"fail","Package":"p/a"}`, false},
		"listed and unlisted":           {`{"Action":"fail","Package":"p/a","Test":"TestX/sub"}{"Action":"fail","Package":"p/b"}`, false},
		"no output":                     {``, false},
		"broken output":                 {`{"Action":`, false},
	} {
		list, err := parseKnownFailures(listText)
		if err != nil {
			t.Fatal(err)
		}
		failures, err := readEvents(strings.NewReader(c.events), io.Discard)
		if err == nil {
			err = checkFailures(list, failures, io.Discard)
		}
		if (err == nil) != c.ok {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := parseKnownFailures("only a name"); err == nil {
		t.Error("an entry without a reason was accepted")
	}
}
