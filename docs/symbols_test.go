// Package docs contains the project's documentation. Its tests check that the pages name
// code, log events and safeguards as they are in the source.
package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"violetthread/internal/app/directory"
	"violetthread/route"
)

// checkedPages are the pages on which every name of code must exist.
var checkedPages = []string{
	"../README.md", "../DEVELOPERS.md", "ROADMAP.md", "glossary.md", "logs.md", "oncall.md",
	"architecture.md", "design.md", "bounds.md", "control-safety.md", "platform.md", "paper.md",
	"operating.md", "platform-operating.md", "caller-api.md", "engine-protocol.md", "simulator.md", "hunts.md",
	"incidents/cut-off-node.md", "incidents/full-disk.md", "incidents/full-log.md", "incidents/late-version.md", "incidents/lost-acknowledgement.md",
	"incidents/replacement-margin.md", "incidents/selat-inc-f216.md", "incidents/subtitulos-inc-6226.md",
}

var (
	inCode      = regexp.MustCompile("`([^`\n]+)`")
	testName    = regexp.MustCompile(`^(Test|Fuzz|Example|Benchmark)[A-Z0-9]\w*`)
	symbolName  = regexp.MustCompile(`^([a-z][\w/]*)\.([A-Za-z]\w*)(?:\.([A-Za-z]\w*))?$`)
	programName = regexp.MustCompile(`^violetthread(-[a-z]+)?$`)
	fileName    = regexp.MustCompile(`^[\w.-]+(/[\w.-]+)+$`)
)

// storedKeys are keys of registers. They look like paths but are not files.
var storedKeys = map[string]bool{
	route.ConfigKey: true, route.WeightsKey: true, directory.RolloutKey: true, directory.WeightsRoleKey: true,
}

// libraries are packages outside the project, and symbols in them, that pages mention.
var libraries = map[string]bool{"net/http": true, "errors.Is": true, "gravitational/trace": true, "samber/lo": true}

// declared returns the names that the project's source declares: tests by name, and other symbols
// as package.Name and package.Type.Member, where package is the package's name without "_test".
func declared(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	eachFile(t, func(_ string, _ *token.FileSet, file *ast.File) {
		declareFile(names, strings.TrimSuffix(file.Name.Name, "_test"), file)
	})
	return names
}

// eachSourceFile calls visit for all Go files of the project except tests.
func eachSourceFile(t *testing.T, visit func(files *token.FileSet, file *ast.File)) {
	t.Helper()
	eachFile(t, func(path string, files *token.FileSet, file *ast.File) {
		if !strings.HasSuffix(path, "_test.go") {
			visit(files, file)
		}
	})
}

// eachFile calls visit for all Go files of the project.
func eachFile(t *testing.T, visit func(path string, files *token.FileSet, file *ast.File)) {
	t.Helper()
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && strings.HasPrefix(entry.Name(), ".") && entry.Name() != ".." {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") {
			return nil
		}
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		visit(path, files, file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

func declareFile(names map[string]bool, pkg string, file *ast.File) {
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			declareFunc(names, pkg, d)
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				declareSpec(names, pkg, spec)
			}
		}
	}
}

func declareFunc(names map[string]bool, pkg string, d *ast.FuncDecl) {
	if d.Recv == nil {
		names[d.Name.Name] = testName.MatchString(d.Name.Name)
		names[pkg+"."+d.Name.Name] = true
		return
	}
	receiver := d.Recv.List[0].Type
	if star, ok := receiver.(*ast.StarExpr); ok {
		receiver = star.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	if name, ok := receiver.(*ast.Ident); ok {
		names[pkg+"."+name.Name+"."+d.Name.Name] = true
	}
}

func declareSpec(names map[string]bool, pkg string, spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range s.Names {
			names[pkg+"."+name.Name] = true
		}
	case *ast.TypeSpec:
		names[pkg+"."+s.Name.Name] = true
		var members *ast.FieldList
		switch x := s.Type.(type) {
		case *ast.StructType:
			members = x.Fields
		case *ast.InterfaceType:
			members = x.Methods
		default:
			return
		}
		for _, member := range members.List {
			for _, name := range member.Names {
				names[pkg+"."+s.Name.Name+"."+name.Name] = true
			}
		}
	}
}

// missing checks one name of code from a page: a test, symbol, program or file. It returns what is
// wrong, "" if the name exists or is not of one of these forms.
func missing(names map[string]bool, code string) string {
	if test := testName.FindString(code); test != "" {
		if !names[test] {
			return "no such test"
		}
		return ""
	}
	if storedKeys[code] || libraries[code] {
		return ""
	}
	if parts := symbolName.FindStringSubmatch(code); parts != nil {
		symbol := filepath.Base(parts[1]) + "." + parts[2]
		if parts[3] != "" {
			symbol += "." + parts[3]
		}
		if _, err := os.Stat(filepath.Join("..", code)); err == nil {
			return ""
		}
		if !names[symbol] {
			return "no such symbol"
		}
		return ""
	}
	if programName.MatchString(code) {
		if _, err := os.Stat(filepath.Join("..", "cmd", code)); err != nil {
			return "no such program"
		}
		return ""
	}
	if fileName.MatchString(code) {
		if _, err := os.Stat(filepath.Join("..", code)); err != nil {
			return "no such file"
		}
	}
	return ""
}

// TestPagesNameWhatIsThere checks that every symbol, test, program and file that a checked page
// names exists.
func TestPagesNameWhatIsThere(t *testing.T) {
	names := declared(t)
	for _, page := range checkedPages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		found := 0
		for _, match := range inCode.FindAllStringSubmatch(string(text), -1) {
			found++
			if problem := missing(names, match[1]); problem != "" {
				t.Errorf("%s names `%s`: %s", page, match[1], problem)
			}
		}
		if found == 0 {
			t.Errorf("%s names no code", page)
		}
	}
}

