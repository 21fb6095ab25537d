package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// snakeCase is the required form of log events and keys.
var snakeCase = regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]+)*$`)

// checkNames checks the names in all Go files below a folder.
func checkNames(root string, words withdrawn) (findings []finding, err error) {
	seen := map[string]bool{} // packages whose names have been checked
	err = eachGoFile(root, func(path string) error {
		c, err := checkFile(path, words)
		if err != nil || c == nil {
			return err
		}
		if !seen[c.pkg] {
			seen[c.pkg] = true
			c.checkName(c.pkg, 1, "package", filepath.Base(c.pkg))
		}
		findings = append(findings, c.findings...)
		return nil
	})
	return findings, err
}

// eachGoFile calls visit for the Go files of a module, except those in hidden folders, testdata and
// target.
func eachGoFile(root string, visit func(path string) error) error {
	return filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := entry.Name()
		if entry.IsDir() {
			if path != root && (strings.HasPrefix(name, ".") || name == "testdata" || name == "target") {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(name, ".go") {
			return nil
		}
		return visit(path)
	})
}

// fileCheck is the state of the check of one file.
type fileCheck struct {
	words    withdrawn
	fset     *token.FileSet
	path     string
	pkg      string // folder of the package
	check    string
	findings []finding
}

// checkFile checks the names in a file. It returns nil for generated code.
func checkFile(path string, words withdrawn) (*fileCheck, error) {
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, path, nil, parser.ParseComments)
	if err != nil {
		return nil, err
	}
	if ast.IsGenerated(file) {
		return nil, nil
	}
	c := &fileCheck{words: words, fset: fset, path: path, pkg: filepath.ToSlash(filepath.Dir(path)), check: checkOfNames}
	if strings.HasSuffix(path, "_test.go") {
		c.check = checkOfTestNames
	}
	c.checkName(path, 1, "file", strings.TrimSuffix(filepath.Base(path), ".go"))
	c.checkDeclarations(file)
	c.checkDocumentation(file)
	c.checkLogs(file)
	return c, nil
}

func (c *fileCheck) add(at string, line int, text string) {
	c.findings = append(c.findings, finding{c.check, c.pkg, fmt.Sprintf("%s:%d", at, line), text})
}

func (c *fileCheck) checkName(at string, line int, what, name string) {
	if word := c.words.inName(name); word != "" {
		c.add(at, line, fmt.Sprintf("%s %s contains the withdrawn word %q; use: %s", what, name, word, c.words[word].instead))
	}
}

func (c *fileCheck) line(n ast.Node) int { return c.fset.Position(n.Pos()).Line }

// checkDeclarations checks every identifier where it is declared. Uses need no check.
func (c *fileCheck) checkDeclarations(file *ast.File) {
	declare := func(names ...*ast.Ident) {
		for _, name := range names {
			c.checkName(c.path, c.line(name), "name", name.Name)
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.FuncDecl:
			declare(n.Name)
		case *ast.TypeSpec:
			declare(n.Name)
		case *ast.ValueSpec:
			declare(n.Names...)
		case *ast.Field:
			declare(n.Names...)
		case *ast.AssignStmt:
			if n.Tok == token.DEFINE {
				declare(identifiers(n.Lhs...)...)
			}
		case *ast.RangeStmt:
			if n.Tok == token.DEFINE {
				declare(identifiers(n.Key, n.Value)...)
			}
		}
		return true
	})
}

func identifiers(exprs ...ast.Expr) (names []*ast.Ident) {
	for _, e := range exprs {
		if name, ok := e.(*ast.Ident); ok {
			names = append(names, name)
		}
	}
	return names
}

// checkDocumentation checks the comments of the package and of exported items.
func (c *fileCheck) checkDocumentation(file *ast.File) {
	c.checkComment("the package", file.Doc)
	for _, d := range file.Decls {
		switch d := d.(type) {
		case *ast.FuncDecl:
			if d.Name.IsExported() {
				c.checkComment(d.Name.Name, d.Doc)
			}
		case *ast.GenDecl:
			if slices.ContainsFunc(d.Specs, isExported) {
				c.checkComment("a declaration", d.Doc)
			}
			for _, spec := range d.Specs {
				c.checkSpec(spec)
			}
		}
	}
}

func isExported(spec ast.Spec) bool {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		return s.Names[0].IsExported()
	case *ast.TypeSpec:
		return s.Name.IsExported()
	}
	return false
}

func (c *fileCheck) checkSpec(spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		if s.Names[0].IsExported() {
			c.checkComment(s.Names[0].Name, s.Doc, s.Comment)
		}
	case *ast.TypeSpec:
		if !s.Name.IsExported() {
			return
		}
		c.checkComment(s.Name.Name, s.Doc, s.Comment)
		if t, ok := s.Type.(*ast.StructType); ok {
			c.checkFields(s.Name.Name, t.Fields)
		}
		if t, ok := s.Type.(*ast.InterfaceType); ok {
			c.checkFields(s.Name.Name, t.Methods)
		}
	}
}

func (c *fileCheck) checkFields(of string, fields *ast.FieldList) {
	for _, f := range fields.List {
		if len(f.Names) > 0 && f.Names[0].IsExported() {
			c.checkComment(of+"."+f.Names[0].Name, f.Doc, f.Comment)
		}
	}
}

func (c *fileCheck) checkComment(of string, groups ...*ast.CommentGroup) {
	for _, g := range groups {
		if g == nil {
			continue
		}
		if word := c.words.inText(g.Text()); word != "" {
			c.add(c.path, c.line(g), fmt.Sprintf("the documentation of %s contains the withdrawn word %q; use: %s", of, word, c.words[word].instead))
		}
	}
}

// checkLogs checks the events and keys of log lines, which are calls of Info and Error on an
// expression whose name ends in log or logger.
func (c *fileCheck) checkLogs(file *ast.File) {
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		for i, arg := range logArguments(call) {
			text, ok := literal(arg)
			if !ok || i > 0 && i%2 == 0 { // values
				continue
			}
			c.checkName(c.path, c.line(arg), "log name", text)
			if !snakeCase.MatchString(text) {
				c.add(c.path, c.line(arg), fmt.Sprintf("log name %q is not snake_case", text))
			}
		}
		return true
	})
}

// logArguments returns the event, keys and values of a call that writes a log line, or nil for
// other calls.
func logArguments(call *ast.CallExpr) []ast.Expr {
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !isLogger(method.X) {
		return nil
	}
	switch {
	case method.Sel.Name == "Info":
		return call.Args
	case method.Sel.Name == "Error" && len(call.Args) > 1:
		return call.Args[1:]
	}
	return nil
}

func isLogger(e ast.Expr) bool {
	name := ""
	switch e := e.(type) {
	case *ast.Ident:
		name = e.Name
	case *ast.SelectorExpr:
		name = e.Sel.Name
	case *ast.CallExpr:
		return isLogger(e.Fun)
	}
	name = strings.ToLower(name)
	return strings.HasSuffix(name, "log") || strings.HasSuffix(name, "logger")
}

func literal(e ast.Expr) (string, bool) {
	l, ok := e.(*ast.BasicLit)
	if !ok || l.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(l.Value)
	return text, err == nil
}
