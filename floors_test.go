package lapisshelf

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// layers maps folders to the layers of the architecture; a package imports only from its own layer or below. The longest matching
// prefix applies.
var layers = map[string]int{
	"cmd/": 5, "lab/": 4,
	"internal/node": 3, "internal/control": 3, "internal/handover": 3, "internal/simhost": 3, "internal/operator": 3, "internal/registry": 3,
	"internal/settings": 3, "internal/simwire": 3, "internal/planwire": 3, "internal/forwarder": 3, "internal/planner": 3, "internal/keys": 3,
	"internal/migrate": 3,
	"policy":           2, "decide/": 2,
	"internal/system": 1, "internal/loop": 1, "internal/meta": 1, "internal/httpc": 1, "internal/tomlfile": 1,
}

// layerOf returns the layer of a package's folder, 0 if it has none.
func layerOf(path string) int {
	best, level := "", 0
	for prefix, f := range layers {
		if strings.HasPrefix(path+"/", prefix) && len(prefix) > len(best) {
			best, level = prefix, f
		}
	}
	return level
}

// packageFiles parses the module's Go files, without tests, and returns them by folder.
func packageFiles(t *testing.T) map[string][]*ast.File {
	t.Helper()
	all := map[string][]*ast.File{}
	set := token.NewFileSet()
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() && strings.HasPrefix(d.Name(), ".") && path != "." {
			return fs.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		f, err := parser.ParseFile(set, path, nil, 0)
		dir := filepath.ToSlash(filepath.Dir(path))
		all[dir] = append(all[dir], f)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// imports returns the import paths of a file.
func imports(f *ast.File) (all []string) {
	for _, i := range f.Imports {
		path, _ := strconv.Unquote(i.Path.Value)
		all = append(all, path)
	}
	return all
}

// No package imports from a layer above its own, and only the lab's own command imports the lab.
func TestLayers(t *testing.T) {
	for dir, list := range packageFiles(t) {
		if layerOf(dir) == 0 {
			t.Errorf("%s has no layer: add it to layers", dir)
		}
		for _, f := range list {
			for _, path := range imports(f) {
				rest, ours := strings.CutPrefix(path, "lapisshelf/")
				if ours && layerOf(rest) > layerOf(dir) {
					t.Errorf("%s (layer %d) imports %s (layer %d)", dir, layerOf(dir), rest, layerOf(rest))
				}
				if ours && strings.HasPrefix(rest, "lab/") && !strings.HasPrefix(dir, "lab/") && dir != "cmd/lapislab" {
					t.Errorf("%s imports %s, a package of the lab", dir, rest)
				}
			}
		}
	}
}

// Decision modules use no I/O, clocks, goroutines or package variables, so that the same events give the same actions.
func TestDecisionsArePure(t *testing.T) {
	allowed := []string{"cmp", "container/heap", "container/list", "encoding/binary", "errors", "fmt", "hash", "hash/fnv", "iter", "maps", "math",
		"math/bits", "math/rand", "math/rand/v2", "slices", "sort", "strconv", "strings", "time", "golang.org/x/crypto/blake2b",
		"github.com/cespare/xxhash/v2"}
	clocks := []string{"Now", "Since", "Until", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick", "Sleep"}
	seen := 0
	for dir, list := range packageFiles(t) {
		if layerOf(dir) != 2 {
			continue
		}
		seen++
		for _, f := range list {
			for _, path := range imports(f) {
				if rest, ours := strings.CutPrefix(path, "lapisshelf/"); !ours && !slices.Contains(allowed, path) || ours && layerOf(rest) != 2 {
					t.Errorf("%s imports %s", dir, path)
				}
			}
			for _, d := range f.Decls {
				if g, ok := d.(*ast.GenDecl); ok && g.Tok == token.VAR {
					t.Errorf("%s has a package variable", dir)
				}
			}
			ast.Inspect(f, func(n ast.Node) bool {
				switch n := n.(type) {
				case *ast.GoStmt, *ast.SelectStmt, *ast.ChanType, *ast.SendStmt:
					t.Errorf("%s uses goroutines or channels", dir)
				case *ast.SelectorExpr:
					if x, ok := n.X.(*ast.Ident); ok && x.Name == "time" && slices.Contains(clocks, n.Sel.Name) {
						t.Errorf("%s calls time.%s", dir, n.Sel.Name)
					}
					if x, ok := n.X.(*ast.Ident); ok && x.Name == "rand" && !slices.Contains([]string{"New", "NewSource", "NewPCG", "Rand", "Source", "NewZipf", "Zipf", "PCG"}, n.Sel.Name) {
						t.Errorf("%s uses the global random source: rand.%s", dir, n.Sel.Name)
					}
				}
				return true
			})
		}
	}
	if seen == 0 {
		t.Error("no decision module was checked")
	}
}
