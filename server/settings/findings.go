package settings

import (
	"bytes"
	"cmp"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Finding describes one error in a settings file.
type Finding struct {
	// File is the path of the settings file.
	File string
	// Path is the JSON path of the error, such as vm.rpc_address.
	Path string
	// Line is the line number of the error, from 1; 0 means unknown.
	Line int
	// Message describes the error.
	Message string

	// fatal is set if the document cannot be parsed.
	fatal bool
}

// String returns the finding as "file:line: path: message". Unknown parts are omitted.
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File + ":")
	}
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:", f.Line)
	}
	if f.Path != "" {
		b.WriteString(" " + f.Path + ":")
	}
	b.WriteString(" " + f.Message)
	return strings.TrimSpace(b.String())
}

// Findings lists all errors of a settings file.
type Findings []Finding

// Err returns the findings as one error, or nil if there are none.
func (f Findings) Err() error {
	var errs []error
	for _, finding := range f {
		errs = append(errs, errors.New(finding.String()))
	}
	return errors.Join(errs...)
}

// position is the position of a value in a document.
type position struct {
	line int
	// order is the number of values that precede this one in the document.
	order int
}

// positionIndex maps JSON paths to positions.
type positionIndex map[string]position

// position returns the position of the path or of its nearest known parent, or line 1 if
// there is none.
func (x positionIndex) position(path string) position {
	for path != "" {
		if p, ok := x[path]; ok {
			return p
		}
		path = path[:max(strings.LastIndexByte(path, '.'), 0)]
	}
	return position{line: 1}
}

// line returns the line of the path or of its nearest known parent.
func (x positionIndex) line(path string) int { return x.position(path).line }

//go:embed settings.schema.json
var schemaJSON []byte

var schema = compileSchema()

// compileSchema compiles the embedded schema. It panics if the schema is invalid.
func compileSchema() *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaJSON))
	if err != nil {
		panic(err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("settings.schema.json", doc); err != nil {
		panic(err)
	}
	return c.MustCompile("settings.schema.json")
}

// checkSchema validates a document against the schema. The findings are in the order of
// the document.
func checkSchema(data []byte, positions positionIndex) Findings {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return Findings{{Message: err.Error(), fatal: true}}
	}
	var invalid *jsonschema.ValidationError
	if err := schema.Validate(doc); !errors.As(err, &invalid) {
		return nil
	}
	var findings Findings
	appendCauses(invalid, positions, &findings)
	// The library visits the members of objects in map order, which is random.
	slices.SortFunc(findings, func(a, b Finding) int {
		return cmp.Or(positions.position(a.Path).order-positions.position(b.Path).order, strings.Compare(a.Path, b.Path), strings.Compare(a.Message, b.Message))
	})
	return findings
}

var printer = message.NewPrinter(language.English)

// appendCauses appends the innermost causes of a validation error to the findings.
func appendCauses(e *jsonschema.ValidationError, positions positionIndex, findings *Findings) {
	for _, cause := range e.Causes {
		appendCauses(cause, positions, findings)
	}
	if len(e.Causes) > 0 {
		return
	}
	path := strings.Join(e.InstanceLocation, ".")
	*findings = append(*findings, Finding{Path: path, Line: positions.line(path), Message: e.ErrorKind.LocalizedString(printer)})
}

// scan returns the position of each path in a document. It reports syntax errors and also
// duplicate keys, which the JSON decoder would accept.
func scan(data []byte) (positionIndex, Findings) {
	s := scanner{data: data, d: json.NewDecoder(bytes.NewReader(data)), positions: make(positionIndex)}
	err := s.value("")
	if err == nil && s.d.More() {
		err = errors.New("unexpected content after the end of the document")
	}
	if err != nil {
		return nil, Findings{{Line: s.line(), Message: "invalid JSON: " + err.Error(), fatal: true}}
	}
	return s.positions, s.findings
}

// scanner reads the tokens of a document and records the positions of the values.
type scanner struct {
	data      []byte
	d         *json.Decoder
	positions positionIndex
	findings  Findings
}