// TestArchitectureFiles checks the steps on the architecture page: each file that a step names must
// contain at least one of the symbols that the step names.
func TestArchitectureFiles(t *testing.T) {
	text, err := os.ReadFile("architecture.md")
	if err != nil {
		t.Fatal(err)
	}
	steps := 0
	for line := range strings.Lines(string(text)) {
		cells := strings.Split(line, "|")
		if len(cells) != 5 || !strings.Contains(cells[3], ".go`") {
			continue
		}
		steps++
		for _, file := range codeNames(cells[3]) {
			source, err := os.ReadFile(filepath.Join("..", file))
			if err != nil {
				t.Error(err)
				continue
			}
			inSource := func(symbol string) bool {
				name := symbol[strings.LastIndex(symbol, ".")+1:]
				return regexp.MustCompile(`\b` + name + `\b`).Match(source)
			}
			if !slices.ContainsFunc(codeNames(cells[2]), inSource) {
				t.Errorf("%s contains none of the symbols of its step: %s", file, strings.TrimSpace(cells[1]))
			}
		}
	}
	if steps < 20 {
		t.Errorf("only %d steps were found", steps)
	}
}

// safeguardColumns are the titles of table columns that name entries of scripts/safeguards in quotes.
var safeguardColumns = []string{"noticed if taken out", "without the safeguard"}

var (
	quoted         = regexp.MustCompile(`"([^"]+)"`)
	safeguardEntry = regexp.MustCompile(`(?m)^weaken "([^"]+)"`)
)

// safeguards returns the names of the entries of scripts/safeguards.
func safeguards(t *testing.T) map[string]bool {
	t.Helper()
	files, err := filepath.Glob("../scripts/safeguards/*")
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]bool{}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range safeguardEntry.FindAllStringSubmatch(string(text), -1) {
			names[match[1]] = true
		}
	}
	return names
}

// TestPagesNameSafeguards checks that the safeguards that pages name in safeguardColumns are entries
// of scripts/safeguards, which scripts/weaken removes one at a time to show that a test fails.
func TestPagesNameSafeguards(t *testing.T) {
	names := safeguards(t)
	for _, page := range []string{"control-safety.md", "bounds.md"} {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		found, inTable := 0, false
		for line := range strings.Lines(string(text)) {
			cells := strings.Split(strings.TrimSpace(line), "|")
			if len(cells) < 3 {
				inTable = false
				continue
			}
			last := strings.TrimSpace(cells[len(cells)-2])
			if slices.Contains(safeguardColumns, last) {
				inTable = true
			}
			if !inTable {
				continue
			}
			for _, match := range quoted.FindAllStringSubmatch(last, -1) {
				found++
				if !names[match[1]] {
					t.Errorf("%s names the safeguard %q, which is not an entry of scripts/safeguards", page, match[1])
				}
			}
		}
		if found == 0 {
			t.Errorf("%s names no safeguard", page)
		}
	}
}

// operatorPages are the pages that name metrics, log events, log keys and fields of responses.
var operatorPages = []string{"oncall.md", "operating.md", "platform-operating.md"}

// underscored matches names of metrics, log events, log keys and JSON fields of several words.
var underscored = regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]+)+$`)

// literalWords returns the words in string literals and struct tags of the project's source files
// other than tests, and the names of log events and their keys.
func literalWords(t *testing.T) map[string]bool {
	t.Helper()
	words := map[string]bool{}
	for event, keys := range loggedEvents(t) { // in case a name is composed at run time
		words[event] = true
		for key := range keys {
			words[key] = true
		}
	}
	wordPattern := regexp.MustCompile(`[a-z][a-z0-9_]*`)
	eachSourceFile(t, func(_ *token.FileSet, file *ast.File) {
		ast.Inspect(file, func(node ast.Node) bool {
			basic, ok := node.(*ast.BasicLit)
			if !ok || basic.Kind != token.STRING {
				return true
			}
			for _, word := range wordPattern.FindAllString(basic.Value, -1) {
				words[word] = true
			}
			return true
		})
	})
	return words
}

// TestOperatorPagesSpell checks that the metrics, events, keys and fields that the operators' pages
// name exist in the source under that name.
func TestOperatorPagesSpell(t *testing.T) {
	words := literalWords(t)
	for _, page := range operatorPages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		found := 0
		for _, match := range inCode.FindAllStringSubmatch(string(text), -1) {
			if !underscored.MatchString(match[1]) {
				continue
			}
			found++
			if !words[match[1]] {
				t.Errorf("%s names `%s`, which no string in the source contains", page, match[1])
			}
		}
		if found == 0 {
			t.Errorf("%s names no metric, event or field", page)
		}
	}
}

// TestMissing checks that missing accepts names that exist and reports those that don't.
func TestMissing(t *testing.T) {
	names := declared(t)
	for code, want := range map[string]string{
		"quorum.Node.ReadUnderLease": "", "quorum.Node.NoSuchMethod": "no such symbol", "quorum.Entry.Revision": "",
		"TestMissing": "", "TestNoSuchTest": "no such test", "docs/symbols_test.go": "", "docs/no-such.md": "no such file",
		"scripts/test": "", "a few words": "", "duty/weights": "", "violetthread-ctl": "", "violetthread-none": "no such program",
	} {
		if got := missing(names, code); got != want {
			t.Errorf("%s: %q, want %q", code, got, want)
		}
	}
}
