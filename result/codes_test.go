package result

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// declaredCodes returns the names of the Code constants in result.go by number.
func declaredCodes(t *testing.T) map[string]string {
	file, err := parser.ParseFile(token.NewFileSet(), "result.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	codes := make(map[string]string)
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if typ, ok := spec.Type.(*ast.Ident); ok && typ.Name == "Code" {
			number := spec.Values[0].(*ast.BasicLit).Value
			if other, ok := codes[number]; ok {
				t.Errorf("%s and %s have the same code %s", other, spec.Names[0].Name, number)
			}
			codes[number] = spec.Names[0].Name
		}
		return true
	})
	return codes
}

var tableRow = regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \| ([^|]+) \| ([^|]+) \|$`)

// Guards against an undocumented code, and against a documented code or name that
// result.go does not define.
func TestDocumentedCodesAgreeWithSource(t *testing.T) {
	b, err := os.ReadFile("../docs/RESULT_CODES.md")
	if err != nil {
		t.Fatal(err)
	}
	documented, last := make(map[string]string), -1
	for _, row := range tableRow.FindAllStringSubmatch(string(b), -1) {
		documented[row[1]] = row[2]
		number, err := strconv.Atoi(row[1])
		if err != nil || number <= last {
			t.Errorf("table row of code %s is out of order", row[1])
		}
		last = number
	}
	source := declaredCodes(t)
	if len(source) == 0 {
		t.Fatal("no codes found in the source")
	}
	if diff := cmp.Diff(source, documented); diff != "" {
		t.Errorf("codes in result.go (-) and docs/RESULT_CODES.md (+) differ:\n%s", diff)
	}
}
