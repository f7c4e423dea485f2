package catalogue

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// Guards against operator documentation whose example is rejected or that omits a field.
func TestDocumentationMatchesTypes(t *testing.T) {
	page, err := os.ReadFile("../../docs/CATALOGUE.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(page), "```yaml\n")
	example, _, _ := strings.Cut(rest, "```")
	mustParse(t, example)
	for _, value := range []any{Catalogue{}, Customer{}, Pool{}, Call{}, Target{}} {
		for name := range fieldsByName(reflect.TypeOf(value)) {
			if !strings.Contains(string(page), "| `"+name+"` |") {
				t.Errorf("the page has no row for field %s of %T", name, value)
			}
		}
	}
}
