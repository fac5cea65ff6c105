package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"image/color"
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

// Dimensions of the plots.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	barWidth   = 14
	// legendHeadroom and barHeadroom extend the axes so that the legend covers no line and
	// the longest bar ends inside the plot.
	legendHeadroom = 1.35
	barHeadroom    = 1.08
)

func reportCommand() *cobra.Command {
	var dir string
	c := &cobra.Command{Use: "report", Short: "Plot the results of earlier runs", Args: cobra.NoArgs}
	c.Flags().StringVar(&dir, "dir", resultDir, "directory of the results and the plots")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		results, err := readResults(dir)
		if err != nil {
			return err
		}
		if len(results) == 0 {
			return fmt.Errorf("no results in %s", dir)
		}
		var errs []error
		for _, r := range results {
			errs = append(errs, drawSeries(dir, r))
		}
		for _, b := range barCharts {
			errs = append(errs, b.draw(dir, results))
		}
		fmt.Fprintf(cmd.OutOrStdout(), "wrote the plots of %d results to %s\n", len(results), dir)
		return errors.Join(errs...)
	}
	return c
}

func readResults(dir string) ([]*Result, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	var all []*Result
	for _, name := range names {
		b, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		var r Result
		if err := json.Unmarshal(b, &r); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, &r)
	}
	return all, nil
}

// label returns the name of a result in the plots.
func (r *Result) label() string {
	s := r.Scenario
	if r.Baseline != "" {
		s += " (" + r.Baseline + ")"
	}
	return fmt.Sprintf("%s %s %d", r.Deployment, s, r.Seed)
}

// drawSeries plots the goodput over time, with one line per load of the larger service.
func drawSeries(dir string, r *Result) error {
	if len(r.Series) == 0 || len(r.Services) == 0 {
		return nil
	}
	p := plot.New()
	p.Title.Text = "Goodput of " + r.Services[0].Name + ": " + r.label()
	p.X.Label.Text, p.Y.Label.Text = "s", "requests/s"
	p.Legend.Top = true
	var lines []any
	for _, l := range r.Loads {
		if !strings.HasPrefix(l.Name, r.Services[0].Name+"/") {
			continue
		}
		var points plotter.XYs
		for _, s := range r.Series {
			points = append(points, plotter.XY{X: float64(s.AtMS) / 1000, Y: s.Goodput[l.Name]})
		}
		lines = append(lines, l.Name, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	p.Y.Min, p.Y.Max = 0, p.Y.Max*legendHeadroom
	if err := drawEvents(p, r); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, strings.NewReplacer(" ", "-", "(", "", ")", "").Replace(r.label())+".png"))
}

// drawEvents marks the events of the scenario with vertical lines.
func drawEvents(p *plot.Plot, r *Result) error {
	for _, e := range r.Events {
		at := float64(e.AtMS) / 1000
		l, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: p.Y.Max / legendHeadroom}})
		if err != nil {
			return err
		}
		l.Color = color.Gray{Y: 160}
		l.Dashes = []vg.Length{vg.Points(2), vg.Points(2)}
		p.Add(l)
	}
	return nil
}

// barChart describes a plot that compares one quantity across the results.
type barChart struct {
	file, title, unit string
	value             func(*Result) float64
}

var barCharts = []barChart{
	{"imbalance.png", "Imbalance of the larger service (max/mean)", "", func(r *Result) float64 { return r.largerService().Imbalance }},
	{"slots-busy.png", "Slots busy on the larger service", "%", func(r *Result) float64 { return 100 * r.largerService().MeanUtilization }},
	{"longest-silence.png", "Longest silence of a stream", "s", func(r *Result) float64 { return float64(r.Checks.LongestSilenceMS) / 1000 }},
	{"added-latency.png", "Added latency, p99", "ms", func(r *Result) float64 { return float64(r.Latency.AddedP99US) / 1000 }},
	{"control-bytes.png", "Control traffic per instance, mean", "bytes/s", func(r *Result) float64 { return r.Cost.ControlBytesMean }},
}

func (r *Result) largerService() ServiceResult {
	if len(r.Services) == 0 {
		return ServiceResult{}
	}
	return r.Services[0]
}

func (b barChart) draw(dir string, results []*Result) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text = b.title, b.unit
	var values plotter.Values
	var names []string
	for _, r := range slices.Backward(results) {
		values = append(values, b.value(r))
		names = append(names, r.label())
	}
	bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return err
	}
	bars.Horizontal = true
	bars.Color = plotutil.Color(2)
	p.Add(bars, plotter.NewGrid())
	p.NominalY(names...)
	p.X.Min, p.X.Max = 0, p.X.Max*barHeadroom
	height := vg.Length(len(results))*vg.Points(barWidth+10) + 3*vg.Centimeter
	return p.Save(plotWidth, height, filepath.Join(dir, b.file))
}
