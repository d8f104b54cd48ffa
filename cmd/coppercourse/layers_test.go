package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// module is the import path of the repository's root.
const module = "coppercourse"

// layers are all packages, lowest layer first, as docs/ARCHITECTURE.md shows them.
var layers = [][]string{
	{"internal/types", "internal/apierror"},
	{"internal/wire", "internal/config", "internal/trace", "internal/wal", "internal/supervisor"},
	{"internal/wal/waltest", "internal/goldentest", "internal/httpfault"},
	{
		"internal/raft", "internal/membership", "internal/state", "internal/placement", "internal/configwatch",
		"internal/workqueue",
	},
	{"internal/dispatch", "internal/dispatch/protocol", "internal/maintenance", "internal/daemon"},
	{"internal/dispatch/scheduler", "internal/dispatch/executor"},
	{"internal/controller", "internal/gateway", "internal/agent", "internal/settings", "internal/server"},
	{"platform"},
	{"cmd/coppercourse", "sim/history"},
	{"sim/worker"},
	{"sim/checker", "sim/deployment", "sim/world"},
	{"sim", "sim/fleet"},
	{"sim/capacity"},
	{"cmd/coppersim"},
}

// A package imports only from lower layers, and every package has a layer. Test
// files may import from anywhere.
func TestPackagesImportFromLowerLayers(t *testing.T) {
	is := is.New(t)
	layerOf := map[string]int{}
	for i, layer := range layers {
		for _, name := range layer {
			layerOf[name] = i
		}
	}
	root, err := filepath.Abs("../..")
	is.NoErr(err)
	found := map[string]bool{}
	is.NoErr(filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		folder, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		from, ok := layerOf[folder]
		if !ok {
			t.Errorf("%s has no layer", folder)
			return nil
		}
		found[folder] = true
		for _, name := range imports(t, path) {
			if to, ok := layerOf[name]; !ok || to >= from {
				t.Errorf("%s imports %s, which is in no lower layer", folder, name)
			}
		}
		return nil
	}))
	is.Equal(len(found), len(layerOf)) // no layer names a package that is gone
}

// Every package stands in the table of layers of docs/ARCHITECTURE.md.
func TestArchitecturePageListsEveryPackage(t *testing.T) {
	page, err := os.ReadFile("../../docs/ARCHITECTURE.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, section := range sections(string(page)) {
		if title(section) != "Layers" {
			continue
		}
		for _, layer := range layers {
			for _, folder := range layer {
				if !strings.Contains(section, "`"+folder+"`") {
					t.Errorf("the table of layers lacks %s", folder)
				}
			}
		}
		return
	}
	t.Error("the page has no section Layers")
}

// mentioned are the names in code type, such as raft.Node.Propose.
var mentioned = regexp.MustCompile("`([A-Za-z]+(?:\\.[A-Za-z]+)*)`")

// Every function and type that docs/ARCHITECTURE.md names in the lives of a job, of
// a change and of a heartbeat is there.
func TestArchitecturePageNamesWhatIsThere(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/ARCHITECTURE.md")
	is.NoErr(err)
	_, lives, found := strings.Cut(string(page), "## The life of a job")
	is.True(found)
	there := map[string]bool{}
	for _, layer := range layers {
		for _, folder := range layer {
			declared(t, filepath.Join("../..", folder), there)
		}
	}
	for _, match := range mentioned.FindAllStringSubmatch(lives, -1) {
		parts := strings.Split(match[1], ".")
		if name := parts[len(parts)-1]; !there[name] {
			t.Errorf("the page names %s, which is not there", match[1])
		}
	}
}

// declared adds the names of a package's functions, methods and types.
func declared(t *testing.T, folder string, there map[string]bool) {
	files, err := filepath.Glob(filepath.Join(folder, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range files {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(node ast.Node) bool {
			switch d := node.(type) {
			case *ast.FuncDecl:
				there[d.Name.Name] = true
				return false
			case *ast.TypeSpec:
				there[d.Name.Name] = true
			}
			return true
		})
	}
}

// imports returns the repository's packages that a file imports, without the
// module's name.
func imports(t *testing.T, path string) (list []string) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	for _, spec := range file.Imports {
		name, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		if inner, ok := strings.CutPrefix(name, module+"/"); ok {
			list = append(list, inner)
		}
	}
	return list
}
