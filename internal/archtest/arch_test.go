// Package archtest contains only tests. They check the import rules that keep the structure of the code: pure decisions,
// services that find each other by name, an independent kernel, and no dependency on the adapter of a platform.
package archtest

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const module = "github.com/pollenpier/pollenpier/"

// forbiddenForDecisions lists packages that encode messages, perform I/O or read a clock, with everything below them. The
// package time is allowed for durations; calls that read the clock are checked separately, see clockCalls.
var forbiddenForDecisions = []string{
	"net", "os", "io", "bufio", "syscall", "context", "encoding", "log", "math/rand",
	"google.golang.org/protobuf", "storj.io/drpc", "github.com/gin-gonic/gin", "github.com/goccy/go-yaml", "go.uber.org/zap",
	module + "internal/kernel", module + "internal/service", module + "internal/peer", module + "internal/platformapi",
	module + "internal/backend", module + "internal/standin", module + "internal/telemetry", module + "internal/sleep",
}

// clockCalls are the functions of package time that read the clock or wait for it.
var clockCalls = []string{"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTimer", "NewTicker"}

// sourceFiles calls visit with the path, the imports and the source of every non-test Go file under root, and fails the test
// if there is none.
func sourceFiles(t *testing.T, root string, visit func(path string, imports []string, src []byte)) {
	t.Helper()
	count := 0
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		count++
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		var imports []string
		for _, spec := range file.Imports {
			name, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				return err
			}
			imports = append(imports, name)
		}
		visit(path, imports, readFile(t, path))
		return nil
	})
	require.NoError(t, err)
	require.Positive(t, count, "no source files under %s", root)
}

// Guards against code in internal/decide that imports an encoding, a socket or I/O, or reads a clock: tests and the model
// cannot control such decisions.
func TestDecisionsArePure(t *testing.T) {
	sourceFiles(t, "../decide", func(path string, imports []string, src []byte) {
		for _, imported := range imports {
			for _, forbidden := range forbiddenForDecisions {
				if imported == forbidden || strings.HasPrefix(imported, forbidden+"/") {
					t.Errorf("%s imports %s", path, imported)
				}
			}
		}
		for _, call := range clockCalls {
			if strings.Contains(string(src), "time."+call+"(") {
				t.Errorf("%s calls time.%s", path, call)
			}
		}
	})
}

// Guards against services that import one another instead of finding each other by name in the kernel's registry.
func TestServicesDoNotImportOneAnother(t *testing.T) {
	const services = module + "internal/service/"
	sourceFiles(t, "../service", func(path string, imports []string, _ []byte) {
		own := module + "internal/" + filepath.ToSlash(strings.TrimPrefix(filepath.Dir(path), ".."+string(filepath.Separator)))
		for _, imported := range imports {
			if strings.HasPrefix(imported, services) && imported != own {
				t.Errorf("%s imports %s", path, imported)
			}
		}
	})
}

// Guards against a kernel that depends on any other package of this module, such as routing.
func TestKernelImportsNothingOfTheProduct(t *testing.T) {
	sourceFiles(t, "../kernel", func(path string, imports []string, _ []byte) {
		for _, imported := range imports {
			if strings.HasPrefix(imported, module) {
				t.Errorf("%s imports %s", path, imported)
			}
		}
	})
}

// Guards against code in internal and operator that depends on the adapter of one platform, because it imports a package under
// platform.
func TestProductDoesNotImportTheAdapter(t *testing.T) {
	for _, root := range []string{"../../internal", "../../operator"} {
		sourceFiles(t, root, func(path string, imports []string, _ []byte) {
			for _, imported := range imports {
				if strings.HasPrefix(imported, module+"platform") {
					t.Errorf("%s imports %s", path, imported)
				}
			}
		})
	}
}
