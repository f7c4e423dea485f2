package replay

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"html/template"
	"io"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/amaranthlb/amaranthlb/standin/backend"
)

// Size of a plot.
const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

//go:embed report.html
var reportPage string

var reportTemplate = template.Must(template.New("report").Parse(reportPage))

// row is one run in the report's table.
type row struct {
	Policy   string
	Measures *Measures
}

// reportData is what the page shows.
type reportData struct {
	Result *Result
	Rows   []row
	Plots  []template.HTML
	JSON   string
}

// WriteReport writes a page that needs no other files.
func WriteReport(sink io.Writer, result *Result) error {
	rows := resultRows(result)
	data := reportData{Result: result, Rows: rows}
	for _, draw := range []func([]row) (*plot.Plot, error){plotReuse, plotSkew, plotFirstToken, plotLoad} {
		picture, err := draw(rows)
		if err != nil {
			return err
		}
		svg, err := renderSVG(picture)
		if err != nil {
			return err
		}
		data.Plots = append(data.Plots, svg)
	}
	encoded, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return err
	}
	data.JSON = string(encoded)
	return reportTemplate.Execute(sink, data)
}

// resultRows returns the run and then the baselines by name.
func resultRows(result *Result) []row {
	rows := []row{{result.Policy, result.Measures}}
	for policy, measures := range result.Baselines {
		rows = append(rows, row{policy, measures})
	}
	slices.SortFunc(rows[1:], func(a, b row) int {
		if a.Policy < b.Policy {
			return -1
		}
		return 1
	})
	return rows
}

// renderSVG draws a plot without the XML head, so that it can stand within a page.
func renderSVG(picture *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	picture.Draw(draw.New(canvas))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return "", err
	}
	text := svg.Bytes()
	return template.HTML(text[max(0, bytes.Index(text, []byte("<svg"))):]), nil
}

// plotBars draws one bar per run.
func plotBars(title, label string, rows []row, value func(*Measures) float64) (*plot.Plot, error) {
	picture := plot.New()
	picture.Title.Text = title
	picture.Y.Label.Text = label
	picture.Y.Min = 0
	values := make(plotter.Values, len(rows))
	names := make([]string, len(rows))
	for i, row := range rows {
		values[i] = value(row.Measures)
		names[i] = row.Policy
	}
	bars, err := plotter.NewBarChart(values, vg.Centimeter)
	if err != nil {
		return nil, err
	}
	bars.Color = plotutil.Color(2)
	picture.Add(bars)
	picture.NominalX(names...)
	return picture, nil
}

func plotReuse(rows []row) (*plot.Plot, error) {
	return plotBars("Reuse of cached prompt tokens", "part of the oracle", rows,
		func(m *Measures) float64 { return m.Reuse.OfOracle })
}

func plotSkew(rows []row) (*plot.Plot, error) {
	return plotBars("Skew in the worst second", "highest load / mean load", rows,
		func(m *Measures) float64 { return m.Skew.Worst })
}

// plotFirstToken draws the time to the first token by percentile.
func plotFirstToken(rows []row) (*plot.Plot, error) {
	picture := plot.New()
	picture.Title.Text = "Time to the first token"
	picture.X.Label.Text = "percentile"
	picture.Y.Label.Text = "ms"
	picture.Legend.Top = true
	picture.Legend.Left = true
	var lines []any
	for _, row := range rows {
		lines = append(lines, row.Policy, percentileLine(row.Measures))
	}
	return picture, plotutil.AddLines(picture, lines...)
}

func percentileLine(m *Measures) plotter.XYs {
	line := make(plotter.XYs, 0, 100)
	for percentile := 1.0; percentile <= 100; percentile++ {
		us := m.firstToken.ValueAtPercentile(percentile)
		line = append(line, plotter.XY{X: percentile, Y: float64(us) / 1000})
	}
	return line
}

// plotLoad draws the highest and the mean load of the first run per second.
func plotLoad(rows []row) (*plot.Plot, error) {
	picture := plot.New()
	picture.Title.Text = "Load of engines: " + rows[0].Policy
	picture.X.Label.Text = "second"
	picture.Y.Label.Text = "requests"
	picture.Legend.Top = true
	highest, mean := loadLines(rows[0].Measures.loads)
	return picture, plotutil.AddLines(picture, "highest", highest, "mean", mean)
}

// loadLines returns the highest and the mean load over all engines per second.
func loadLines(loads map[string][]backend.Second) (highest, mean plotter.XYs) {
	top, total := map[int64]float64{}, map[int64]float64{}
	for _, seconds := range loads {
		for _, second := range seconds {
			top[second.Unix] = max(top[second.Unix], second.Mean)
			total[second.Unix] += second.Mean
		}
	}
	seconds := make([]int64, 0, len(top))
	for second := range top {
		seconds = append(seconds, second)
	}
	slices.Sort(seconds)
	for _, second := range seconds {
		highest = append(highest, plotter.XY{X: float64(second), Y: top[second]})
		mean = append(mean, plotter.XY{X: float64(second), Y: total[second] / float64(len(loads))})
	}
	return highest, mean
}
