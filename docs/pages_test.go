package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"pimentogate.example/pimentogate/internal/protocol/checker"
)

const repoRoot = ".."

func readPage(t *testing.T, path string) string {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

func requireNames(t *testing.T, page string, names map[string]string) {
	t.Helper()
	content := readPage(t, page)
	for n, where := range names {
		if !strings.Contains(content, "`"+n+"`") {
			t.Errorf("docs/%s does not mention `%s` of %s", page, n, where)
		}
	}
}

func TestSettingsAreDocumented(t *testing.T) {
	names := map[string]string{}
	for _, settings := range []any{checker.EntrySettings{}, checker.ForwarderSettings{}, checker.ControlSettings{}, checker.StandinSettings{}} {
		collectFieldNames(reflect.TypeOf(settings), names)
	}
	requireNames(t, "SETTINGS.md", names)
}

// collectFieldNames adds the JSON names of the fields of a settings struct, including nested structs, to names, each with its struct's name.
func collectFieldNames(typ reflect.Type, names map[string]string) {
	for typ.Kind() == reflect.Pointer || typ.Kind() == reflect.Slice {
		typ = typ.Elem()
	}
	if typ.Kind() != reflect.Struct {
		return
	}
	for i := range typ.NumField() {
		name, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
		names[name] = typ.Name()
		collectFieldNames(typ.Field(i).Type, names)
	}
}

func TestMetricsAreDocumented(t *testing.T) {
	constructors := map[string]bool{
		"Counter":   true,
		"Gauge":     true,
		"Timer":     true,
		"Histogram": true,
	}
	names := map[string]string{}
	forEachSourceFile(t, filepath.Join(repoRoot, "internal", "transport"), func(path string, file *ast.File) {
		ast.Inspect(file, func(node ast.Node) bool {
			call, ok := node.(*ast.CallExpr)
			if !ok || len(call.Args) == 0 {
				return true
			}
			selector, ok := call.Fun.(*ast.SelectorExpr)
			if ok && constructors[selector.Sel.Name] {
				if name := stringLiteral(call.Args[0]); name != "" {
					names["pimentogate_"+name] = path
				}
			}
			return true
		})
	})
	if len(names) == 0 {
		t.Fatal("no metric found in the sources")
	}
	requireNames(t, "METRICS.md", names)
}

func TestReasonsAreExplained(t *testing.T) {
	names := map[string]string{}
	forEachSourceFile(t, filepath.Join(repoRoot, "internal", "coordination"), func(path string, file *ast.File) {
		ast.Inspect(file, func(node ast.Node) bool {
			value, ok := node.(*ast.ValueSpec)
			if !ok || len(value.Values) == 0 {
				return true
			}
			kind, ok := value.Type.(*ast.Ident)
			if ok && kind.Name == "Reason" {
				if name := stringLiteral(value.Values[0]); name != "" {
					names[name] = path
				}
			}
			return true
		})
	})
	if len(names) == 0 {
		t.Fatal("no reason found in the sources")
	}
	requireNames(t, "OPERATING.md", names)
}

func TestIntentsAreExplained(t *testing.T) {
	names := map[string]string{}
	intent := reflect.TypeFor[checker.Intent]()
	for i := range intent.NumField() {
		name, _, _ := strings.Cut(intent.Field(i).Tag.Get("json"), ",")
		names[name] = intent.Name()
	}
	requireNames(t, "OPERATING.md", names)
}

func TestLinksResolve(t *testing.T) {
	pages, err := filepath.Glob("*.md")
	if err != nil {
		t.Fatal(err)
	}
	designPages, _ := filepath.Glob("design/*.md")
	links := regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)
	for _, name := range append(append(pages, designPages...), filepath.Join(repoRoot, "README.md")) {
		for _, link := range links.FindAllStringSubmatch(readPage(t, name), -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(name), link[1])); err != nil {
				t.Errorf("%s: broken link to %s: %v", name, link[1], err)
			}
		}
	}
}

func stringLiteral(expr ast.Expr) string {
	literal, ok := expr.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return ""
	}
	value, _ := strconv.Unquote(literal.Value)
	return value
}

// forEachSourceFile parses every Go file below dir except tests, and calls visit for each.
func forEachSourceFile(t *testing.T, dir string, visit func(path string, file *ast.File)) {
	t.Helper()
	err := filepath.WalkDir(dir, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err == nil {
			visit(path, file)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}
