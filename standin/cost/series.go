package cost

import "math"

// Series varies one size of a run and keeps the others.
type Series struct {
	Name   string
	Values []int
	Set    func(c *Config, value int)
}

// AllSeries are the sizes that the capacity page extrapolates from.
func AllSeries() []Series {
	return []Series{
		{"daemons", []int{4, 8, 16, 32, 64}, func(c *Config, v int) { c.Daemons = v }},
		{"targets", []int{6, 60, 300, 600}, func(c *Config, v int) { c.Targets = v }},
		{"customers", []int{10, 100, 350}, func(c *Config, v int) { c.Customers = v }},
		{"changes", []int{0, 60}, func(c *Config, v int) { c.ChangesPerMinute = v }},
	}
}

// Fit is a straight line through measured points.
type Fit struct {
	Series    string  `json:"series"`
	Role      string  `json:"role"`
	Measure   string  `json:"measure"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// Residual is the root of the mean squared distance of the points from the line.
	Residual float64 `json:"residual"`
}

// Line fits a line by least squares.
func Line(x, y []float64) (intercept, slope, residual float64) {
	n := float64(len(x))
	var sumX, sumY, sumXX, sumXY float64
	for i := range x {
		sumX += x[i]
		sumY += y[i]
		sumXX += x[i] * x[i]
		sumXY += x[i] * y[i]
	}
	spread := n*sumXX - sumX*sumX
	if spread == 0 {
		return sumY / n, 0, 0
	}
	slope = (n*sumXY - sumX*sumY) / spread
	intercept = (sumY - slope*sumX) / n
	for i := range x {
		distance := y[i] - intercept - slope*x[i]
		residual += distance * distance
	}
	return intercept, slope, math.Sqrt(residual / n)
}

// Fits fits the measures of both roles over the values of a series.
func Fits(s Series, results []*Result) []Fit {
	var fits []Fit
	roles := map[string]func(*Result) Role{
		"gate":  func(r *Result) Role { return r.Gates },
		"entry": func(r *Result) Role { return r.Entries },
	}
	measures := []struct {
		name string
		of   func(Role) float64
	}{
		{"control_bytes_per_s", func(r Role) float64 { return r.BytesPerSec }},
		{"core_percent", func(r Role) float64 { return r.CorePercent }},
		{"memory_mb", func(r Role) float64 { return r.MemoryMB }},
	}
	for _, role := range []string{"gate", "entry"} {
		for _, measure := range measures {
			var x, y []float64
			for i, result := range results {
				x = append(x, float64(s.Values[i]))
				y = append(y, measure.of(roles[role](result)))
			}
			fit := Fit{Series: s.Name, Role: role, Measure: measure.name}
			fit.Intercept, fit.Slope, fit.Residual = Line(x, y)
			fits = append(fits, fit)
		}
	}
	return fits
}

// FindSeries returns the series with a name.
func FindSeries(name string) (Series, bool) {
	for _, series := range AllSeries() {
		if series.Name == name {
			return series, true
		}
	}
	return Series{}, false
}
