package catalogue

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// Guards against a page for operators whose example is refused or that leaves out a field.
func TestPageMatchesTypes(t *testing.T) {
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
