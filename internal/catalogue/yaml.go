package catalogue

import (
	"cmp"
	"errors"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// maxNesting bounds nested brackets and list markers on one line. Parsing time is quadratic in the
// nesting depth: 100 KB of "[" took 34 s. A catalogue needs 4 levels.
const maxNesting = 16

// parseYAML returns the syntax tree of the single document.
func parseYAML(document []byte) (ast.Node, FieldErrors) {
	tokens := lexer.Tokenize(string(document))
	if errs := checkTokens(tokens); len(errs) > 0 {
		return nil, errs
	}
	file, err := parser.Parse(tokens, 0)
	if err != nil {
		return nil, syntaxError(err)
	}
	var body ast.Node
	for _, doc := range file.Docs {
		if doc.Body == nil || doc.Body.Type() == ast.CommentType {
			continue
		}
		if body != nil {
			return nil, documentError(lineOf(doc.Body), "holds more than one YAML document")
		}
		body = doc.Body
	}
	if body == nil {
		return nil, documentError(0, "is empty")
	}
	return body, nil
}

func syntaxError(err error) FieldErrors {
	var located yaml.Error
	if errors.As(err, &located) && located.GetToken() != nil {
		return documentError(located.GetToken().Position.Line, "is not YAML: %s", located.GetMessage())
	}
	return documentError(0, "is not YAML: %s", err)
}

// unsupportedTokens lists YAML features that a catalogue may not use: references can expand a small document into a
// huge one, and the others have no meaning here.
var unsupportedTokens = map[token.Type]string{
	token.AnchorType:     "anchors (&name)",
	token.AliasType:      "aliases (*name)",
	token.MergeKeyType:   "merge keys (<<)",
	token.TagType:        "tags (!name)",
	token.MappingKeyType: "complex keys (?)",
	token.DirectiveType:  "directives (%NAME)",
}

// checkTokens rejects unsupported features and excessive nesting before parsing.
func checkTokens(tokens token.Tokens) FieldErrors {
	var flowDepth, lineEntries, line int
	for _, t := range tokens {
		if feature, ok := unsupportedTokens[t.Type]; ok {
			return documentError(t.Position.Line, "must not use %s", feature)
		}
		if t.Position.Line != line {
			line, lineEntries = t.Position.Line, 0
		}
		switch t.Type {
		case token.SequenceStartType, token.MappingStartType:
			flowDepth++
		case token.SequenceEndType, token.MappingEndType:
			flowDepth = max(flowDepth-1, 0)
		case token.SequenceEntryType:
			lineEntries++
		}
		if flowDepth > maxNesting || lineEntries > maxNesting {
			return documentError(line, "nests more than %d levels", maxNesting)
		}
	}
	return nil
}

// addLines adds line numbers to errors that have only paths, and sorts the errors by line.
func addLines(errs FieldErrors, body ast.Node) FieldErrors {
	lines := lineIndex{}
	ast.Walk(lines, body)
	for i := range errs {
		if errs[i].Line == 0 {
			errs[i].Line = lines.find(errs[i].Path)
		}
	}
	slices.SortStableFunc(errs, func(a, b FieldError) int { return cmp.Compare(a.Line, b.Line) })
	return errs
}

// lineIndex maps each path to its first line.
type lineIndex map[string]int

// Visit records the line of one node.
func (l lineIndex) Visit(node ast.Node) ast.Visitor {
	path := strings.TrimPrefix(strings.TrimPrefix(node.GetPath(), "$"), ".")
	if _, ok := l[path]; !ok {
		l[path] = lineOf(node)
	}
	return l
}

// find returns the line of a path, or that of its nearest ancestor if the field is missing.
func (l lineIndex) find(path string) int {
	for path != "" {
		if line, ok := l[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}

func lineOf(node ast.Node) int {
	if t := node.GetToken(); t != nil && t.Position != nil {
		return t.Position.Line
	}
	return 0
}
