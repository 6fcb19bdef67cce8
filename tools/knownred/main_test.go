package main

import (
	"io"
	"strings"
	"testing"
)

const listed = "p/a TestX/sub | go test -run X, seed 1 | 2 instead of 1 | issue 5\n"

// Guards against a failure that the list excuses although it does not name it.
func TestJudge(t *testing.T) {
	for name, c := range map[string]struct {
		events string
		ok     bool
	}{
		"pass":               {`{"Action":"pass","Package":"p/a"}`, true},
		"listed":             {`{"Action":"fail","Package":"p/a","Test":"TestX/sub"}{"Action":"fail","Package":"p/a","Test":"TestX"}{"Action":"fail","Package":"p/a"}`, true},
		"sibling":            {`{"Action":"fail","Package":"p/a","Test":"TestX/other"}{"Action":"fail","Package":"p/a","Test":"TestX"}`, false},
		"parent itself":      {`{"Action":"fail","Package":"p/a","Test":"TestX"}`, false},
		"other package":      {`{"Action":"fail","Package":"p/b","Test":"TestX/sub"}`, false},
		"panic or build":     {`{"Action":"fail","Package":"p/a"}`, false},
		"listed and another": {`{"Action":"fail","Package":"p/a","Test":"TestX/sub"}{"Action":"fail","Package":"p/b"}`, false},
		"no output":          {``, false},
		"broken output":      {`{"Action":`, false},
	} {
		list, err := parseList(listed)
		if err != nil {
			t.Fatal(err)
		}
		failures, err := readEvents(strings.NewReader(c.events), io.Discard)
		if err == nil {
			err = judge(list, failures, io.Discard)
		}
		if (err == nil) != c.ok {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := parseList("only a name"); err == nil {
		t.Error("an entry without a reason is accepted")
	}
}
