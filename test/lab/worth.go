package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// benchmarkReport holds the printed and plotted fields of the benchmark report of one day.
// The output calls the score "worth".
type benchmarkReport struct {
	name       string
	Score      float64          `json:"G"`
	Components []scoreComponent `json:"parts"`
	Prices     []priceItem      `json:"prices"`
	UnservedBy []outcomeCount   `json:"unserved_by"`
	Total      struct {
		Requests int `json:"n"`
		Late     int `json:"late"`
		Failed   int `json:"failed"`
	} `json:"all"`
}

// scoreComponent is a weighted part of the score. With a value of 1, no score is lost.
type scoreComponent struct {
	name          string
	weight, value float64
}

// priceItem is the amount used of a resource and the score charged for it.
type priceItem struct {
	name           string
	amount, charge float64
}

// outcomeCount counts the unserved requests whose last attempt ended with one outcome.
type outcomeCount struct {
	name  string
	count int
}

// UnmarshalJSON decodes [name, weight, value].
func (p *scoreComponent) UnmarshalJSON(b []byte) error {
	return unmarshalRow(b, &p.name, &p.weight, &p.value)
}

// UnmarshalJSON decodes [name, amount, charge].
func (p *priceItem) UnmarshalJSON(b []byte) error {
	return unmarshalRow(b, &p.name, &p.amount, &p.charge)
}

// UnmarshalJSON decodes [name, count, ...].
func (e *outcomeCount) UnmarshalJSON(b []byte) error { return unmarshalRow(b, &e.name, &e.count) }

// unmarshalRow decodes the first elements of a JSON array into fields.
func unmarshalRow(b []byte, fields ...any) error {
	var row []json.RawMessage
	if err := json.Unmarshal(b, &row); err != nil {
		return err
	}
	if len(row) < len(fields) {
		return fmt.Errorf("array has %d elements, want at least %d: %s", len(row), len(fields), b)
	}
	for i, f := range fields {
		if err := json.Unmarshal(row[i], f); err != nil {
			return err
		}
	}
	return nil
}

// lossesByCause returns the causes of lost score and the losses. It sums up the charges
// that it does not list by name, so that reports with the same components have the same
// causes in the same order.
func (r *benchmarkReport) lossesByCause() (names []string, values []float64) {
	for _, p := range r.Components {
		names, values = append(names, p.name), append(values, p.weight*(1-p.value))
	}
	otherCharges := 0.0
	charges := map[string]float64{"machine-seconds": 0, "cloud calls": 0, "new connections to servers": 0, "memory, GB x seconds": 0}
	for _, p := range r.Prices {
		if _, listed := charges[p.name]; listed {
			charges[p.name] = p.charge
		} else {
			otherCharges += p.charge
		}
	}
	for _, name := range []string{"machine-seconds", "cloud calls", "new connections to servers", "memory, GB x seconds"} {
		names, values = append(names, "price: "+name), append(values, charges[name])
	}
	return append(names, "other prices"), append(values, otherCharges)
}

func worthCommand() *cobra.Command {
	var out string
	c := &cobra.Command{
		Use: "worth REPORT...", Short: "Plot the lost worth (score) by day and cause from benchmark reports", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			var reports []*benchmarkReport
			for _, f := range files {
				r, err := readBenchmarkReport(f)
				if err != nil {
					return err
				}
				reports = append(reports, r)
			}
			printScores(c.OutOrStdout(), reports)
			return drawLosses(out, reports)
		},
	}
	c.Flags().StringVar(&out, "plot", "worth.png", "file of the plot")
	return c
}

func readBenchmarkReport(file string) (*benchmarkReport, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	r := &benchmarkReport{name: strings.TrimSuffix(filepath.Base(file), ".json")}
	if err := json.Unmarshal(b, r); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return r, nil
}

// printScores writes a Markdown table of the score, the late and the failed requests, and
// the unserved requests by the outcome of their last attempt. The table calls failed
// requests "lost".
func printScores(w io.Writer, reports []*benchmarkReport) {
	var outcomes []string
	for _, r := range reports {
		for _, e := range r.UnservedBy {
			if !slices.Contains(outcomes, e.name) {
				outcomes = append(outcomes, e.name)
			}
		}
	}
	fmt.Fprintf(w, "| day | worth | requests | late | lost | %s |\n| --- |%s\n", strings.Join(outcomes, " | "), strings.Repeat(" --- |", 4+len(outcomes)))
	for _, r := range reports {
		fmt.Fprintf(w, "| %s | %.3f | %d | %d | %d |", r.name, r.Score, r.Total.Requests, r.Total.Late, r.Total.Failed)
		for _, name := range outcomes {
			n := 0
			for _, e := range r.UnservedBy {
				if e.name == name {
					n = e.count
				}
			}
			fmt.Fprintf(w, " %d |", n)
		}
		fmt.Fprintln(w)
	}
}

// lossLegendHeadroom extends the axis so that the legend fits beside the longest bar.
const lossLegendHeadroom = 1.7

// causeColors joins two palettes because there are more causes than colors in one palette.
var causeColors = append(slices.Clone(plotutil.SoftColors), plotutil.DarkColors...)

// drawLosses plots the losses of each report as a stacked bar.
func drawLosses(file string, reports []*benchmarkReport) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text = "Worth lost, by cause", "worth"
	p.Legend.Top = true
	var names []string
	slices.Reverse(reports)
	for _, r := range reports {
		names = append(names, fmt.Sprintf("%s (%.3f)", r.name, r.Score))
	}
	causes, _ := reports[0].lossesByCause()
	var previous *plotter.BarChart
	for i, cause := range causes {
		values := make(plotter.Values, len(reports))
		for j, r := range reports {
			_, losses := r.lossesByCause()
			values[j] = max(losses[i], 0)
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return err
		}
		bars.Horizontal, bars.Color, bars.LineStyle.Width = true, causeColors[i%len(causeColors)], 0
		if previous != nil {
			bars.StackOn(previous)
		}
		previous = bars
		p.Add(bars)
		p.Legend.Add(cause, bars)
	}
	p.NominalY(names...)
	p.X.Max *= lossLegendHeadroom
	height := vg.Length(len(reports))*vg.Points(barWidth+6) + 3*vg.Centimeter
	return p.Save(plotWidth, height, file)
}
