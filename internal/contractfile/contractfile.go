// Package contractfile reads and writes contracts as YAML documents. Parse checks
// the whole file and reports all invalid fields at once, each with its line. It rejects
// unknown fields. The package neither fetches nor stores contracts.
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

// Document is one contract read from a file.
type Document struct {
	Contract *pb.Contract
	// Replaces is the contract revision that the document replaces, or zero for
	// a new contract.
	Replaces uint64
}

// FieldError is one error in a file.
type FieldError struct {
	Line  int
	Field string
	Text  string
}

// Error returns the error as "line N: field: text".
func (f *FieldError) Error() string {
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Field, f.Text)
}

// Parse reads all documents of r. The returned error joins a *FieldError for each
// invalid field and an error for a YAML syntax error, which ends the parsing. A file
// without a contract is an error, too.
func Parse(r io.Reader) ([]Document, error) {
	var docs []Document
	var errs []error
	dec := yaml.NewDecoder(r)
	for {
		var node yaml.Node
		err := dec.Decode(&node)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, errors.Join(append(errs, err)...)
		}
		p := &parser{}
		docs = append(docs, p.document(node.Content[0]))
		errs = append(errs, p.errs...)
	}
	if len(docs) == 0 && len(errs) == 0 {
		errs = append(errs, errors.New("the file contains no contract"))
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return docs, nil
}

// parser collects the errors of one document.
type parser struct {
	errs []error
}

func (p *parser) errorf(n *yaml.Node, field, format string, args ...any) {
	p.errs = append(p.errs, &FieldError{Line: n.Line, Field: field, Text: fmt.Sprintf(format, args...)})
}

// field describes one field of a mapping.
type field struct {
	name     string
	required bool
	// read parses the value n of the field and records errors under path, the dotted
	// name of the field in the document.
	read func(n *yaml.Node, path string)
}

// mapping parses the mapping n and records an error for each unknown, repeated or
// missing field.
func (p *parser) mapping(n *yaml.Node, path string, fields []field) {
	if n.Kind != yaml.MappingNode {
		p.errorf(n, pathOr(path, "document"), "must be a mapping of fields")
		return
	}
	seen := make(map[string]bool, len(fields))
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		fieldPath := joinPath(path, key.Value)
		j := slices.IndexFunc(fields, func(f field) bool { return f.name == key.Value })
		switch {
		case j < 0:
			p.errorf(key, fieldPath, "unknown field")
		case seen[key.Value]:
			p.errorf(key, fieldPath, "given twice")
		default:
			fields[j].read(value, fieldPath)
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

// pathOr returns path, or fallback for the document itself, whose path is empty.
func pathOr(path, fallback string) string {
	if path == "" {
		return fallback
	}
	return path
}
