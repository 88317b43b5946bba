// Package conventions checks that the source follows the layout and the conventions of
// the design page.
//
// The folders below internal are named after the life span of the values in them:
// process, version, connection and request. The rules only need the syntax tree: the
// direction of imports between life spans, no mutex, no behavioural interface, no
// sleep, and struct literals with field names. One table registers each rule with its
// text, so that a failing test names the convention.
package conventions

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

const module = "greengagedoor.example/greengagedoor/"

// source is a parsed file with its path below the root.
type source struct {
	path string
	file *ast.File
	set  *token.FileSet
}

// Rule is one convention with its check.
type Rule struct {
	name  string
	text  string
	check func(s source, report func(ast.Node, string))
}

func (r Rule) Name() string {
	return r.name
}

// Text returns what the rule requires and why.
func (r Rule) Text() string {
	return r.text
}

// Rules returns all rules.
func Rules() []Rule {
	return []Rule{
		{
			name:  "import_direction",
			text:  "A value may hold what lives longer, never what lives shorter: process imports no other life span, version none but process, connection none of request. Roles assemble the process and are exempt, and so are the stand-ins.",
			check: checkImports,
		},
		{
			name:  "no_mutex",
			text:  "A duty alone owns its state and reads a ring; nothing is shared behind a lock.",
			check: checkSelector("sync", "Mutex", "RWMutex", "Map"),
		},
		{
			name:  "no_sleep",
			text:  "Waits belong on a timer, a ring or a context.",
			check: checkSelector("time", "Sleep"),
		},
		{
			name:  "no_interface",
			text:  "Behaviour that varies is a function field of a concrete type.",
			check: checkInterface,
		},
		{
			name:  "named_fields",
			text:  "Struct literals name their fields.",
			check: checkLiterals,
		},
		{
			name:  "one_field_a_line",
			text:  "Struct literals have one field a line, so that a change shows as one line.",
			check: checkLines,
		},
	}
}

// Violation is a place in the source that breaks a rule.
type Violation struct {
	rule     string
	position string
	detail   string
}

// String returns position, rule and detail.
func (v Violation) String() string {
	return v.position + ": " + v.rule + ": " + v.detail
}

// Check parses every Go file below root, except tests and generated code, and returns
// all violations.
func Check(root string) ([]Violation, error) {
	var found []Violation
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && strings.HasPrefix(d.Name(), ".") && path != root {
			return filepath.SkipDir
		}
		if d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") {
			return nil
		}
		vs, err := checkFile(root, path)
		found = append(found, vs...)
		return err
	})
	return found, errors.Wrap(err, "read source")
}

func checkFile(root, path string) ([]Violation, error) {
	set := token.NewFileSet()
	f, err := parser.ParseFile(set, path, nil, 0)
	if err != nil {
		return nil, errors.Wrap(err, "parse")
	}
	rel, err := filepath.Rel(root, path)
	if err != nil {
		return nil, errors.Wrap(err, "relative path")
	}
	src := source{
		path: filepath.ToSlash(rel),
		file: f,
		set:  set,
	}
	var found []Violation
	for _, r := range Rules() {
		r.check(src, func(n ast.Node, detail string) {
			found = append(found, Violation{
				rule:     r.name,
				position: set.Position(n.Pos()).String(),
				detail:   detail,
			})
		})
	}
	return found, nil
}

// forbiddenImports maps each life span to the spans that it must not import.
var forbiddenImports = map[string][]string{
	"internal/process/":    {"internal/version/", "internal/connection/", "internal/request/"},
	"internal/version/":    {"internal/connection/", "internal/request/"},
	"internal/connection/": {"internal/request/"},
}

func checkImports(s source, report func(ast.Node, string)) {
	if strings.HasPrefix(s.path, "internal/process/role/") || strings.HasPrefix(s.path, "internal/process/standin/") {
		return
	}
	for span, others := range forbiddenImports {
		if !strings.HasPrefix(s.path, span) {
			continue
		}
		for _, i := range s.file.Imports {
			target := strings.TrimPrefix(strings.Trim(i.Path.Value, `"`), module)
			for _, o := range others {
				if strings.HasPrefix(target+"/", o) {
					report(i, span+" must not import "+target)
				}
			}
		}
	}
}

func checkSelector(pkg string, names ...string) func(source, func(ast.Node, string)) {
	return func(src source, report func(ast.Node, string)) {
		ast.Inspect(src.file, func(n ast.Node) bool {
			s, ok := n.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			x, ok := s.X.(*ast.Ident)
			if !ok || x.Name != pkg {
				return true
			}
			for _, name := range names {
				if s.Sel.Name == name {
					report(s, pkg+"."+name)
				}
			}
			return true
		})
	}
}

func checkInterface(s source, report func(ast.Node, string)) {
	ast.Inspect(s.file, func(n ast.Node) bool {
		if t, ok := n.(*ast.TypeSpec); ok {
			if _, ok := t.Type.(*ast.InterfaceType); ok {
				report(t, "interface "+t.Name.Name)
			}
		}
		return true
	})
}

// checkLiterals reports struct literals without field names. A literal of a slice,
// array or map type has elements instead of fields.
func checkLiterals(s source, report func(ast.Node, string)) {
	ast.Inspect(s.file, func(n ast.Node) bool {
		l, ok := n.(*ast.CompositeLit)
		if !ok || len(l.Elts) == 0 {
			return true
		}
		switch l.Type.(type) {
		case *ast.Ident, *ast.SelectorExpr:
		default:
			return true
		}
		if _, ok := l.Elts[0].(*ast.KeyValueExpr); !ok {
			report(l, "literal without field names")
		}
		return true
	})
}

// checkLines reports struct literals with two fields on one line, or with a field on
// the line of a brace.
func checkLines(s source, report func(ast.Node, string)) {
	line := func(p token.Pos) int { return s.set.Position(p).Line }
	ast.Inspect(s.file, func(n ast.Node) bool {
		l, ok := n.(*ast.CompositeLit)
		if !ok || !namesFields(l) {
			return true
		}
		end := l.Lbrace
		for _, e := range l.Elts {
			if line(e.Pos()) == line(end) {
				report(e, "field shares its line")
			}
			end = e.End()
		}
		if line(end) == line(l.Rbrace) {
			report(l, "field shares the line of the closing brace")
		}
		return true
	})
}

// namesFields reports whether l is a struct literal with field names. The type can be
// omitted inside a slice or map.
func namesFields(l *ast.CompositeLit) bool {
	if len(l.Elts) == 0 {
		return false
	}
	switch l.Type.(type) {
	case *ast.Ident, *ast.SelectorExpr, *ast.IndexExpr, nil:
	default:
		return false
	}
	kv, ok := l.Elts[0].(*ast.KeyValueExpr)
	if !ok {
		return false
	}
	_, ok = kv.Key.(*ast.Ident)
	return ok
}
