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

const root = ".."

func page(t *testing.T, name string) string {
	t.Helper()
	content, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

func needNames(t *testing.T, name string, names map[string]string) {
	t.Helper()
	text := page(t, name)
	for n, where := range names {
		if !strings.Contains(text, "`"+n+"`") {
			t.Errorf("docs/%s does not name `%s` of %s", name, n, where)
		}
	}
}

func TestSettingsAreDocumented(t *testing.T) {
	names := map[string]string{}
	for _, kind := range []any{checker.EntrySettings{}, checker.ForwarderSettings{}, checker.ControlSettings{}, checker.StandinSettings{}} {
		collect(reflect.TypeOf(kind), names)
	}
	needNames(t, "SETTINGS.md", names)
}

// collect gathers the names that a settings struct's fields have in a file, also of the structs it holds.
func collect(kind reflect.Type, names map[string]string) {
	for kind.Kind() == reflect.Pointer || kind.Kind() == reflect.Slice {
		kind = kind.Elem()
	}
	if kind.Kind() != reflect.Struct {
		return
	}
	for i := range kind.NumField() {
		name, _, _ := strings.Cut(kind.Field(i).Tag.Get("json"), ",")
		names[name] = kind.Name()
		collect(kind.Field(i).Type, names)
	}
}

func TestMetricsAreDocumented(t *testing.T) {
	makers := map[string]bool{
		"Counter":   true,
		"Gauge":     true,
		"Timer":     true,
		"Histogram": true,
	}
	names := map[string]string{}
	eachFile(t, filepath.Join(root, "internal", "transport"), func(path string, file *ast.File) {
		ast.Inspect(file, func(node ast.Node) bool {
			call, ok := node.(*ast.CallExpr)
			if !ok || len(call.Args) == 0 {
				return true
			}
			made, ok := call.Fun.(*ast.SelectorExpr)
			if ok && makers[made.Sel.Name] {
				if name := literal(call.Args[0]); name != "" {
					names["pimentogate_"+name] = path
				}
			}
			return true
		})
	})
	if len(names) == 0 {
		t.Fatal("no metric was found")
	}
	needNames(t, "METRICS.md", names)
}

func TestReasonsAreExplained(t *testing.T) {
	names := map[string]string{}
	eachFile(t, filepath.Join(root, "internal", "coordination"), func(path string, file *ast.File) {
		ast.Inspect(file, func(node ast.Node) bool {
			value, ok := node.(*ast.ValueSpec)
			if !ok || len(value.Values) == 0 {
				return true
			}
			kind, ok := value.Type.(*ast.Ident)
			if ok && kind.Name == "Reason" {
				if name := literal(value.Values[0]); name != "" {
					names[name] = path
				}
			}
			return true
		})
	})
	if len(names) == 0 {
		t.Fatal("no reason was found")
	}
	needNames(t, "OPERATING.md", names)
}

func TestIntentsAreExplained(t *testing.T) {
	names := map[string]string{}
	kind := reflect.TypeFor[checker.Intent]()
	for i := range kind.NumField() {
		name, _, _ := strings.Cut(kind.Field(i).Tag.Get("json"), ",")
		names[name] = kind.Name()
	}
	needNames(t, "OPERATING.md", names)
}

func TestLinksLeadSomewhere(t *testing.T) {
	pages, err := filepath.Glob("*.md")
	if err != nil {
		t.Fatal(err)
	}
	notes, _ := filepath.Glob("design/*.md")
	links := regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)
	for _, name := range append(append(pages, notes...), filepath.Join(root, "README.md")) {
		for _, found := range links.FindAllStringSubmatch(page(t, name), -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(name), found[1])); err != nil {
				t.Errorf("%s links to %s: %v", name, found[1], err)
			}
		}
	}
}

func literal(expression ast.Expr) string {
	text, ok := expression.(*ast.BasicLit)
	if !ok || text.Kind != token.STRING {
		return ""
	}
	value, _ := strconv.Unquote(text.Value)
	return value
}

// eachFile parses every Go file in a folder that is not a test.
func eachFile(t *testing.T, folder string, take func(path string, file *ast.File)) {
	t.Helper()
	err := filepath.WalkDir(folder, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err == nil {
			take(path, file)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}
