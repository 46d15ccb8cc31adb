// Package contractfile reads and writes contracts as YAML documents. A file is
// checked whole: every fault is reported at once with its line and field, and
// unknown fields are refused.
package contractfile

import (
	"errors"
	"fmt"
	"io"
	"slices"

	"gopkg.in/yaml.v3"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// Version is the format version that this package reads and writes.
const Version = 1

// Document is one contract of a file.
type Document struct {
	Contract *pb.Contract
	// Replaces is the revision that the file says it replaces; zero for a
	// new contract.
	Replaces uint64
}

// FieldError is one error in a file.
type FieldError struct {
	Line  int
	Field string
	Text  string
}

// Error returns the fault as "line N: field: text".
func (f *FieldError) Error() string {
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Field, f.Text)
}

// Parse reads all documents of r. The error joins a *Fault for each fault.
func Parse(r io.Reader) ([]Document, error) {
	var docs []Document
	var faults []error
	dec := yaml.NewDecoder(r)
	for {
		var node yaml.Node
		err := dec.Decode(&node)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, errors.Join(append(faults, err)...)
		}
		p := &parser{}
		docs = append(docs, p.document(node.Content[0]))
		faults = append(faults, p.errs...)
	}
	if len(docs) == 0 && len(faults) == 0 {
		faults = append(faults, errors.New("the file holds no contract"))
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return docs, nil
}

// parser collects the faults of one document.
type parser struct {
	errs []error
}

func (p *parser) errorf(n *yaml.Node, field, format string, args ...any) {
	p.errs = append(p.errs, &FieldError{Line: n.Line, Field: field, Text: fmt.Sprintf(format, args...)})
}

// field reads one value of a mapping.
type field struct {
	name     string
	required bool
	read     func(n *yaml.Node, path string)
}

// mapping reads n by fields and reports unknown, repeated and missing ones.
func (p *parser) mapping(n *yaml.Node, path string, fields []field) {
	if n.Kind != yaml.MappingNode {
		p.errorf(n, pathOr(path, "document"), "a mapping of fields is needed")
		return
	}
	seen := make(map[string]bool, len(fields))
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		at := joinPath(path, key.Value)
		j := slices.IndexFunc(fields, func(f field) bool { return f.name == key.Value })
		switch {
		case j < 0:
			p.errorf(key, at, "unknown field")
		case seen[key.Value]:
			p.errorf(key, at, "given twice")
		default:
			fields[j].read(value, at)
		}
		seen[key.Value] = true
	}
	for _, f := range fields {
		if f.required && !seen[f.name] {
			p.errorf(n, joinPath(path, f.name), "missing")
		}
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func pathOr(path, fallback string) string {
	if path == "" {
		return fallback
	}
	return path
}
