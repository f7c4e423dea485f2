package cost

import (
	"math"
	"testing"
)

// Guards against a fit whose slope or residual is wrong, on which every extrapolation depends.
func TestLine(t *testing.T) {
	cases := []struct {
		name                       string
		x, y                       []float64
		intercept, slope, residual float64
	}{
		{"exact", []float64{1, 2, 4}, []float64{5, 7, 11}, 3, 2, 0},
		{"scattered", []float64{0, 1, 2}, []float64{0, 3, 0}, 1, 0, math.Sqrt2},
		{"one value of x", []float64{2, 2}, []float64{1, 3}, 2, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			intercept, slope, residual := Line(c.x, c.y)
			for _, pair := range [][2]float64{{intercept, c.intercept}, {slope, c.slope}, {residual, c.residual}} {
				if math.Abs(pair[0]-pair[1]) > 1e-9 {
					t.Fatalf("got %g, %g, %g", intercept, slope, residual)
				}
			}
		})
	}
}