// line returns the current line number.
func (s *scanner) line() int {
	offset := min(int(s.d.InputOffset()), len(s.data))
	return 1 + bytes.Count(s.data[:offset], []byte("\n"))
}

// value reads one value and records its position.
func (s *scanner) value(path string) error {
	token, err := s.d.Token()
	if err != nil {
		return err
	}
	if _, seen := s.positions[path]; !seen {
		s.positions[path] = position{line: s.line(), order: len(s.positions)}
	}
	switch token {
	case json.Delim('{'):
		return s.object(path)
	case json.Delim('['):
		return s.array(path)
	}
	return nil
}

// object reads the members and the end of an object.
func (s *scanner) object(path string) error {
	seen := make(map[string]bool)
	for s.d.More() {
		token, err := s.d.Token()
		if err != nil {
			return err
		}
		key, _ := token.(string)
		child := joinPath(path, key)
		if seen[key] {
			s.findings = append(s.findings, Finding{Path: child, Line: s.line(), Message: "duplicate key"})
		}
		seen[key] = true
		if err := s.value(child); err != nil {
			return err
		}
	}
	_, err := s.d.Token()
	return err
}

// array reads the elements and the end of an array.
func (s *scanner) array(path string) error {
	for i := 0; s.d.More(); i++ {
		if err := s.value(joinPath(path, strconv.Itoa(i))); err != nil {
			return err
		}
	}
	_, err := s.d.Token()
	return err
}

// joinPath appends a key to a JSON path.
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// check validates the rules that the schema cannot express. It is called only for settings
// that match the schema.
func (s Settings) check(positions positionIndex) Findings {
	var findings Findings
	report := func(path, format string, args ...any) {
		findings = append(findings, Finding{Path: path, Line: positions.line(path), Message: fmt.Sprintf(format, args...)})
	}
	checkAddress := func(path, address string) {
		if _, err := netip.ParseAddrPort(address); err != nil {
			report(path, "%q is not an IP address and port", address)
		}
	}
	checkAddress("vm.rpc_address", s.VM.RPCAddress)
	checkAddress("vm.http_address", s.VM.HTTPAddress)
	if s.VM.RPCAddress == s.VM.HTTPAddress {
		report("vm.http_address", "equals vm.rpc_address")
	}
	if !slices.Contains(s.Deployment.DataCentres, s.VM.DataCentre) {
		report("vm.data_centre", "%q is not listed in deployment.data_centres", s.VM.DataCentre)
	}
	for i, network := range s.Entry.TargetNetworks {
		if _, err := netip.ParsePrefix(network); err != nil {
			report(fmt.Sprintf("entry.target_networks.%d", i), "%q is not a network such as 10.0.0.0/8", network)
		}
	}
	owners := make(map[string]string)
	for _, name := range sortedKeys(s.Control.Members) {
		path, address := "control.members."+name, s.Control.Members[name]
		checkAddress(path, address)
		if other, taken := owners[address]; taken {
			report(path, "has the address of %s", other)
		}
		owners[address] = name
	}
	for _, name := range sortedKeys(s.Control.HTTPAddresses) {
		path := "control.http_addresses." + name
		checkAddress(path, s.Control.HTTPAddresses[name])
		if _, member := s.Control.Members[name]; !member {
			report(path, "%q is not a control member", name)
		}
	}
	if len(s.Control.Members)%2 == 0 {
		report("control.members", "an even number of members tolerates no more failures than one less; use 1, 3, 5 or 7")
	}
	if s.VM.Role == "control" {
		s.checkControl(report)
	}
	return findings
}

// checkControl validates the settings that only control VMs need.
func (s Settings) checkControl(report func(path, format string, args ...any)) {
	if s.Control.DataDir == "" {
		report("control.data_dir", "is required for role control")
	}
	if s.Control.AdminToken == "" {
		report("control.admin_token", "is required for role control")
	}
	address, member := s.Control.Members[s.VM.ID]
	if !member {
		report("vm.id", "%q is not a control member", s.VM.ID)
		return
	}
	if address != s.VM.RPCAddress {
		report("vm.rpc_address", "differs from control.members.%s (%s)", s.VM.ID, address)
	}
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys(m map[string]string) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
